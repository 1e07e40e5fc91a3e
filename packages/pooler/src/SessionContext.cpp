#include "SessionContext.h"

#include "LimitService.h"

namespace kumquatbank {

namespace {

    /// Maximum wait for a connection, in percent of the target latency.
    constexpr int queueSharePercent = 60;
    /// Session state up to this size is part of what each session counts when it opens.
    constexpr std::size_t uncountedStateBytes = 4 << 10;
    /// A session is closed when it goes on after this many consecutive refusals of its state.
    constexpr int maxRefusedStates = 16;

} // namespace

SessionContext::SessionContext(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics, const SessionTracker& tracker)
    : m_io(io)
    , m_registry(registry)
    , m_metrics(metrics)
    , m_tracker(tracker)
{
}

void SessionContext::applyLocally(const Statement& statement, StatementAnswer& answer)
{
    const bool grows = statement.kind != StatementKind::Deallocate;
    const auto bytes = grows ? m_state.bytesAfter(statement) : m_state.bytes;
    if (grows && !m_state.admits(statement))
        answer.setError(ErrorCode::TooLarge, "the session has too many values and prepared statements, or too long ones");
    else if (grows && bytes > uncountedStateBytes && !m_stateHold.resize(MemoryUse::State, bytes))
        answer.setError(ErrorCode::Busy, "the host is short of memory", RetryPolicy::defaultRetryAfter);
    if (answer.code) {
        m_metrics.clientRefused("session_state");
        answer.endsSession = ++m_refusedStates >= maxRefusedStates;
        return;
    }
    m_refusedStates = 0;
    m_state.apply(statement);
    if (!grows && m_stateHold.bytes() > 0)
        m_stateHold.resize(MemoryUse::State, m_state.bytes);
    answer.body = WireDialect::done();
}

std::optional<bool> SessionContext::writes(const Statement& statement) const
{
    if (statement.kind != StatementKind::Execute)
        return statement.kind == StatementKind::Write;
    const auto it = m_state.prepared.find(statement.name);
    return it == m_state.prepared.end() ? std::nullopt : std::optional(it->second.writes);
}

void SessionContext::recordCommit(std::optional<LogPosition> position)
{
    if (!position)
        return;
    m_state.lastCommit = std::max(m_state.lastCommit, *position);
    m_lastCommitAt = BootClock::now();
}

DatabaseService::Floor::SessionCommit SessionContext::ownCommit(const Route& route) const
{
    if (route.policy != ReadPolicy::ReadYourWrites)
        return {};
    return { m_state.lastCommit, m_lastCommitAt };
}

std::optional<LogPosition> SessionContext::currentFloor(DatabaseService& service, const Route& route) const
{
    return service.currentFloor(route.maxStaleness, ownCommit(route));
}

Task<bool> SessionContext::admitOperation(std::string account, StatementAnswer& answer)
{
    m_sendUntil = BootTime::max();
    m_admissionWait = {};
    auto* const limits = m_registry.limits();
    if (account.empty() || limits == nullptr)
        co_return true;
    const auto requestedAt = BootClock::now();
    const auto decision = co_await limits->admit(std::move(account));
    m_admissionWait = BootClock::now() - requestedAt;
    m_sendUntil = decision.sendUntil;
    if (!decision.isAdmitted)
        answer.setError(ErrorCode::Busy, decision.reason, decision.retryAfter);
    co_return decision.isAdmitted;
}

Task<bool> SessionContext::confirmAdmission(const std::string& account, StatementAnswer& answer)
{
    if (m_sendUntil < BootClock::now()) {
        const bool isAdmitted = co_await admitOperation(account, answer);
        if (!isAdmitted)
            co_return false;
    }
    // The statement is counted if it arrives at a database, so that sending it again needs another decision.
    if (m_sendUntil != BootTime::max())
        m_sendUntil = BootTime::min();
    co_return true;
}

void SessionContext::recordStatement(const std::string& service)
{
    if (auto* budget = m_registry.retryBudget(service))
        budget->recordStatement();
}

bool SessionContext::takeRetry(const std::string& service, StatementAnswer& answer)
{
    auto* budget = m_registry.retryBudget(service);
    if (budget == nullptr || budget->takeRetry())
        return true;
    m_metrics.retryRefused(service);
    answer.reason += "; the retry budget is used up";
    return false;
}

Task<std::optional<ConnectionLease>> SessionContext::acquire(Route route, std::string account, Eligibility eligibility, std::set<std::string> excluded, BootTime until, StatementAnswer& answer, bool isRepeatable)
{
    const auto service = m_registry.find(route.service);
    if (!service) {
        answer.setError(ErrorCode::Busy, "no endpoint of the service is known", RetryPolicy::defaultRetryAfter);
        co_return std::nullopt;
    }
    const auto requestedAt = BootClock::now();
    ConnectionRequest request;
    request.permit.accountWeight = m_registry.config()->accountWeight(account);
    request.permit.account = account;
    request.account = account;
    if (eligibility == Eligibility::Any) {
        request.freshness = ReadFreshness { route.maxStaleness, ownCommit(route) };
        excluded.merge(service->laggingEndpoints());
    }
    request.permit.eligibility = eligibility;
    request.permit.priority = route.priority;
    request.permit.queueDeadline = std::min<BootTime>(until - RetryPolicy::minRemainingTime, requestedAt + route.targetLatency * queueSharePercent / 100);
    request.permit.excluded = std::move(excluded);
    request.permit.isRepeatable = isRepeatable;
    request.deadline = until - RetryPolicy::minRemainingTime;
    request.answerTimeout = route.statementTimeout;
    request.sender = m_clientWatch;
    auto lease = co_await service->acquire(std::move(request), m_state);
    answer.queued += BootClock::now() - requestedAt;
    if (lease) {
        const bool isAdmitted = co_await confirmAdmission(account, answer);
        if (!isAdmitted)
            co_return std::nullopt;
        answer.endpoint = lease->endpointId();
        answer.lender = lease->lender();
        co_return std::move(*lease);
    }
    answer.setError(lease.error().code, lease.error().reason, lease.error().retryAfter);
    co_return std::nullopt;
}

} // namespace kumquatbank
