#include "DatabaseService.h"

#include "ConnectionBorrower.h"
#include "kumquatbank/engine/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <numeric>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Added to the reason of a refusal.
    constexpr std::string_view overShareReason = "; the account is over its share";
    constexpr milliseconds cleanUpTimeout { 1000 };
    /// An endpoint receives no requests for this time after a failed connect, so that others are tried first. The pause
    /// grows with each failure in a row.
    constexpr milliseconds failurePause { 200 };
    /// Upper bound of that pause. Probes continue during it and end it when one succeeds.
    constexpr milliseconds maxFailurePause { 1500 };
    /// No new connections are opened for this time after the endpoint refused one because of its connection limit.
    constexpr milliseconds connectionLimitPause { 250 };
    /// The same pause where connections are scarce and move between hosts; well below the time that a request may wait.
    constexpr milliseconds scarceConnectionLimitPause { 60 };
    /// A host that received loan requests keeps its connections for this time after the last one.
    constexpr milliseconds loanRequestRetention { 5000 };
    /// A host that used its own connections although connections are lent monitors the primary for this time.
    constexpr milliseconds ownUseRetention { 3000 };
    constexpr int roundTripSmoothing = 8;

} // namespace

ConnectionPool::Rules DatabaseService::poolRules() const { return { sharing(), isLent(), isHolder(), m_scheduler.waiting() > 0 }; }

std::size_t DatabaseService::idleConnections() const
{
    return std::accumulate(m_endpoints.begin(), m_endpoints.end(), std::size_t { 0 }, [](std::size_t sum, const auto& item) { return sum + item.second->idle.size(); });
}

Task<tl::expected<std::unique_ptr<DatabaseConnection>, ErrorCode>> DatabaseService::open(std::shared_ptr<Endpoint> endpoint, std::string account, milliseconds timeout)
{
    const auto sentAt = BootClock::now();
    auto opened = co_await m_pool.open(endpoint, std::move(account), timeout);
    if (opened.connection) {
        recordAnswer(*endpoint, sentAt);
        endpoint->roundTrip += endpoint->roundTrip.count() == 0 ? opened.roundTrip : (opened.roundTrip - endpoint->roundTrip) / roundTripSmoothing;
        refreshScheduler(*endpoint);
        co_return std::move(opened.connection);
    }
    if (!opened.refusal) {
        if (m_pacer)
            m_pacer->restart(endpoint->entry.id);
        recordFailure(*endpoint, "connect");
        endpoint->unusableUntil = BootClock::now() + std::min(failurePause * endpoint->failures, maxFailurePause);
        refreshScheduler(*endpoint);
        co_return tl::unexpected(ErrorCode::Other);
    }
    recordAnswer(*endpoint, sentAt);
    if (*opened.refusal == ErrorCode::TooManyConnections)
        endpoint->fullUntil = BootClock::now() + (sharing().isScarce() ? scarceConnectionLimitPause : connectionLimitPause);
    else
        endpoint->unusableUntil = BootClock::now() + failurePause;
    if (m_pacer && *opened.refusal == ErrorCode::Busy)
        m_pacer->recordRefusal(*endpoint, sentAt);
    EventLog::warn("connection_refused", { { "service", m_name }, { "endpoint", endpoint->entry.id }, { "code", errorCodeName(*opened.refusal) }, { "open", endpoint->open }, { "share", sharing().share() }, { "hosts", m_hostCount } });
    refreshScheduler(*endpoint);
    co_return tl::unexpected(*opened.refusal);
}

bool DatabaseService::isHolder() const
{
    return isLent() && !m_hasStoppedHolding && (m_borrower->rank(m_name) == 0 || BootClock::now() - m_lastLoanRequest < loanRequestRetention);
}

std::optional<std::size_t> DatabaseService::holderRank() const { return m_borrower == nullptr ? std::nullopt : m_borrower->rank(m_name); }

bool DatabaseService::monitorsPrimary() const
{
    // Until the number of hosts is known, this host may be one of many for which the databases have no connections.
    const bool hasOwnConnections = !isLent() && m_hostCount != ConnectionSharing::unknownHostCount;
    return hasOwnConnections || isHolder() || BootClock::now() - m_lastOwnUse < ownUseRetention;
}

