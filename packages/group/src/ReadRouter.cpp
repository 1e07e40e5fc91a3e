#include "ReadRouter.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    /// Smallest position that covers both.
    LogPosition both(const LogPosition& one, const LogPosition& other)
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

ReadRouter::Choice ReadRouter::look(
    const CatalogueEntry& entry, const LogPosition& required, const std::set<std::size_t>& excluded) const
{
    Choice choice { std::nullopt, std::nullopt, required };
    if (entry.maxAge) {
        const auto recent = m_view.requiredFor(*entry.maxAge);
        if (!recent)
            return choice; // No recent sample of the primary, so no replica's age can be bounded.
        choice.minimum = both(required, *recent);
    }
    const auto slots = m_view.slots();
    const auto primary = m_view.primary();
    std::pair<std::size_t, bool> bestLoad;
    Milliseconds bestCatchUp { 0 };
    const auto first = m_rotation++;
    for (std::size_t step = 0; step < slots.size(); ++step) {
        const auto n = (first + step) % slots.size();
        const bool isCurrentPrimary = primary && primary->slot == n;
        if (isCurrentPrimary || slots[n].isPrimary || !slots[n].isReachable || slots[n].isLeaving
            || excluded.contains(n))
            continue;
        auto& endpoint = *m_endpoints[n];
        if (slots[n].position.covers(choice.minimum)) {
            // The shortest queue wins; among equals a replica in this process's own place.
            const std::pair load { endpoint.admission().waiting() + endpoint.admission().running(),
                endpoint.definition().place != m_place };
            if (!choice.replica || load < bestLoad) {
                choice.replica = n;
                bestLoad = load;
            }
            continue;
        }
        const auto catchUp = m_view.expectedCatchUp(n, choice.minimum);
        if (!choice.closest || catchUp < bestCatchUp) {
            choice.closest = n;
            bestCatchUp = catchUp;
        }
    }
    return choice;
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

Result<ReadRoute> ReadRouter::choose(const CatalogueEntry& entry, const LogPosition& required,
    const std::set<std::size_t>& excluded, const Deadline& deadline, RequestTrace& trace) const
{
    auto choice = look(entry, required, excluded);
    if (choice.replica)
        return ReadRoute { *choice.replica, choice.minimum };

    const auto primary = usablePrimary(excluded);
    auto waitLimit = deadline;
    if (primary) {
        const auto primaryWait = m_endpoints[*primary]->admission().expectedWait(entry.rank);
        const bool isReplicaFaster
            = choice.closest && m_view.expectedCatchUp(*choice.closest, choice.minimum) < primaryWait;
        if (!isReplicaFaster)
            return ReadRoute { *primary, required };
        waitLimit = deadline.cappedTo(primaryWait);
    }

    // Either a replica is about to be faster than the primary, or nothing can serve yet.
    const RequestTrace::Span span(trace, primary ? Cause::ReplicaLag : Cause::PrimaryFailover);
    std::optional<std::size_t> newPrimary;
    m_view.waitUntil(waitLimit, [&] {
        choice = look(entry, required, excluded);
        if (!primary)
            newPrimary = usablePrimary(excluded);
        return choice.replica || newPrimary;
    });
    if (choice.replica)
        return ReadRoute { *choice.replica, choice.minimum };
    if (const auto fallback = primary ? usablePrimary(excluded) : newPrimary)
        return ReadRoute { *fallback, required };
    const bool isAnyReachable = m_view.reachableCount() > 0;
    return notRun(FailureCode::Unavailable, "no endpoint that holds the session's changes can serve the read",
        isAnyReachable ? Cause::ReplicaLag : Cause::EndpointDown);
}

} // namespace kumquatbank
