#include "ConnectionRegistry.h"

namespace kumquatbank::standin {

namespace {

    // Guarantee 7 of the design page: no new work later than this after the leaving notice.
    constexpr Milliseconds leavingGrace { 3000 };

    tl::unexpected<Failure> superseded(std::uint64_t own, std::uint64_t current)
    {
        return notRun(FailureCode::ClaimSuperseded,
            "claim " + std::to_string(own) + " is superseded by claim " + std::to_string(current));
    }

} // namespace

void to_json(nlohmann::json& json, const ClaimAnswer& answer)
{
    json = { { "granted", answer.granted }, { "claim", answer.claim }, { "claimHost", answer.claimHost } };
}

ConnectionRegistry::ConnectionRegistry(std::size_t limit)
    : m_limit(limit)
{
}

Result<ConnectionRegistry::ConnectionId> ConnectionRegistry::add(
    Hello hello, std::shared_ptr<LineSocket> socket, bool refuseWorkIfLeaving)
{
    const std::lock_guard lock(m_mutex);
    if (m_connections.size() >= m_limit)
        return notRun(FailureCode::ConnectionLimit, "all " + std::to_string(m_limit) + " connections are in use");
    if (hello.purpose == Purpose::Work) {
        if (hello.claim < m_claim)
            return superseded(hello.claim, m_claim);
        if (refuseWorkIfLeaving && m_leavingSince)
            return notRun(FailureCode::Leaving, "the endpoint is leaving");
    }
    const auto id = m_nextId++;
    m_connections.emplace(id, Connection { std::move(hello), std::move(socket) });
    return id;
}

void ConnectionRegistry::remove(ConnectionId id)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(id);
}

ClaimAnswer ConnectionRegistry::claim(std::uint64_t claim, const std::string& host)
{
    const std::lock_guard lock(m_mutex);
    const bool granted = claim > m_claim || (claim == m_claim && host == m_claimHost);
    if (granted) {
        m_claim = claim;
        m_claimHost = host;
        for (auto& [id, connection] : m_connections) {
            const bool isSuperseded = connection.hello.purpose == Purpose::Work && connection.hello.claim < claim;
            if (isSuperseded && !connection.isExecuting)
                connection.socket->shutdown();
        }
    }
    return { granted, m_claim, m_claimHost };
}

Result<void> ConnectionRegistry::beginStatement(ConnectionId id)
{
    const std::lock_guard lock(m_mutex);
    auto& connection = m_connections.at(id);
    if (connection.hello.claim < m_claim)
        return superseded(connection.hello.claim, m_claim);
    connection.isExecuting = true;
    ++m_statements;
    if (m_leavingSince && Clock::now() - *m_leavingSince > leavingGrace)
        ++m_statementsAfterLeaving;
    return {};
}

bool ConnectionRegistry::endStatement(ConnectionId id)
{
    const std::lock_guard lock(m_mutex);
    auto& connection = m_connections.at(id);
    connection.isExecuting = false;
    return connection.hello.purpose != Purpose::Work || connection.hello.claim >= m_claim;
}

void ConnectionRegistry::setLeaving(bool isLeaving)
{
    const std::lock_guard lock(m_mutex);
    if (!isLeaving)
        m_leavingSince.reset();
    else if (!m_leavingSince)
        m_leavingSince = Clock::now();
}

bool ConnectionRegistry::isLeaving() const
{
    const std::lock_guard lock(m_mutex);
    return m_leavingSince.has_value();
}

nlohmann::json ConnectionRegistry::status() const
{
    const std::lock_guard lock(m_mutex);
    return { { "claim", m_claim }, { "claimHost", m_claimHost }, { "leaving", m_leavingSince.has_value() },
        { "connections", m_connections.size() }, { "connectionLimit", m_limit } };
}

nlohmann::json ConnectionRegistry::counters() const
{
    const std::lock_guard lock(m_mutex);
    return { { "statements", m_statements }, { "statementsAfterLeaving", m_statementsAfterLeaving } };
}

} // namespace kumquatbank::standin
