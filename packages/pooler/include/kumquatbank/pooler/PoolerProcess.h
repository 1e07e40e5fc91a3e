#pragma once

#include "kumquatbank/engine/Async.h"
#include "kumquatbank/pooler/PoolerSettings.h"

#include <memory>
#include <string>

namespace kumquatbank {

/// One proxy process with all its services on one event loop.
class PoolerProcess {
public:
    /// @p settingsFile is read again on SIGHUP and when it changes; empty: there is none.
    PoolerProcess(asio::io_context& io, PoolerSettings settings, std::string settingsFile);
    ~PoolerProcess();

    /// Binds all addresses and starts serving. Throws boost::system::system_error if an address cannot be bound.
    void start();

    /// Starts, runs the event loop, and returns when SIGTERM or SIGINT has been carried out.
    void run();

    /// Reports not ready, lets the sessions end within the grace period, and closes the rest.
    Task<void> drain();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
