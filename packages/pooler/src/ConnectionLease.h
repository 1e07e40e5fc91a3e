#pragma once

#include "DatabaseConnection.h"
#include "Endpoint.h"
#include "kumquatbank/routing/PermitRequest.h"
#include "kumquatbank/routing/StatementOutcome.h"

#include <memory>
#include <optional>
#include <string>

namespace kumquatbank {

class DatabaseService;
class LenderLink;

/// Exclusive use of one database connection. The destructor returns the connection: a reusable connection is kept, a
/// connection inside a transaction is rolled back first, and a connection with pending replies is closed.
class ConnectionLease {
public:
    /// @p lender: link to the host that holds the connection; null if this host holds it.
    ConnectionLease(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since, std::shared_ptr<LenderLink> lender = nullptr);
    ~ConnectionLease();

    ConnectionLease(ConnectionLease&&) noexcept = default;
    ConnectionLease& operator=(ConnectionLease&& other) noexcept;

    DatabaseConnection& connection() { return *m_connection; }
    Endpoint& endpoint() { return *m_endpoint; }
    const std::string& endpointId() const { return m_endpoint->entry.id; }
    DatabaseService& service() { return *m_service; }
    /// Host that holds the connection; empty if it is this host.
    std::string lender() const;
    bool isBorrowed() const { return m_lender != nullptr; }

    /// Counts the time for which the permit is held by @p charge. Without this call, it is counted for no account.
    void chargeTo(PermitCharge charge) { m_charge = std::move(charge); }

    /// Records an answer of the endpoint. Answers over a borrowed connection are ignored: they do not show whether this
    /// host can reach the endpoint.
    void recordAnswer(BootTime sentAt);
    /// Records that the connection gave no answer. For a borrowed connection the failure is not counted against the
    /// endpoint, because the lender may have caused it.
    void recordFailure(std::string_view description);
    /// Records the end of a statement as evidence about the endpoint. Ignored for a borrowed connection, because its lender
    /// records it.
    void recordOutcome(StatementOutcome outcome, std::optional<BootTime> sentAt);

    /// Counts and logs that the endpoint refused a command of the proxy's own. @p request: id of the client's statement that
    /// needed it; may be empty.
    void recordRefusedCommand(ConnectionCommand::Kind command, std::string_view request, ErrorCode code);

private:
    void returnConnection();

    std::shared_ptr<DatabaseService> m_service;
    std::shared_ptr<Endpoint> m_endpoint;
    std::unique_ptr<DatabaseConnection> m_connection;
    BootTime m_since;
    std::optional<PermitCharge> m_charge;
    std::shared_ptr<LenderLink> m_lender;
};

} // namespace kumquatbank
