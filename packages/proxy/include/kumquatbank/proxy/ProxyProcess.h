#pragma once

#include "kumquatbank/proxy/Settings.h"

#include <memory>

namespace kumquatbank {

/// One running proxy: everything between its listening sockets and the database groups it holds.
class ProxyProcess {
public:
    explicit ProxyProcess(Settings settings);
    ~ProxyProcess();
    ProxyProcess(const ProxyProcess&) = delete;
    ProxyProcess& operator=(const ProxyProcess&) = delete;

    /// Opens the sockets and joins the other processes. NotRun/Unavailable, with nothing left running, when
    /// an address cannot be used.
    Result<void> start();

    /// Graceful shutdown: ready turns false, peers choose other holders, requests and transactions in progress
    /// finish, causes are saved. Returns when all of it is done; peer connections are still open then.
    void drain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
