#include "DatabaseService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds probeTimeout { 400 };
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
    /// Consecutive failures after which the primary is suspected.
    constexpr int suspectAfterFailures = 2;
    /// Positions are kept fresh for this time after the last read that needs a minimum position.
    constexpr milliseconds floorRefreshPeriod { 3000 };
    /// Minimum interval between two searches for the primary, which probe all endpoints.
    constexpr milliseconds primarySearchInterval { 150 };

} // namespace

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

bool DatabaseService::isSuspect(const Endpoint& primary, BootTime now) const
{
    return primary.failures >= suspectAfterFailures && now - primary.lastOwnAnswer > primarySuspectAge;
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
