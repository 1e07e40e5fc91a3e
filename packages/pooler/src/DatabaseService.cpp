#include "DatabaseService.h"

#include "ConnectionBorrower.h"
#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/routing/PromotionPolicy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <numeric>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds probeTimeout { 400 };
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
    constexpr milliseconds minLagBackoff { 50 };
    constexpr milliseconds maxLagBackoff { 400 };
    /// While reads need a position, the primary is probed if the newest position is older than this.
    constexpr milliseconds floorRefreshAge { 300 };
    /// The primary is probed if its last answer is older than this.
    constexpr milliseconds primaryProbeAge { 250 };
    /// Replaces both ages while a peer reports positions. Covers the probe interval of the peer, the interval between
    /// two requests to it, and one failed request.
    constexpr milliseconds peerInformedProbeAge { 900 };
    /// Peers count as reporting positions for this time after their last newer sample.
    constexpr milliseconds peerSampleValidity { 800 };
    /// If the primary has not answered for this time after failures, the other endpoints are probed as well.
    constexpr milliseconds primarySuspectAge { 800 };
    /// Positions are kept fresh for this time after the last read that needs a minimum position.
    constexpr milliseconds floorRefreshPeriod { 3000 };
    /// Entries that expired while the store was unavailable reappear within two seconds of its return.
    constexpr milliseconds missingEntryGrace { 2500 };
    /// Answer time recorded for a statement that a full endpoint refused; longer than that of an endpoint with a short
    /// queue, so that the scheduler prefers the latter.
    constexpr milliseconds refusedAnswerTime { 200 };
    /// A host that received loan requests keeps its connections for this time after the last one.
    constexpr milliseconds loanRequestRetention { 5000 };
    /// A host that used its own connections although connections are lent monitors the primary for this time.
    constexpr milliseconds ownUseRetention { 3000 };
    /// Consecutive failures after which the primary is suspected.
    constexpr int suspectAfterFailures = 2;
    constexpr int roundTripSmoothing = 8;
    /// Minimum interval between two searches for the primary, which probe all endpoints.
    constexpr milliseconds primarySearchInterval { 150 };
    /// Commits count as stalled if so many in a row were not answered, the first of them sent this long ago.
    constexpr int stalledCommitThreshold = 2;
    constexpr milliseconds stalledCommitAge { 2000 };

} // namespace

DatabaseService::DatabaseService(asio::io_context& io, std::string name, std::string hostName, PoolerMetrics& metrics, ConnectionBorrower* borrower)
    : m_io(io)
    , m_name(std::move(name))
    , m_metrics(metrics)
    , m_borrower(borrower)
    , m_pool(io, m_name, std::move(hostName), metrics)
{
    m_scheduler.setAccountOpeningCost([this](const std::string& id, const std::string& account) {
        const auto endpoint = find(id);
        return endpoint ? endpoint->cache.openingCost(account, sharing().share(), endpoint->connectTime) : std::chrono::microseconds(0);
    });
}

void DatabaseService::setLimits(const ServiceLimits& limits, int hostCount, int lenderCount)
{
    m_limits = limits;
    m_hostCount = std::max(1, hostCount);
    m_lenderCount = lenderCount;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (isLent() && !isHolder())
            m_pool.closeAllIdle(*endpoint, "lent");
        refreshScheduler(*endpoint);
    }
}

void DatabaseService::setEndpointTimes(milliseconds drainTime, milliseconds memberRetention)
{
    m_drainTime = drainTime;
    m_memberRetention = memberRetention;
}

void DatabaseService::stopHolding()
{
    m_hasStoppedHolding = true;
    if (!isLent())
        return;
    for (const auto& [id, endpoint] : m_endpoints)
        m_pool.closeAllIdle(*endpoint, "stop");
}

