#include "ReadRouter.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    /// Smallest position that covers both.
    LogPosition leastUpperBound(const LogPosition& one, const LogPosition& other)
    {
        return { std::max(one.term, other.term), std::max(one.position, other.position) };
    }

} // namespace

ReadRouter::ReadRouter(const GroupView& view, const Endpoints& endpoints, std::string place)
    : m_view(view)
    , m_endpoints(endpoints)
    , m_place(std::move(place))
{
}

ReadRouter::Candidates ReadRouter::findCandidates(
    const CatalogueEntry& entry, const LogPosition& required, const std::set<std::size_t>& excluded) const
{
    Candidates candidates { std::nullopt, std::nullopt, required };
    if (entry.maxAge) {
        const auto recent = m_view.minimumPositionFor(*entry.maxAge);
        if (!recent)
            return candidates; // Without a recent sample of the primary no replica's age can be bounded.
        candidates.minimum = leastUpperBound(required, *recent);
    }
    const auto slots = m_view.slots();
    const auto primary = m_view.primary();
    std::pair<std::size_t, bool> bestLoad;
    Milliseconds bestCatchUpTime { 0 };
    const auto first = m_nextStart++;
    for (std::size_t step = 0; step < slots.size(); ++step) {
        const auto n = (first + step) % slots.size();
        const bool isCurrentPrimary = primary && primary->slot == n;
        if (isCurrentPrimary || slots[n].isPrimary || !slots[n].isReachable || slots[n].isLeaving
            || excluded.contains(n))
            continue;
        auto& endpoint = *m_endpoints[n];
        if (slots[n].position.covers(candidates.minimum)) {
            // Selects the shortest queue; among equal queues, a replica in the same place as this process.
            const std::pair load { endpoint.admission().waiting() + endpoint.admission().running(),
                endpoint.definition().place != m_place };
            if (!candidates.currentReplica || load < bestLoad) {
                candidates.currentReplica = n;
                bestLoad = load;
            }
            continue;
        }
        const auto catchUpTime = m_view.expectedCatchUpTime(n, candidates.minimum);
        if (!candidates.nextReplica || catchUpTime < bestCatchUpTime) {
            candidates.nextReplica = n;
            bestCatchUpTime = catchUpTime;
        }
    }
    return candidates;
}

std::optional<std::size_t> ReadRouter::usablePrimary(const std::set<std::size_t>& excluded) const
{
    const auto primary = m_view.primary();
    if (!primary || excluded.contains(primary->slot))
        return std::nullopt;
    const auto slot = m_view.slot(primary->slot);
    if (!slot.isPrimary || !slot.isReachable || slot.isLeaving)
        return std::nullopt;
    return primary->slot;
}

Result<ReadRoute> ReadRouter::selectRoute(const CatalogueEntry& entry, const LogPosition& required,
    const std::set<std::size_t>& excluded, const Deadline& deadline, RequestTrace& trace) const
{
    auto candidates = findCandidates(entry, required, excluded);
    if (candidates.currentReplica)
        return ReadRoute { *candidates.currentReplica, candidates.minimum };

    const auto primary = usablePrimary(excluded);
    auto waitLimit = deadline;
    if (primary) {
        const auto primaryWait = m_endpoints[*primary]->admission().expectedWait(entry.rank);
        const bool isReplicaFaster
            = candidates.nextReplica
            && m_view.expectedCatchUpTime(*candidates.nextReplica, candidates.minimum) < primaryWait;
        if (!isReplicaFaster)
            return ReadRoute { *primary, required };
        waitLimit = deadline.cappedTo(primaryWait);
    }

    // Either a replica is expected to serve the read before the primary, or no slot can serve it yet.
    const RequestTrace::Span span(trace, primary ? Cause::ReplicaLag : Cause::PrimaryFailover);
    std::optional<std::size_t> newPrimary;
    m_view.waitUntil(waitLimit, [&] {
        candidates = findCandidates(entry, required, excluded);
        if (!primary)
            newPrimary = usablePrimary(excluded);
        return candidates.currentReplica || newPrimary;
    });
    if (candidates.currentReplica)
        return ReadRoute { *candidates.currentReplica, candidates.minimum };
    if (const auto fallback = primary ? usablePrimary(excluded) : newPrimary)
        return ReadRoute { *fallback, required };
    const bool isAnyReachable = m_view.reachableCount() > 0;
    return notRun(FailureCode::Unavailable, "no available endpoint holds the changes that the read requires",
        isAnyReachable ? Cause::ReplicaLag : Cause::EndpointDown);
}

} // namespace kumquatbank
