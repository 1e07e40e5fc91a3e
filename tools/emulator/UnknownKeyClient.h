#pragma once

#include "LoadReport.h"
#include "kumquatbank/engine/LineChannel.h"

#include <random>

namespace kumquatbank {

/// A client with a key that no account has ever had, or that two accounts have. Every session that it gets is a violation.
class UnknownKeyClient {
public:
    UnknownKeyClient(asio::io_context& io, std::string database, std::vector<HostAddress> proxies, unsigned seed, LoadReport& report);

    Task<void> run(BootTime until);

private:
    asio::io_context& m_io;
    std::string m_database;
    std::vector<HostAddress> m_proxies;
    std::mt19937 m_random;
    LoadReport& m_report;
};

} // namespace kumquatbank
