#pragma once

#include "kumquatbank/pooler/PoolerSettings.h"

#include <memory>
#include <string>

namespace kumquatbank {

/// One proxy process: everything it runs on one event loop in the calling thread.
class PoolerProcess {
public:
    /// @p settingsFile is read again on SIGHUP and when it changes.
    PoolerProcess(PoolerSettings settings, std::string settingsFile);
    ~PoolerProcess();

    /// Serves until SIGTERM or SIGINT has been carried out. Throws boost::system::system_error if an address cannot
    /// be bound.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