void DatabaseService::refreshScheduler(const Endpoint& endpoint)
{
    // An endpoint that was removed in the meantime must not be added to the scheduler again, because the scheduler
    // would grant it indefinitely.
    if (find(endpoint.entry.id).get() != &endpoint)
        return;
    const auto now = BootClock::now();
    const bool isPrimary = endpoint.entry.id == m_primary;
    const bool isFull = now < endpoint.fullUntil;
    // A draining primary serves until its successor is known or its time ends; a draining replica receives no further
    // requests.
    const bool isServing = !endpoint.entry.isDraining || (isPrimary && now < endpoint.servesUntil);
    const bool isUsable = isServing && now >= endpoint.unusableUntil && (!isFull || endpoint.open > 0) && !(isPrimary && isSuspect(endpoint, now));
    const int share = sharing().share();
    const int limit = m_pacer ? m_pacer->limit(endpoint, isUsable, share, m_limits.maxConnections) : share;
    m_scheduler.setEndpoint(endpoint.entry.id, isUsable, isPrimary, isFull ? std::min(limit, endpoint.open) : limit);
    if (m_pacer)
        m_pacer->applyEjection(endpoint.entry.id);
    m_scheduler.setAnswerTime(endpoint.entry.id, endpoint.expectedAnswerTime(now));
    updateOpeningCost(endpoint);
}

void DatabaseService::updateOpeningCost(const Endpoint& endpoint)
{
    const bool isOpeningCostly = sharing().isScarce() && !isHolder() && endpoint.idle.empty();
    m_scheduler.setOpeningCost(endpoint.entry.id, isOpeningCostly ? endpoint.connectTime : std::chrono::microseconds(0));
}

void DatabaseService::setEntries(const std::vector<EndpointEntry>& entries, bool isComplete, BootTime previousAnswerAt)
{
    const auto now = BootClock::now();
    m_isStoreComplete = isComplete;
    if (!m_followedSince)
        m_followedSince = now;
    std::set<std::string> presentIds;
    std::string primaryHint;
    for (const auto& entry : entries) {
        presentIds.insert(entry.id);
        auto& endpoint = m_endpoints[entry.id];
        const bool isNew = !endpoint;
        if (isNew)
            endpoint = std::make_shared<Endpoint>();
        const auto previousEntry = endpoint->entry;
        const bool hasRestarted = !isNew && (previousEntry.startedAtMs != entry.startedAtMs || previousEntry.address != entry.address);
        if (hasRestarted) {
            // The server restarted under the same id and lost its state, so the recorded state is invalid.
            m_pool.closeAllIdle(*endpoint, "restarted");
            endpoint->unusableUntil = {};
            if (m_pacer)
                m_pacer->restart(entry.id);
            if (m_primary == entry.id)
                setPrimary("", "restarted");
        }
        endpoint->entry = entry;
        endpoint->missingSince.reset();
        if (entry.isDraining && (isNew || !previousEntry.isDraining)) {
            endpoint->drainingSince = now;
            endpoint->servesUntil = drainingServiceEnd(isNew ? std::nullopt : std::optional(std::min(previousAnswerAt, now)), m_drainTime, now);
            EventLog::info("endpoint_draining", { { "service", m_name }, { "endpoint", entry.id }, { "serves_ms", toMs(endpoint->servesUntil - now) }, { "known_ready_ms", isNew ? -1 : toMs(now - previousAnswerAt) } });
        }
        if (entry.isDraining && !previousEntry.isDraining && entry.id != m_primary)
            m_pool.closeAllIdle(*endpoint, "draining");
        if (isNew || previousEntry != entry)
            EventLog::info("endpoint_changed", { { "service", m_name }, { "endpoint", entry.id }, { "data_centre", entry.dataCentre }, { "role", entry.role == EndpointRole::Primary ? "primary" : "replica" }, { "draining", entry.isDraining }, { "address", entry.address.toString() }, { "is_new", isNew }, { "evidence", "store" } });
        if (entry.role == EndpointRole::Primary && (isNew || previousEntry.role != EndpointRole::Primary || m_primary.empty()))
            primaryHint = entry.id;
        refreshScheduler(*endpoint);
    }
    if (!primaryHint.empty() && primaryHint != m_primary)
        setPrimary(primaryHint, "store");
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!presentIds.contains(id) && !endpoint->missingSince)
            endpoint->missingSince = now;
    }
}

