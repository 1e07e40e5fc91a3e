#include "ConnectionLease.h"

#include "DatabaseService.h"
#include "LenderLink.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

ConnectionLease::ConnectionLease(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since, std::shared_ptr<LenderLink> lender)
    : m_service(std::move(service))
    , m_endpoint(std::move(endpoint))
    , m_connection(std::move(connection))
    , m_since(since)
    , m_lender(std::move(lender))
{
}

ConnectionLease::~ConnectionLease() { returnConnection(); }

ConnectionLease& ConnectionLease::operator=(ConnectionLease&& other) noexcept
{
    if (this == &other)
        return *this;
    returnConnection();
    m_service = std::move(other.m_service);
    m_endpoint = std::move(other.m_endpoint);
    m_connection = std::move(other.m_connection);
    m_since = other.m_since;
    m_charge = std::move(other.m_charge);
    m_lender = std::move(other.m_lender);
    return *this;
}

std::string ConnectionLease::lender() const { return m_lender ? m_lender->host() : std::string(); }

void ConnectionLease::recordAnswer(BootTime sentAt)
{
    if (!m_lender)
        m_service->recordAnswer(*m_endpoint, sentAt);
}

void ConnectionLease::recordFailure(std::string_view description)
{
    if (m_lender)
        m_lender->recordFailure(description);
    else
        m_service->recordFailure(*m_endpoint, description);
}

void ConnectionLease::recordOutcome(StatementOutcome outcome, std::optional<BootTime> sentAt)
{
    if (!isBorrowed())
        m_service->recordOutcome(*m_endpoint, outcome, sentAt);
}

void ConnectionLease::recordRefusedCommand(ConnectionCommand::Kind command, std::string_view request, ErrorCode code)
{
    m_service->metrics().connectionCommandRefused(m_service->name(), connectionCommandName(command), errorCodeName(code));
    if (code == ErrorCode::ReadOnly)
        m_service->recordNotPrimary(*m_endpoint);
    EventLog::warn("connection_command_refused", { { "request", request }, { "service", m_service->name() }, { "endpoint", endpointId() }, { "connection", m_connection->number() }, { "lender", lender() }, { "command", connectionCommandName(command) }, { "code", errorCodeName(code) }, { "state", transactionStateName(m_connection->state().transaction()) } });
}

void ConnectionLease::returnConnection()
{
    if (m_connection && m_lender)
        m_lender->returnLoan(std::move(m_connection));
    else if (m_connection)
        m_service->returnConnection(m_endpoint->entry.id, std::move(m_connection), m_since, std::move(m_charge));
}

} // namespace kumquatbank
