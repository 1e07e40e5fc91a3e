#include "PassThroughProxy.h"

namespace kumquatbank::load {

namespace {

    constexpr std::uint64_t faultPeriod = 10;
    constexpr Term term = 1;
    /// How long a transaction whose connection is shared waits for another one to join; one begins within 40 ms.
    constexpr Milliseconds joinLimit { 500 };

    nlohmann::json refusal(const CallerRequest& request, const std::string& message)
    {
        return { { "requestId", request.requestId }, { "verdict", "not_run" },
            { "error", { { "code", "unavailable" }, { "message", message } } } };
    }

} // namespace

PassThroughProxy::PassThroughProxy(standin::TestGroup& group, Fault fault)
    : m_group(group)
    , m_fault(fault)
{
}

Result<void> PassThroughProxy::start(const HostAddress& address)
{
    m_server = std::make_unique<HttpServer>(
        address, HttpServerOptions {}, [this](const HttpRequest& request) { return handle(request); });
    return m_server->start();
}

HttpResponse PassThroughProxy::handle(const HttpRequest& httpRequest)
{
    const auto request = parseCallerRequest(nlohmann::json::parse(httpRequest.body));
    if (!request)
        return { 400, R"({"verdict":"not_run","requestId":"","error":{}})" };
    const auto body = run(*request);
    HttpResponse response { body.at("verdict") == "answered" ? 200 : 503, body.dump() };
    if (response.status == 200 && m_fault == Fault::CrossesAnswers) {
        const bool isCrossed = isFaulty(m_fault);
        const std::lock_guard lock(m_mutex);
        const auto earlier = std::exchange(m_earlierAnswer, response.body);
        if (isCrossed && !earlier.empty())
            response.body = earlier;
    }
    return response;
}

nlohmann::json PassThroughProxy::run(const CallerRequest& request)
{
    if (request.kind == RequestKind::Begin)
        return begin(request);
    if (!request.transaction.empty())
        return runInTransaction(request);
    if (request.kind == RequestKind::Read) {
        const auto session = SessionToken::decode(request.session, "test");
        const auto required = isFaulty(Fault::ReadsStale) ? LogPosition {} : session->required(request.database);
        const auto onReplica = m_group.connect(1).read(request.statement, required);
        if (standin::errorCode(onReplica) == 0)
            return answer(request, onReplica, ServedBy::Replica);
        return answer(request, m_group.connect(0).read(request.statement), ServedBy::Primary);
    }
    auto primary = m_group.connect(0);
    if (isFaulty(Fault::LosesWrites)) {
        const auto value = request.statement.substr(request.statement.rfind(' ') + 1);
        return answer(request,
            { { "result", { { "rows", { value } }, { "logTerm", term }, { "position", 0 }, { "repeated", false } } } },
            ServedBy::Primary);
    }
    const auto response = primary.write(term, request.statement, request.idempotencyKey);
    if (isFaulty(Fault::RunsTwice))
        primary.write(term, request.statement);
    if (isFaulty(Fault::DeniesRunning))
        return refusal(request, "injected");
    return answer(request, response, ServedBy::Primary);
}

nlohmann::json PassThroughProxy::begin(const CallerRequest& request)
{
    const bool isShared = isFaulty(Fault::MixesTransactions);
    auto connection = std::make_shared<standin::TestCaller>(m_group.connect(0));
    const auto response = connection->call("begin", { { "term", term } });
    const std::lock_guard lock(m_mutex);
    const auto id = "t" + std::to_string(++m_transactionIds);
    if (!m_sharing.owner.empty() && m_sharing.guest.empty()) {
        connection = m_transactions.at(m_sharing.owner);
        m_sharing.guest = id;
    } else if (isShared && m_sharing.owner.empty()) {
        m_sharing.owner = id;
    }
    m_transactions[id] = connection;
    auto body = answer(request, response, ServedBy::Primary);
    body["transaction"] = id;
    return body;
}

nlohmann::json PassThroughProxy::runInTransaction(const CallerRequest& request)
{
    const bool isForgotten = request.kind == RequestKind::Write && isFaulty(Fault::TearsTransactions);
    std::unique_lock lock(m_mutex);
    if (request.transaction == m_sharing.owner && request.kind != RequestKind::Write) {
        // Ended earlier, the owner would leave the guest nothing to mix with.
        m_guestWrote.wait_for(lock, joinLimit, [this] { return m_sharing.hasGuestWritten; });
        m_sharing = {};
    }
    const auto it = m_transactions.find(request.transaction);
    if (it == m_transactions.end())
        return refusal(request, "unknown transaction");
    const auto connection = it->second;
    if (request.kind == RequestKind::Write) {
        if (!isForgotten) {
            auto written = answer(request, connection->write(term, request.statement), ServedBy::Primary);
            m_sharing.hasGuestWritten = m_sharing.hasGuestWritten || request.transaction == m_sharing.guest;
            m_guestWrote.notify_all();
            return written;
        }
        const auto value = request.statement.substr(request.statement.rfind(' ') + 1);
        return answer(request, { { "result", { { "rows", { value } } } } }, ServedBy::Primary);
    }
    m_transactions.erase(it);
    const auto* method = request.kind == RequestKind::Commit ? "commit" : "rollback";
    return answer(request, connection->call(method, { { "term", term }, { "key", request.idempotencyKey } }),
        ServedBy::Primary);
}

nlohmann::json PassThroughProxy::answer(
    const CallerRequest& request, const nlohmann::json& response, ServedBy servedBy)
{
    if (!response.contains("result"))
        return refusal(request, response.dump());
    const auto& result = response.at("result");
    auto session = *SessionToken::decode(request.session, "test");
    const bool isChange = request.kind == RequestKind::Commit
        || (request.kind == RequestKind::Write && request.transaction.empty());
    if (isChange)
        session.advance(request.database, { term, result.value("position", std::uint64_t(0)) });
    return CallerAnswer { request.requestId, result, session.encode(), servedBy, result.value("repeated", false), {} };
}

bool PassThroughProxy::isFaulty(Fault fault)
{
    if (fault != m_fault)
        return false;
    const std::lock_guard lock(m_mutex);
    return ++m_requests % faultPeriod == 0;
}

} // namespace kumquatbank::load
