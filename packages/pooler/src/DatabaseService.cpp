#include "DatabaseService.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/routing/PromotionPolicy.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds minLagBackoff { 50 };
    constexpr milliseconds maxLagBackoff { 400 };
    /// Entries that expired while the store was unavailable reappear within two seconds of its return.
    constexpr milliseconds missingEntryGrace { 2500 };
    /// Answer time recorded for a statement that a full endpoint refused; longer than that of an endpoint with a short
    /// queue, so that the scheduler prefers the latter.
    constexpr milliseconds refusedAnswerTime { 200 };

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
    if (!id.empty() && id != m_lastPrimary)
        m_commits = {};
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

void DatabaseService::recordPrimary(Endpoint& endpoint, std::optional<LogPosition> position, BootTime sentAt)
{
    setPrimary(endpoint.entry.id, "accepted as primary");
    m_primaryConfirmedAt = std::max(m_primaryConfirmedAt, sentAt);
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

} // namespace kumquatbank