bool DatabaseService::canServe(const ConnectionRequest& request) const
{
    if (m_scheduler.expectedWait(request.permit) == milliseconds::max())
        return false;
    if (!request.freshness || currentFloor(request.freshness->maxStaleness, request.freshness->ownCommit))
        return true;
    // Without a recent position, the primary has to be probed for one.
    PermitRequest primaryRequest;
    primaryRequest.eligibility = Eligibility::PrimaryOnly;
    return m_scheduler.expectedWait(primaryRequest) != milliseconds::max();
}

bool DatabaseService::mayWait(const ConnectionRequest& request) const
{
    const bool hasFloor = !request.freshness || currentFloor(request.freshness->maxStaleness, request.freshness->ownCommit);
    if (!hasFloor || m_scheduler.expectedWait(request.permit) > milliseconds(0))
        return true;
    if (request.account.empty())
        return false;
    // A connection that has to be opened for the account may take as long as the connect time-out.
    const auto best = m_scheduler.bestEndpoint(request.permit);
    const auto endpoint = best ? find(*best) : nullptr;
    return !endpoint || std::ranges::none_of(endpoint->idle, [&](const IdleConnection& idle) { return idle.connection->account() == request.account; });
}

Task<tl::expected<ConnectionLease, AcquireFailure>> DatabaseService::acquire(ConnectionRequest request, const SessionState& session)
{
    const auto self = shared_from_this();
    if (isLent()) {
        auto borrowed = co_await m_borrower->borrow(self, request);
        if (borrowed)
            co_return std::move(*borrowed);
    } else if (m_borrower != nullptr && !canServe(request)) {
        auto borrowed = co_await m_borrower->borrowFromAnyRegion(self, request);
        if (borrowed)
            co_return std::move(*borrowed);
    }
    co_return co_await acquireOwn(std::move(request), session);
}

void DatabaseService::recordQueueAnswer(const PermitRequest& request, bool isOverShare, bool granted)
{
    if (!request.account.empty())
        m_metrics.queueAnswered(m_name, isOverShare, granted);
}

Task<tl::expected<ConnectionLease, AcquireFailure>> DatabaseService::acquireOwn(ConnectionRequest request, const SessionState& session)
{
    m_lastOwnUse = BootClock::now();
    if (request.hasLostSender())
        co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, std::string(disconnectedReason), milliseconds(0) });
    if (request.freshness) {
        const auto position = co_await awaitFloor(request.freshness->maxStaleness, request.freshness->ownCommit, request.deadline);
        if (!position)
            co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, "no recent log position of the primary is known", failurePause });
    }
    auto permitRequest = std::move(request.permit);
    permitRequest.account = request.account;
    const auto until = request.deadline;
    while (true) {
        m_scheduler.advanceTo(BootClock::now());
        const bool isOverShare = m_scheduler.isOverShare(permitRequest.charge());
        auto granted = m_scheduler.tryAcquire(permitRequest);
        if (!granted) {
            const auto wait = m_scheduler.expectedWait(permitRequest);
            const auto now = BootClock::now();
            const bool hasNoEndpoint = wait == milliseconds::max();
            if (hasNoEndpoint && permitRequest.eligibility == Eligibility::PrimaryOnly && now < m_writesRefusedUntil)
                co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, "no endpoint can become primary yet", std::chrono::ceil<milliseconds>(m_writesRefusedUntil - now) });
            if (!hasNoEndpoint && now + wait >= permitRequest.queueDeadline) {
                recordQueueAnswer(permitRequest, isOverShare, false);
                co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, std::string("queue is too long").append(isOverShare ? overShareReason : ""), wait });
            }
            auto waiter = std::make_shared<AutoResetEvent>(m_io);
            const auto ticket = m_scheduler.enqueue(permitRequest, now, [&granted, waiter](const std::string& id) {
                granted = id;
                waiter->wake();
            });
            if (request.sender != nullptr)
                request.sender->start([waiter] { waiter->wake(); });
            co_await waiter->wait(std::min(until, permitRequest.queueDeadline));
            if (request.sender != nullptr)
                request.sender->stop();
            if (!granted && request.hasLostSender()) {
                m_metrics.requestAbandoned(m_name);
                co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, std::string(disconnectedReason), milliseconds(0) });
            }
            if (!granted) {
                recordQueueAnswer(permitRequest, isOverShare, false);
                const auto reason = std::string(hasNoEndpoint ? "no endpoint is available" : "no connection became free").append(isOverShare ? overShareReason : "");
                co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, reason, hasNoEndpoint ? failurePause : wait });
            }
        }
        recordQueueAnswer(permitRequest, isOverShare, true);
        const auto since = BootClock::now();
        const auto endpoint = find(*granted);
        if (!endpoint) {
            m_scheduler.removeEndpoint(*granted);
            m_scheduler.cancelGrant(permitRequest.charge());
            continue;
        }
        auto connection = m_pool.take(*endpoint, request.account, session);
        updateOpeningCost(*endpoint);
        if (!connection) {
            // An endpoint that has just refused a connection has room for another one only if one is closed. This is so after
            // a loss of power of all hosts, until the endpoint drops their former connections.
            const int share = sharing().share();
            const bool isFull = !request.account.empty() && since < endpoint->fullUntil;
            m_pool.makeRoom(*endpoint, request.account, isFull ? std::min(share, endpoint->open) : share);
            auto opened = co_await open(endpoint, request.account, std::chrono::duration_cast<milliseconds>(until - since));
            if (!opened) {
                m_scheduler.release(*granted, {}, permitRequest.charge());
                // A write has only one endpoint and waits until it can be tried again; a read tries another endpoint.
                if (permitRequest.eligibility == Eligibility::Any)
                    permitRequest.excluded.insert(*granted);
                if (BootClock::now() >= permitRequest.queueDeadline)
                    co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, "no connection could be opened", failurePause });
                continue;
            }
            connection = std::move(*opened);
        }
        ConnectionLease lease(shared_from_this(), endpoint, std::move(connection), since);
        lease.chargeTo(permitRequest.charge());
        co_return std::move(lease);
    }
}

