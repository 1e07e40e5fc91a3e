#include "ConnectionLease.h"

#include "DatabaseService.h"
#include "LenderLink.h"

namespace kumquatbank {

ConnectionLease::ConnectionLease(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since, std::shared_ptr<LenderLink> lender)
    : m_service(std::move(service))
    , m_endpoint(std::move(endpoint))
    , m_connection(std::move(connection))
    , m_since(since)
    , m_lender(std::move(lender))
{
}

ConnectionLease::~ConnectionLease() { giveBack(); }

ConnectionLease& ConnectionLease::operator=(ConnectionLease&& other) noexcept
{
    if (this == &other)
        return *this;
    giveBack();
    m_service = std::move(other.m_service);
    m_endpoint = std::move(other.m_endpoint);
    m_connection = std::move(other.m_connection);
    m_since = other.m_since;
    m_lender = std::move(other.m_lender);
    return *this;
}

std::string ConnectionLease::lender() const { return m_lender ? m_lender->host() : std::string(); }

void ConnectionLease::noteAnswer(BootTime sentAt)
{
    if (!m_lender)
        m_service->noteAnswer(*m_endpoint, sentAt);
}

void ConnectionLease::noteFailure(std::string_view what)
{
    if (m_lender)
        m_lender->noteFailure(what);
    else
        m_service->noteFailure(*m_endpoint, what);
}

void ConnectionLease::giveBack()
{
    if (m_connection && m_lender)
        m_lender->takeBack(std::move(m_connection));
    else if (m_connection)
        m_service->giveBack(m_endpoint->entry.id, std::move(m_connection), m_since);
}

} // namespace kumquatbank
