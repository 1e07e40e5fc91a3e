#pragma once

#include "DatabaseConnection.h"
#include "Endpoint.h"

#include <memory>

namespace kumquatbank {

class DatabaseService;
class LenderLink;

/// The use of one database connection. Destroying it gives the connection back: reusable ones are kept, one inside a
/// transaction is rolled back first, and one that owes a reply is closed.
class ConnectionLease {
public:
    /// @p lender: that holds the connection; null if this host does.
    ConnectionLease(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since, std::shared_ptr<LenderLink> lender = nullptr);
    ~ConnectionLease();

    ConnectionLease(ConnectionLease&&) noexcept = default;
    ConnectionLease& operator=(ConnectionLease&& other) noexcept;

    DatabaseConnection& connection() { return *m_connection; }
    Endpoint& endpoint() { return *m_endpoint; }
    const std::string& endpointId() const { return m_endpoint->entry.id; }
    DatabaseService& service() { return *m_service; }
    /// Host that holds the connection; empty if this one does.
    std::string lender() const;

    /// Records an answer. One over a borrowed connection says nothing of whether this host reaches the endpoint.
    void recordAnswer(BootTime sentAt);
    /// Records that the connection gave no answer. A borrowed one says nothing of the endpoint: its lender may be at fault.
    void recordFailure(std::string_view description);

private:
    void returnConnection();

    std::shared_ptr<DatabaseService> m_service;
    std::shared_ptr<Endpoint> m_endpoint;
    std::unique_ptr<DatabaseConnection> m_connection;
    BootTime m_since;
    std::shared_ptr<LenderLink> m_lender;
};

} // namespace kumquatbank
