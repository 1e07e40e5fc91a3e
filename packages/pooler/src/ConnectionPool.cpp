#include "ConnectionPool.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/Random.h"

#include <cmath>
#include <random>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds connectTimeout { 500 };
    /// Idle connections beyond the first are closed after this time, so that starting hosts find free connections.
    constexpr milliseconds spareIdleTime { 2000 };
    constexpr int connectTimeSmoothing = 8;
    /// Minimum interval between two log lines of replaced connections of one service.
    constexpr milliseconds logInterval { 1000 };

    std::int64_t perMinute(double ratePerSecond) { return std::llround(ratePerSecond * 60); }

} // namespace

ConnectionPool::ConnectionPool(asio::io_context& io, std::string service, std::string hostName, PoolerMetrics& metrics)
    : m_io(io)
    , m_service(std::move(service))
    , m_hostName(std::move(hostName))
    , m_metrics(metrics)
{
}

Task<DatabaseConnection::OpenResult> ConnectionPool::open(std::shared_ptr<Endpoint> endpoint, std::string account, milliseconds timeout)
{
    const auto startedAt = BootClock::now();
    endpoint->cache.addInUse(account);
    auto opened = co_await DatabaseConnection::open(m_io, endpoint->entry, account, m_hostName, std::min(timeout, connectTimeout));
    m_metrics.connectionOpened(m_service, opened.connection != nullptr);
    if (opened.connection) {
        ++endpoint->open;
        endpoint->connectTime += (std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - startedAt) - endpoint->connectTime) / connectTimeSmoothing;
    } else {
        endpoint->cache.removeInUse(account);
    }
    co_return opened;
}

void ConnectionPool::makeRoom(Endpoint& endpoint, std::string_view account, int share)
{
    const auto now = BootClock::now();
    bool hasReplaced = false;
    while (endpoint.cache.held() >= share) {
        std::vector<ConnectionCache::Idle> idle;
        std::ranges::transform(endpoint.idle, std::back_inserter(idle), [](const IdleConnection& item) { return ConnectionCache::Idle { item.connection->account(), item.since }; });
        const auto choice = endpoint.cache.chooseReplaced(account, idle, share, now);
        if (!choice)
            break;
        logReplaced(endpoint, *choice, account, share, now);
        closeIdle(endpoint, choice->index, "replaced");
        hasReplaced = true;
    }
    m_metrics.connectionNeeded(m_service, hasReplaced ? "replaced" : "first");
}

void ConnectionPool::logReplaced(const Endpoint& endpoint, const ConnectionCache::Choice& choice, std::string_view account, int share, BootTime now)
{
    ++m_replacedSinceLog;
    if (now - m_lastLog < logInterval)
        return;
    const auto& closed = endpoint.idle[choice.index];
    EventLog::info("connection_replaced",
        { { "service", m_service }, { "endpoint", endpoint.entry.id }, { "account", account }, { "uses_per_min", perMinute(endpoint.cache.ratePerSecond(account, now)) }, { "held", endpoint.cache.held(account) },
            { "closed_account", closed.connection->account() }, { "closed_uses_per_min", perMinute(choice.ratePerSecond) }, { "closed_held", endpoint.cache.held(closed.connection->account()) }, { "above_share", choice.isAboveShare }, { "idle_ms", toMs(now - closed.since) },
            { "open", endpoint.open }, { "share", share }, { "replaced", m_replacedSinceLog } });
    m_lastLog = now;
    m_replacedSinceLog = 0;
}

std::unique_ptr<DatabaseConnection> ConnectionPool::takeAt(Endpoint& endpoint, std::vector<IdleConnection>::iterator it)
{
    auto connection = std::move(it->connection);
    endpoint.idle.erase(it);
    endpoint.cache.removeIdle(connection->account());
    if (!connection->hasEnded()) {
        endpoint.cache.addInUse(connection->account());
        return connection;
    }
    --endpoint.open;
    m_metrics.connectionClosed(m_service, "peer");
    return nullptr;
}

