#pragma once

#include "ConnectionRegistry.h"
#include "DatabaseNode.h"
#include "FaultInjector.h"

#include <optional>

namespace kumquatbank::standin {

/// Times that one endpoint takes.
struct ServiceTimes {
    Milliseconds connect { 0 }; ///< For a hello.
    Milliseconds execute { 0 }; ///< For each statement and each commit.
};

/// Runs the JSON-RPC methods of one connection, with its hello and its open transaction. The connection's
/// end removes it from the registry and rolls the transaction back. Not thread-safe.
class RequestDispatcher {
public:
    RequestDispatcher(DatabaseNode& node, ConnectionRegistry& registry, FaultInjector& faults, ServiceTimes times,
        std::shared_ptr<LineSocket> socket);
    ~RequestDispatcher();
    RequestDispatcher(const RequestDispatcher&) = delete;
    RequestDispatcher& operator=(const RequestDispatcher&) = delete;

    /// Runs one method; throws nlohmann::json::exception when params are missing or mistyped.
    Result<nlohmann::json> dispatch(const std::string& method, const nlohmann::json& params);

    /// True, once, when the answer of the last method must be lost by an injected fault.
    bool takeLostAnswer();

    /// To be called after the answer was sent. False when the connection must be closed.
    bool finishRequest();

private:
    struct Transaction {
        Term term = 0;
        std::vector<Operation> operations;
    };

    Result<nlohmann::json> hello(const nlohmann::json& params);
    Result<nlohmann::json> runStatementMethod(const std::string& method, const nlohmann::json& params);
    Result<nlohmann::json> execute(const nlohmann::json& params);
    Result<StatementResult> executeInTransaction(const Statement& statement, bool isWrite, const nlohmann::json& params);
    Result<nlohmann::json> begin(const nlohmann::json& params);
    Result<nlohmann::json> commit(const nlohmann::json& params);
    Result<nlohmann::json> rollback(const nlohmann::json& params);
    Result<nlohmann::json> replicate(const nlohmann::json& params);
    nlohmann::json status() const;

    DatabaseNode& m_node;
    ConnectionRegistry& m_registry;
    FaultInjector& m_faults;
    const ServiceTimes m_times;
    const std::shared_ptr<LineSocket> m_socket;
    std::optional<ConnectionRegistry::ConnectionId> m_connection; ///< Set by a hello.
    std::optional<Transaction> m_transaction;
    bool m_isExecuting = false;
    bool m_mustClose = false;
    bool m_changedData = false;
};

} // namespace kumquatbank::standin
