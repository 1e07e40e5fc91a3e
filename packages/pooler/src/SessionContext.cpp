#include "SessionContext.h"

namespace kumquatbank {

namespace {

    /// Maximum wait for a connection, in percent of the target latency.
    constexpr int queueSharePercent = 60;

} // namespace

SessionContext::SessionContext(asio::io_context& io, ServiceRegistry& registry, PoolerMetrics& metrics, const SessionTracker& tracker)
    : m_io(io)
    , m_registry(registry)
    , m_metrics(metrics)
    , m_tracker(tracker)
{
}

void SessionContext::applyLocally(const Statement& statement)
{
    if (statement.kind == StatementKind::SetValue)
        m_state.values[statement.name] = statement.argument;
    else if (statement.kind == StatementKind::Prepare)
        m_state.prepared[statement.name] = { preparedConnectionName(statement.preparesWrite, statement.argument), statement.argument, statement.preparesWrite };
    else
        m_state.prepared.erase(statement.name);
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

Task<std::optional<ConnectionLease>> SessionContext::acquire(Route route, std::string account, Eligibility eligibility, std::set<std::string> excluded, BootTime until, StatementAnswer& answer)
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
    request.account = std::move(account);
    if (eligibility == Eligibility::Any) {
        request.freshness = ReadFreshness { route.maxStaleness, ownCommit(route) };
        excluded.merge(service->laggingEndpoints());
    }
    request.permit.eligibility = eligibility;
    request.permit.priority = route.priority;
    request.permit.queueDeadline = std::min<BootTime>(until - RetryPolicy::minRemainingTime, requestedAt + route.targetLatency * queueSharePercent / 100);
    request.permit.excluded = std::move(excluded);
    request.deadline = until - RetryPolicy::minRemainingTime;
    request.answerTimeout = route.statementTimeout;
    request.sender = m_clientWatch;
    auto lease = co_await service->acquire(std::move(request), m_state);
    answer.queued += BootClock::now() - requestedAt;
    if (lease) {
        answer.endpoint = lease->endpointId();
        answer.lender = lease->lender();
        co_return std::move(*lease);
    }
    answer.setError(lease.error().code, lease.error().reason, lease.error().retryAfter);
    co_return std::nullopt;
}

} // namespace kumquatbank
