#pragma once

#include "kumquatbank/proxy/Settings.h"

#include <memory>

namespace kumquatbank {

/// One proxy process, from its listening sockets to the database groups that it holds.
class ProxyProcess {
public:
    explicit ProxyProcess(Settings settings);
    ~ProxyProcess();
    ProxyProcess(const ProxyProcess&) = delete;
    ProxyProcess& operator=(const ProxyProcess&) = delete;

    /// Opens the sockets and joins the other processes. NotRun/Unavailable if an address cannot be used; nothing
    /// is left running in that case.
    Result<void> start();

    /// Shuts down gracefully: /ready reports false, peers choose other holders, requests and transactions in
    /// progress finish, and causes are flushed. Returns when this is complete; peer connections are still open then.
    void drain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
