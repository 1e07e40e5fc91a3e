#include "RequestDispatcher.h"

#include <algorithm>
#include <array>
#include <thread>

namespace kumquatbank::standin {

namespace {

    // Bounds waits that a request asks for, so that a connection's thread always ends.
    constexpr Milliseconds maxWait { 60'000 };

    constexpr std::array<std::string_view, 4> statementMethods { "execute", "begin", "commit", "rollback" };

    Milliseconds waitTime(const nlohmann::json& params)
    {
        return std::clamp(Milliseconds(params.at("timeoutMs").get<std::int64_t>()), Milliseconds(0), maxWait);
    }

    tl::unexpected<Failure> badRequest(std::string message)
    {
        return notRun(FailureCode::BadRequest, std::move(message));
    }

    template <typename T>
    Result<nlohmann::json> toResult(const Result<T>& result)
    {
        if (!result)
            return tl::unexpected(result.error());
        return nlohmann::json(*result);
    }

} // namespace

RequestDispatcher::RequestDispatcher(DatabaseNode& node, ConnectionRegistry& registry, FaultInjector& faults,
    ServiceTimes times, std::shared_ptr<LineSocket> socket)
    : m_node(node)
    , m_registry(registry)
    , m_faults(faults)
    , m_times(times)
    , m_socket(std::move(socket))
{
}

RequestDispatcher::~RequestDispatcher()
{
    if (m_connection)
        m_registry.remove(*m_connection);
}

Result<nlohmann::json> RequestDispatcher::dispatch(const std::string& method, const nlohmann::json& params)
{
    if (method == "replicate")
        return replicate(params);
    if (method == "hello")
        return hello(params);
    if (!m_connection)
        return badRequest("the first request of a connection must be hello");
    if (std::ranges::find(statementMethods, method) != statementMethods.end())
        return runStatementMethod(method, params);
    if (method == "status")
        return status();
    if (method == "claim")
        return nlohmann::json(
            m_registry.claim(params.at("claim").get<std::uint64_t>(), params.at("host").get<std::string>()));
    if (method == "await_position") {
        nlohmann::json answer = m_node.awaitPosition(params.at("after").get<std::uint64_t>(), waitTime(params));
        answer.erase("granted");
        return answer;
    }
    if (method == "fence")
        return nlohmann::json(
            m_node.fence(params.at("term").get<Term>(), params.at("proposer").get<std::string>()));
    if (method == "promote") {
        nlohmann::json answer
            = m_node.promote(params.at("term").get<Term>(), params.at("proposer").get<std::string>());
        answer.erase("promisedTerm");
        return answer;
    }
    if (method == "follow") {
        const auto primary = HostAddress::parse(params.at("primary").get<std::string>());
        if (!primary)
            return tl::unexpected(primary.error());
        return nlohmann::json { { "granted", m_node.follow(params.at("term").get<Term>(), *primary) } };
    }
    return notRun(FailureCode::NotFound, "unknown method '" + method + "'");
}

bool RequestDispatcher::takeLostAnswer()
{
    return std::exchange(m_changedData, false) && m_faults.takeLostAnswer();
}

bool RequestDispatcher::finishRequest()
{
    if (std::exchange(m_isExecuting, false) && !m_registry.endStatement(*m_connection))
        m_mustClose = true;
    return !m_mustClose;
}

Result<nlohmann::json> RequestDispatcher::hello(const nlohmann::json& params)
{
    if (m_connection)
        return badRequest("the connection said hello before");
    const auto purpose = params.at("purpose").get<std::string>();
    if (purpose != "work" && purpose != "control")
        return badRequest("purpose must be work or control");
    Hello hello { params.at("host").get<std::string>(), params.at("claim").get<std::uint64_t>(),
        purpose == "work" ? Purpose::Work : Purpose::Control };
    // A leaving slot that had to be promoted still needs connections to run writes until it is replaced.
    const bool isReplica = m_node.status().at("role") == "replica";
    const auto id = m_registry.add(std::move(hello), m_socket, isReplica);
    if (!id) {
        m_mustClose = true;
        return tl::unexpected(id.error());
    }
    m_connection = *id;
    std::this_thread::sleep_for(m_times.connect);
    return status();
}

Result<nlohmann::json> RequestDispatcher::runStatementMethod(const std::string& method, const nlohmann::json& params)
{
    if (const auto allowed = m_registry.beginStatement(*m_connection); !allowed) {
        m_mustClose = true;
        return tl::unexpected(allowed.error());
    }
    m_isExecuting = true;
    if (method == "execute")
        return execute(params);
    if (method == "begin")
        return begin(params);
    if (!m_transaction)
        return notRun(FailureCode::NoTransaction, "the connection has no open transaction");
    if (method == "commit")
        return commit(params);
    return rollback(params);
}

Result<nlohmann::json> RequestDispatcher::execute(const nlohmann::json& params)
{
    const auto statement = Statement::parse(params.at("statement").get<std::string>());
    if (!statement)
        return tl::unexpected(statement.error());
    const auto kind = params.at("kind").get<std::string>();
    if (kind != "read" && kind != "write")
        return badRequest("kind must be read or write");
    const bool isWrite = kind == "write";
    if (!isWrite && statement->changesData())
        return notRun(FailureCode::StatementError, "a read must not change data");
    const auto term = isWrite || m_transaction ? params.at("term").get<Term>() : Term(0);
    const LogPosition required { params.value("minTerm", Term(0)), params.value("minPosition", std::uint64_t(0)) };

    // Requests that cannot run are refused before they take service time.
    const auto allowed = isWrite || m_transaction ? m_node.checkPrimary(term) : Result<void>();
    if (!allowed)
        return tl::unexpected(allowed.error());
    if (!isWrite && !m_node.position().covers(required))
        return notRun(FailureCode::Behind, "the log does not cover the required position");
    std::this_thread::sleep_for(m_times.execute + statement->sleep);

    if (m_transaction)
        return toResult(executeInTransaction(*statement, isWrite, params));
    if (!isWrite)
        return toResult(m_node.read(*statement, {}, required));
    const auto result = m_node.write(term, *statement, params.value("key", ""));
    m_changedData = result.has_value();
    return toResult(result);
}

Result<StatementResult> RequestDispatcher::executeInTransaction(
    const Statement& statement, bool isWrite, const nlohmann::json& params)
{
    // A key makes one log record repeatable, and a transaction has one record, at its commit.
    if (!params.value("key", "").empty())
        return notRun(FailureCode::StatementError, "inside a transaction the key belongs to commit");
    const auto term = params.at("term").get<Term>();
    if (term != m_transaction->term)
        return notRun(FailureCode::TermMismatch, "the transaction began in another term");
    if (const auto allowed = m_node.checkPrimary(term); !allowed)
        return tl::unexpected(allowed.error());
    auto result = m_node.read(statement, m_transaction->operations, {});
    for (const auto& step : statement.steps) {
        if (isWrite && !step.isRead)
            m_transaction->operations.push_back(step.operation);
    }
    return result;
}

Result<nlohmann::json> RequestDispatcher::begin(const nlohmann::json& params)
{
    if (m_transaction)
        return notRun(FailureCode::StatementError, "the connection has an open transaction");
    const auto term = params.at("term").get<Term>();
    if (const auto allowed = m_node.checkPrimary(term); !allowed)
        return tl::unexpected(allowed.error());
    m_transaction = Transaction { term, {} };
    return nlohmann::json::object();
}

Result<nlohmann::json> RequestDispatcher::commit(const nlohmann::json& params)
{
    const auto term = params.at("term").get<Term>();
    const auto key = params.value("key", "");
    // Whatever the answer, the transaction ends here: a refused commit rolls it back.
    const auto transaction = *std::exchange(m_transaction, std::nullopt);
    if (term != transaction.term)
        return notRun(FailureCode::TermMismatch, "the transaction began in another term");
    std::this_thread::sleep_for(m_times.execute);
    const auto result = m_node.commit(term, transaction.operations, key);
    m_changedData = result.has_value();
    auto answer = toResult(result);
    if (answer)
        answer->erase("rows");
    return answer;
}

Result<nlohmann::json> RequestDispatcher::rollback(const nlohmann::json& params)
{
    m_transaction.reset();
    const auto key = params.value("key", "");
    if (key.empty())
        return nlohmann::json::object();
    const auto result = m_node.rollBackKey(params.at("term").get<Term>(), key);
    m_changedData = result.has_value() && !result->repeated;
    auto answer = toResult(result);
    if (answer)
        answer->erase("rows");
    return answer;
}

Result<nlohmann::json> RequestDispatcher::replicate(const nlohmann::json& params)
{
    std::optional<ReplicatedLog::TermEnds> termEnds;
    if (params.contains("termEnds"))
        termEnds = params.at("termEnds").get<ReplicatedLog::TermEnds>();
    return m_node.replicate(
        params.at("term").get<Term>(), params.value("after", std::uint64_t(0)), termEnds, waitTime(params));
}

nlohmann::json RequestDispatcher::status() const
{
    auto status = m_node.status();
    status.update(m_registry.status());
    return status;
}

} // namespace kumquatbank::standin
