#include "ConnectionLease.h"

#include "DatabaseService.h"

namespace kumquatbank {

ConnectionLease::ConnectionLease(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since)
    : m_service(std::move(service))
    , m_endpoint(std::move(endpoint))
    , m_connection(std::move(connection))
    , m_since(since)
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
    return *this;
}

void ConnectionLease::giveBack()
{
    if (m_connection)
        m_service->giveBack(m_endpoint->entry.id, std::move(m_connection), m_since);
}

} // namespace kumquatbank