void DatabaseService::removeMissingEndpoints(BootTime now)
{
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
        auto& endpoint = *it->second;
        // While the store is unavailable, a missing entry does not mean that it was removed.
        if (endpoint.missingSince && !m_isStoreComplete)
            endpoint.missingSince = now;
        if (!endpoint.missingSince || now - *endpoint.missingSince < missingEntryGrace) {
            ++it;
            continue;
        }
        EventLog::info("endpoint_gone", { { "service", m_name }, { "endpoint", it->first }, { "missing_ms", toMs(now - *endpoint.missingSince) } });
        m_departed[it->first] = { endpoint.entry.address, endpoint.entry.isDraining, now };
        if (m_primary == it->first)
            setPrimary("", "entry removed");
        m_scheduler.removeEndpoint(it->first);
        if (m_pacer)
            m_pacer->removeEndpoint(it->first);
        m_pool.closeAllIdle(endpoint, "gone");
        it = m_endpoints.erase(it);
    }
}

void DatabaseService::setPrimary(const std::string& id, std::string_view evidence)
{
    if (id == m_primary)
        return;
    // A process that has just started has had no primary before.
    const auto believedFor = m_primarySince == BootTime() ? -1 : toMs(BootClock::now() - m_primarySince);
    EventLog::info("primary_changed", { { "service", m_name }, { "from", m_primary }, { "to", id }, { "evidence", evidence }, { "believed_for_ms", believedFor } });
    const auto previous = std::exchange(m_primary, id);
    m_primarySince = BootClock::now();
    if (m_pacer && !id.empty() && id != m_lastPrimary)
        m_pacer->restart(id);
    if (!id.empty())
        m_lastPrimary = id;
    if (const auto endpoint = find(id)) {
        endpoint->unusableUntil = {};
        endpoint->laggingUntil = {};
        refreshScheduler(*endpoint);
    }
    if (const auto endpoint = find(previous))
        refreshScheduler(*endpoint);
}

std::shared_ptr<Endpoint> DatabaseService::find(const std::string& id) const
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : it->second;
}

std::shared_ptr<Endpoint> DatabaseService::primary() const { return find(m_primary); }

std::size_t DatabaseService::memberCount() const
{
    const auto now = BootClock::now();
    const auto mayHoldCommits = [&](const auto& item) {
        const auto& id = item.first;
        const DepartedEndpoint& departed = item.second;
        const bool isReplaced = departed.wasDraining && std::ranges::any_of(m_endpoints, [&departed](const auto& known) { return known.second->entry.address == departed.address; });
        return id != m_lastPrimary && !m_endpoints.contains(id) && !isReplaced && now - departed.at < m_memberRetention;
    };
    const auto departed = static_cast<std::size_t>(std::ranges::count_if(m_departed, mayHoldCommits));
    const bool isLastPrimaryListed = m_lastPrimary.empty() || m_endpoints.contains(m_lastPrimary);
    return m_endpoints.size() + departed + (isLastPrimaryListed ? 0 : 1);
}

bool DatabaseService::areMembersKnown() const { return m_followedSince && BootClock::now() - *m_followedSince >= m_memberRetention; }

milliseconds DatabaseService::servingTime(const Endpoint& endpoint) const
{
    return std::chrono::duration_cast<milliseconds>(endpoint.servesUntil - BootClock::now());
}

void DatabaseService::recordCommitAnswer(bool wasAnswered, BootTime sentAt)
{
    if (wasAnswered)
        m_unansweredCommits = 0;
    else if (++m_unansweredCommits == 1)
        m_firstUnansweredCommit = sentAt;
}

bool DatabaseService::hasStalledCommits() const
{
    return m_limits.syncReplicas > 0 && m_unansweredCommits >= stalledCommitThreshold && BootClock::now() - m_firstUnansweredCommit >= stalledCommitAge;
}

void DatabaseService::recordPrimary(Endpoint& endpoint, std::optional<LogPosition> position, BootTime sentAt)
{
    setPrimary(endpoint.entry.id, "accepted as primary");
    if (position)
        addFloorSample(*position, sentAt);
}

void DatabaseService::recordPeerSample(const PositionSample& sample, BootTime requestedAt)
{
    // The peer computes the age after this host sent the request, so the sample is at most as old as computed here.
    const auto takenAt = requestedAt - sample.age;
    const auto* newest = m_floor.newest();
    if (newest != nullptr && takenAt <= newest->takenAt)
        return;
    m_lastPeerSample = BootClock::now();
    const auto endpoint = find(sample.primary);
    // A sample older than the last recorded change of primary may name the previous primary; its position is valid
    // nevertheless.
    if (endpoint && takenAt > m_primarySince) {
        endpoint->lastAnswer = std::max(endpoint->lastAnswer, takenAt);
        setPrimary(sample.primary, "peer");
    }
    addFloorSample(sample.position, takenAt);
}

