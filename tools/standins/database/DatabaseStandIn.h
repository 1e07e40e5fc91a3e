#pragma once

#include "ConnectionRegistry.h"
#include "DatabaseNode.h"
#include "FaultInjector.h"
#include "Replicator.h"
#include "RequestDispatcher.h"
#include "TcpServer.h"

namespace kumquatbank::standin {

/// Settings of one endpoint.
struct DatabaseStandInOptions {
    HostAddress address;
    HostAddress control;
    unsigned slot = 0;
    std::vector<HostAddress> peers; ///< The other slots of the group.
    ServiceTimes times;
    std::size_t connectionLimit = 20;
    Milliseconds lag { 0 }; ///< Age at which a replica applies a record.
    bool isPrimary = false; ///< Starts as primary of term 1.
};

/// One endpoint of a database group, for tests: section 5.2 of the design page with injected faults.
class DatabaseStandIn {
public:
    explicit DatabaseStandIn(DatabaseStandInOptions options);
    ~DatabaseStandIn();
    DatabaseStandIn(const DatabaseStandIn&) = delete;
    DatabaseStandIn& operator=(const DatabaseStandIn&) = delete;

    /// Serves both ports; NotRun/Unavailable when one cannot be used.
    Result<void> start();
    void stop();

    const HostAddress& address() const { return m_options.address; }
    const HostAddress& controlAddress() const { return m_options.control; }

    /// Runs one command of the control port: {"fault": ...} or {"command": "dump" | "status"}.
    nlohmann::json control(const nlohmann::json& command);

private:
    void serveControl(LineSocket& socket);
    nlohmann::json status() const;

    DatabaseStandInOptions m_options; ///< Ports are replaced by the ones in use.
    DatabaseNode m_node;
    ConnectionRegistry m_registry;
    FaultInjector m_faults;
    TcpServer m_server;
    TcpServer m_controlServer;
    std::unique_ptr<Replicator> m_replicator;
};

} // namespace kumquatbank::standin
