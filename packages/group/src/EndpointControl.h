#pragma once

#include "kumquatbank/core/core.h"
#include "kumquatbank/transport/EndpointConnection.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace kumquatbank {

/// Number of the claim that new connections send in `hello`; 0 before the first claim. Shared by a group's endpoints.
using ClaimNumber = std::atomic<std::uint64_t>;

/// Opens a connection and sends `hello` on it. @param purpose "work" or "control". Returns the
/// connection; the status result of `hello` goes to @p status when it is not null.
Result<std::unique_ptr<EndpointConnection>> openEndpointConnection(const HostAddress& address,
    const std::string& host, std::uint64_t claim, const std::string& purpose, const Deadline& deadline,
    nlohmann::json* status = nullptr);

/// The single control connection to an endpoint, for probes, claims, promotions and refreshed reports. They share one
/// connection so that a second process can still reach an endpoint that is close to its connection limit.
/// Thread-safe; calls run one after the other.
class EndpointControl {
public:
    EndpointControl(HostAddress address, std::string host, const ClaimNumber& claim);

    /// Runs one call on the open connection, or on a new one when none is open. NotRun/Unavailable when other calls
    /// occupy the connection until the deadline.
    Result<nlohmann::json> call(const std::string& method, const nlohmann::json& params, const Deadline& deadline);

    /// Calls `status` on a new connection, which replaces the open one.
    Result<nlohmann::json> statusOnNewConnection(const Deadline& deadline);

    /// Closes the connection; the next call opens a new one.
    void close();

private:
    Result<void> ensureConnected(const Deadline& deadline);

    const HostAddress m_address;
    const std::string m_host;
    const ClaimNumber& m_claim;
    std::timed_mutex m_mutex;
    std::unique_ptr<EndpointConnection> m_connection;
};

} // namespace kumquatbank