std::optional<PositionSample> DatabaseService::newestSample(BootTime requestedAt) const
{
    const auto* newest = m_floor.newest();
    if (newest == nullptr)
        return std::nullopt;
    // Rounded up, so that a sample never appears younger than it is.
    const auto age = std::chrono::ceil<milliseconds>(requestedAt - newest->takenAt);
    return PositionSample { newest->takenAt > m_primarySince ? m_primary : std::string(), newest->position, age };
}

void DatabaseService::addFloorSample(LogPosition position, BootTime takenAt)
{
    m_floor.addSample(position, takenAt);
    for (const auto& waiter : std::exchange(m_floorWaiters, {}))
        waiter->wake();
}

void DatabaseService::recordNotPrimary(Endpoint& endpoint)
{
    if (endpoint.entry.id == m_primary)
        setPrimary("", "refused as replica");
}

void DatabaseService::recordLagging(Endpoint& endpoint)
{
    endpoint.lagBackoff = std::clamp(endpoint.lagBackoff * 2, minLagBackoff, maxLagBackoff);
    endpoint.laggingUntil = BootClock::now() + endpoint.lagBackoff;
}

void DatabaseService::recordFailure(Endpoint& endpoint, std::string_view description)
{
    const auto now = BootClock::now();
    ++endpoint.failures;
    if (m_pacer && m_pacer->recordMissingAnswer(endpoint))
        refreshScheduler(endpoint);
    EventLog::warn("endpoint_failure", { { "service", m_name }, { "endpoint", endpoint.entry.id }, { "what", description }, { "failures", endpoint.failures }, { "last_answer_ms", toMs(now - endpoint.lastAnswer) } });
}

void DatabaseService::recordAnswer(Endpoint& endpoint, BootTime sentAt)
{
    const bool hasRecovered = endpoint.failures > 0;
    if (hasRecovered)
        EventLog::info("endpoint_regained", { { "service", m_name }, { "endpoint", endpoint.entry.id }, { "failures", endpoint.failures } });
    endpoint.recordAnswer(sentAt);
    if (hasRecovered) {
        endpoint.unusableUntil = {};
        refreshScheduler(endpoint);
    }
}

void DatabaseService::recordStatement(Endpoint& endpoint, BootTime sentAt, bool wasRefused)
{
    const auto now = BootClock::now();
    endpoint.answerTime.add(wasRefused ? refusedAnswerTime : now - sentAt, now);
    m_scheduler.setAnswerTime(endpoint.entry.id, endpoint.expectedAnswerTime(now));
}

void DatabaseService::recordOutcome(Endpoint& endpoint, StatementOutcome outcome, std::optional<BootTime> sentAt)
{
    if (m_pacer && m_pacer->record(endpoint, outcome, sentAt))
        refreshScheduler(endpoint);
}

std::set<std::string> DatabaseService::laggingEndpoints() const
{
    const auto now = BootClock::now();
    std::set<std::string> lagging;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (id != m_primary && endpoint->laggingUntil > now)
            lagging.insert(id);
    }
    return lagging;
}

std::optional<LogPosition> DatabaseService::currentFloor(milliseconds maxStaleness, const Floor::SessionCommit& ownCommit) const
{
    return m_floor.floorAt(BootClock::now(), maxStaleness, ownCommit);
}

Task<std::optional<LogPosition>> DatabaseService::awaitFloor(milliseconds maxStaleness, Floor::SessionCommit ownCommit, BootTime until)
{
    m_lastFloorRequest = BootClock::now();
    while (true) {
        const auto position = currentFloor(maxStaleness, ownCommit);
        if (position || BootClock::now() >= until)
            co_return position;
        if (const auto endpoint = primary(); endpoint && !m_probesInProgress.contains(endpoint->entry.id))
            asio::co_spawn(m_io, probe(endpoint), asio::detached);
        auto waiter = std::make_shared<AutoResetEvent>(m_io);
        m_floorWaiters.push_back(waiter);
        // The probe may fail or find another primary, so the loop retries after half a probe time-out.
        co_await waiter->wait(std::min(until, BootClock::now() + probeTimeout / 2));
    }
}

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