Task<std::optional<ConnectionLease>> DatabaseService::acquireProbe(std::shared_ptr<Endpoint> endpoint, milliseconds timeout)
{
    const auto since = BootClock::now();
    auto connection = m_pool.takeForProbe(*endpoint);
    updateOpeningCost(*endpoint);
    if (!connection) {
        auto opened = co_await open(endpoint, {}, timeout);
        if (!opened)
            co_return std::nullopt;
        connection = std::move(*opened);
    }
    m_scheduler.acquireUnqueued(endpoint->entry.id, connection->account());
    co_return ConnectionLease(shared_from_this(), endpoint, std::move(connection), since);
}

void DatabaseService::returnConnection(const std::string& id, std::unique_ptr<DatabaseConnection> connection, BootTime since, std::optional<PermitCharge> charge)
{
    const auto endpoint = find(id);
    if (endpoint && connection->needsCleanUp()) {
        asio::co_spawn(m_io, cleanUp(endpoint, std::move(connection), since, std::move(charge)), asio::detached);
        return;
    }
    const auto held = BootClock::now() - since;
    const std::string account = connection->account();
    if (endpoint) {
        const bool isServing = !endpoint->entry.isDraining || id == m_primary;
        m_pool.putBack(*endpoint, std::move(connection), isServing, held, poolRules());
        updateOpeningCost(*endpoint);
    }
    m_scheduler.advanceTo(BootClock::now());
    const auto holdTime = std::chrono::duration_cast<std::chrono::microseconds>(held);
    if (charge)
        m_scheduler.release(id, holdTime, *charge);
    else
        m_scheduler.release(id, holdTime, account);
}

Task<void> DatabaseService::cleanUp(std::shared_ptr<Endpoint> endpoint, std::unique_ptr<DatabaseConnection> connection, BootTime since, std::optional<PermitCharge> charge)
{
    const auto& state = connection->state();
    CommandBatch batch;
    if (state.transaction() != TransactionState::None)
        batch.addRollback();
    if (state.isResetDue() || state.hasUncommittedState())
        batch.addReset();
    std::vector<DatabaseReply> replies;
    const auto status = co_await connection->exchange(std::move(batch), replies, BootClock::now() + cleanUpTimeout);
    const auto refused = std::ranges::find_if_not(replies, &DatabaseReply::isSuccess);
    // Closing the connection rolls back as well; returnConnection() must not start another clean-up.
    if (status != ExchangeStatus::Ok || !connection->isReusable())
        connection->close();
    if (status != ExchangeStatus::Ok || refused != replies.end())
        EventLog::warn("connection_not_cleaned", { { "service", m_name }, { "endpoint", endpoint->entry.id }, { "connection", connection->number() }, { "state", transactionStateName(state.transaction()) }, { "answered", status == ExchangeStatus::Ok }, { "code", refused != replies.end() ? errorCodeName(*refused->code) : "" } });
    returnConnection(endpoint->entry.id, std::move(connection), since, std::move(charge));
}

} // namespace kumquatbank
