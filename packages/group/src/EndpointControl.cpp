#include "EndpointControl.h"

namespace kumquatbank {

Result<std::unique_ptr<EndpointConnection>> openEndpointConnection(const HostAddress& address,
    const std::string& host, std::uint64_t claim, const std::string& purpose, const Deadline& deadline,
    nlohmann::json* status)
{
    auto connection = EndpointConnection::open(address, deadline);
    if (!connection)
        return connection;
    const auto hello
        = (*connection)->call("hello", { { "host", host }, { "claim", claim }, { "purpose", purpose } }, deadline);
    if (!hello) {
        // Only `hello` was sent, so the caller's own request has not run.
        auto failure = hello.error();
        failure.verdict = Verdict::NotRun;
        return tl::unexpected(failure);
    }
    if (status)
        *status = *hello;
    return connection;
}

EndpointControl::EndpointControl(HostAddress address, std::string host, const ClaimNumber& claim)
    : m_address(std::move(address))
    , m_host(std::move(host))
    , m_claim(claim)
{
}

Result<nlohmann::json> EndpointControl::call(
    const std::string& method, const nlohmann::json& params, const Deadline& deadline)
{
    const std::unique_lock lock(m_mutex, deadline.at());
    if (!lock.owns_lock())
        return notRun(FailureCode::Unavailable, m_address.toString() + ": control connection is busy");
    const auto opened = ensureConnected(deadline);
    if (!opened)
        return tl::unexpected(opened.error());
    auto reply = m_connection->call(method, params, deadline);
    if (!m_connection->isUsable())
        m_connection.reset();
    return reply;
}

Result<nlohmann::json> EndpointControl::statusOnNewConnection(const Deadline& deadline)
{
    const std::unique_lock lock(m_mutex, deadline.at());
    if (!lock.owns_lock())
        return notRun(FailureCode::Unavailable, m_address.toString() + ": control connection is busy");
    m_connection.reset();
    nlohmann::json status;
    auto connection = openEndpointConnection(m_address, m_host, m_claim.load(), "control", deadline, &status);
    if (!connection)
        return tl::unexpected(connection.error());
    m_connection = std::move(*connection);
    return status;
}

Result<void> EndpointControl::ensureConnected(const Deadline& deadline)
{
    if (m_connection)
        return {};
    auto connection = openEndpointConnection(m_address, m_host, m_claim.load(), "control", deadline);
    if (!connection)
        return tl::unexpected(connection.error());
    m_connection = std::move(*connection);
    return {};
}

void EndpointControl::close()
{
    const std::scoped_lock lock(m_mutex);
    m_connection.reset();
}

} // namespace kumquatbank