bool DatabaseService::isSuspect(const Endpoint& primary, BootTime now) const
{
    return primary.failures >= suspectAfterFailures && now - primary.lastOwnAnswer > primarySuspectAge;
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
    // Closing the connection rolls back as well; returnConnection() must not start another clean-up.
    if (status != ExchangeStatus::Ok || !connection->isReusable()) {
        const auto refused = std::ranges::find_if_not(replies, &DatabaseReply::isSuccess);
        EventLog::warn("connection_not_cleaned", { { "service", m_name }, { "endpoint", endpoint->entry.id }, { "connection", connection->number() }, { "state", transactionStateName(state.transaction()) }, { "answered", status == ExchangeStatus::Ok }, { "code", refused != replies.end() ? errorCodeName(*refused->code) : "" } });
        connection->close();
    }
    returnConnection(endpoint->entry.id, std::move(connection), since, std::move(charge));
}

Task<void> DatabaseService::probe(std::shared_ptr<Endpoint> endpoint)
{
    const auto id = endpoint->entry.id;
    if (!m_probesInProgress.insert(id).second)
        co_return;
    const auto keepAlive = shared_from_this();
    auto lease = co_await acquireProbe(endpoint, probeTimeout);
    if (lease) {
        const auto sentAt = BootClock::now();
        std::vector<DatabaseReply> replies;
        // Only a primary accepts a transaction that may write; opening the transaction runs no statement.
        CommandBatch batch;
        batch.addBegin(false, std::nullopt);
        batch.addRollback();
        const auto status = co_await lease->connection().exchange(std::move(batch), replies, sentAt + probeTimeout);
        if (status != ExchangeStatus::Ok) {
            recordFailure(*endpoint, "probe");
        } else {
            recordAnswer(*endpoint, sentAt);
            if (replies[0].isSuccess())
                recordPrimary(*endpoint, replies[0].position, sentAt);
            else if (replies[0].code == ErrorCode::ReadOnly)
                recordNotPrimary(*endpoint);
        }
    }
    m_probesInProgress.erase(id);
}

bool DatabaseService::shouldProbe(const Endpoint& primary, BootTime now) const
{
    if (!monitorsPrimary())
        return false;
    // Where connections are lent, peer samples arrive only with loans.
    const bool hasPeerSamples = !isLent() && now - m_lastPeerSample < peerSampleValidity;
    if (now - primary.lastAnswer > (hasPeerSamples ? peerInformedProbeAge : primaryProbeAge))
        return true;
    const auto* newest = m_floor.newest();
    const bool isStale = newest == nullptr || now - newest->takenAt > (hasPeerSamples ? peerInformedProbeAge : floorRefreshAge);
    return isStale && now - m_lastFloorRequest < floorRefreshPeriod;
}

Task<void> DatabaseService::runMaintenance()
{
    const auto now = BootClock::now();
    m_scheduler.advanceTo(now);
    removeMissingEndpoints(now);
    std::erase_if(m_departed, [this, now](const auto& item) { return now - item.second.at >= m_memberRetention; });
    if (m_pacer)
        m_pacer->compare(m_endpoints);
    for (const auto& [id, endpoint] : m_endpoints) {
        m_pool.closeExpiredIdle(*endpoint, poolRules(), now);
        refreshScheduler(*endpoint);
    }
    const auto currentPrimary = primary();
    if (currentPrimary) {
        if (shouldProbe(*currentPrimary, now))
            asio::co_spawn(m_io, probe(currentPrimary), asio::detached);
        const bool isUnresponsive = currentPrimary->failures > 0 && now - currentPrimary->lastAnswer > primarySuspectAge;
        if (!isUnresponsive)
            co_return;
    }
    if (!monitorsPrimary() || now - m_lastPrimarySearch < primarySearchInterval)
        co_return;
    m_lastPrimarySearch = now;
    for (const auto& [id, endpoint] : m_endpoints)
        asio::co_spawn(m_io, probe(endpoint), asio::detached);
}

} // namespace kumquatbank