std::unique_ptr<DatabaseConnection> ConnectionPool::take(Endpoint& endpoint, std::string_view account, const SessionState& session)
{
    const auto isOfAccount = [&](const IdleConnection& idle) { return idle.connection->account() == account; };
    endpoint.cache.recordUse(account, BootClock::now());
    while (true) {
        auto it = std::ranges::find_if(endpoint.idle, [&](const IdleConnection& idle) { return isOfAccount(idle) && idle.connection->state().hasSameValuesAs(session); });
        if (it == endpoint.idle.end()) {
            const auto newest = std::ranges::find_if(endpoint.idle.rbegin(), endpoint.idle.rend(), isOfAccount);
            if (newest == endpoint.idle.rend())
                return nullptr;
            it = std::prev(newest.base());
        }
        if (auto connection = takeAt(endpoint, it))
            return connection;
    }
}

std::unique_ptr<DatabaseConnection> ConnectionPool::takeForProbe(Endpoint& endpoint)
{
    while (!endpoint.idle.empty()) {
        if (auto connection = takeAt(endpoint, std::prev(endpoint.idle.end())))
            return connection;
    }
    return nullptr;
}

void ConnectionPool::putBack(Endpoint& endpoint, std::unique_ptr<DatabaseConnection> connection, bool isServing, std::chrono::nanoseconds held, const Rules& rules)
{
    const auto now = BootClock::now();
    const auto& account = connection->account();
    const bool isReusable = connection->isReusable();
    endpoint.cache.recordHold(account, held, now);
    // A probe may have opened a connection beyond the share.
    const bool isWithinShare = !endpoint.cache.hasAccounts() || endpoint.cache.held() <= rules.sharing.share();
    endpoint.cache.removeInUse(account);
    if (isServing && isReusable && isWithinShare && shouldKeep(endpoint, rules)) {
        endpoint.cache.addIdle(account);
        endpoint.idle.push_back({ std::move(connection), now });
        return;
    }
    --endpoint.open;
    m_metrics.connectionClosed(m_service, isReusable ? "surplus" : connection->state().isInDoubt() ? "in_doubt"
                                                                                                   : "broken");
}

bool ConnectionPool::shouldKeep(const Endpoint& endpoint, const Rules& rules)
{
    if (!rules.sharing.isScarce() || rules.isHolder)
        return true;
    // If it were closed, the next request in the queue would have to open another one.
    if (rules.hasWaitingRequests)
        return true;
    // The connections are left to the holders, which need all of them.
    if (rules.isLent)
        return false;
    return endpoint.idle.empty() && std::bernoulli_distribution(rules.sharing.keepProbability())(randomEngine());
}

void ConnectionPool::closeIdle(Endpoint& endpoint, std::size_t index, std::string_view reason)
{
    const auto it = endpoint.idle.begin() + static_cast<std::ptrdiff_t>(index);
    endpoint.cache.removeIdle(it->connection->account());
    endpoint.idle.erase(it);
    --endpoint.open;
    m_metrics.connectionClosed(m_service, reason);
}

void ConnectionPool::closeAllIdle(Endpoint& endpoint, std::string_view reason)
{
    while (!endpoint.idle.empty())
        closeIdle(endpoint, endpoint.idle.size() - 1, reason);
}

void ConnectionPool::closeExpiredIdle(Endpoint& endpoint, const Rules& rules, BootTime now)
{
    endpoint.cache.forgetUnused(now);
    // The connections of a holder are part of its fixed share, so that closing them early would not make room for others.
    const bool keepsShare = rules.isHolder && endpoint.cache.hasAccounts();
    const std::size_t idleToKeep = rules.sharing.isScarce() && !rules.isHolder ? 0 : 1;
    const auto retention = keepsShare ? milliseconds(ConnectionCache::idleRetention) : spareIdleTime;
    // The front connection has been idle for the longest time.
    while (endpoint.idle.size() > idleToKeep && now - endpoint.idle.front().since >= retention)
        closeIdle(endpoint, 0, "expired");
}

} // namespace kumquatbank
