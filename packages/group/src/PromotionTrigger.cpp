#include "PromotionTrigger.h"

#include <algorithm>
#include <utility>

namespace kumquatbank {

namespace {

    // A replica that had contact with the primary more recently than this is evidence that the primary is alive.
    constexpr Milliseconds primaryContactTimeout { 1000 };

    // Another promoter may be active; its promotion takes a few round trips.
    constexpr Milliseconds electionDelay { 1000 };

    // A primary that answers without the primary role was fenced, and the promoter that fenced it may have failed.
    constexpr Milliseconds demotedDelay { 300 };

    // A primary that is cut off from its replicas, but not from this process, cannot complete any write. Replicas
    // that missed the `follow` message give the same picture; the message is repeated to them within this time.
    constexpr Milliseconds isolatedDelay { 1500 };

} // namespace

PromotionTrigger::PromotionTrigger(const GroupView& view, Milliseconds forcedPromotionDelay)
    : m_view(view)
    , m_forcedPromotionDelay(forcedPromotionDelay)
{
}

void PromotionTrigger::resetTimes()
{
    m_noPrimarySince.reset();
    m_demotedSince.reset();
    m_greaterTermSince.reset();
    m_isolatedSince.reset();
}

bool PromotionTrigger::hasHeldFor(std::optional<TimePoint>& since, bool holds, Milliseconds limit)
{
    if (!holds) {
        since.reset();
        return false;
    }
    if (!since)
        since = Clock::now();
    return Clock::now() - *since >= limit;
}

std::optional<PromotionTrigger::Decision> PromotionTrigger::check()
{
    if (m_view.reachableCount() < m_view.majority())
        return std::nullopt;
    const auto primary = m_view.primary();
    if (primary && primary != std::exchange(m_primary, primary))
        resetTimes();
    if (hasHeldFor(m_noPrimarySince, !primary, electionDelay))
        return Decision { "no primary is known", std::nullopt };
    if (!primary)
        return std::nullopt;

    const auto slots = m_view.slots();
    const auto& slot = slots[primary->slot];
    if (slot.isSuspect)
        return evaluateSuspect(slots, primary->slot);
    if (hasHeldFor(m_demotedSince, slot.isReachable && !slot.isPrimary, demotedDelay))
        return Decision { "the primary no longer has the primary role", std::nullopt };
    const bool hasGreaterTerm = std::ranges::any_of(slots,
        [&](const SlotView& other) { return other.isReachable && other.promisedTerm > primary->term; });
    if (hasHeldFor(m_greaterTermSince, hasGreaterTerm, electionDelay))
        return Decision { "a slot is in a greater term than the primary", std::nullopt };
    if (hasHeldFor(m_isolatedSince, isIsolated(slots, primary->slot), isolatedDelay))
        return Decision { "the primary answers but no replica has contact with it", primary->slot };
    return std::nullopt;
}

bool PromotionTrigger::hasReplicaContact(const std::vector<SlotView>& slots, std::size_t primary) const
{
    for (std::size_t n = 0; n < slots.size(); ++n) {
        if (n != primary && slots[n].isReachable && slots[n].primaryContactAge < primaryContactTimeout)
            return true;
    }
    return false;
}

bool PromotionTrigger::isIsolated(const std::vector<SlotView>& slots, std::size_t primary) const
{
    const auto others = std::ranges::count_if(slots,
        [&](const SlotView& slot) { return slot.isReachable && slot.promisedTerm == slots[primary].promisedTerm; });
    const bool hasMajorityWithoutPrimary = static_cast<std::size_t>(others) > m_view.majority();
    return slots[primary].isReachable && hasMajorityWithoutPrimary && !hasReplicaContact(slots, primary);
}

std::optional<PromotionTrigger::Decision> PromotionTrigger::evaluateSuspect(
    const std::vector<SlotView>& slots, std::size_t primary) const
{
    if (!hasReplicaContact(slots, primary))
        return Decision { "the primary does not answer and no replica has contact with it", std::nullopt };
    const auto& failed = slots[primary].firstProbeFailure;
    if (failed && Clock::now() - *failed >= m_forcedPromotionDelay)
        return Decision { "the primary has not answered this process within the forced promotion delay", std::nullopt };
    return std::nullopt;
}

bool PromotionTrigger::isChangePlanned() const
{
    const auto primary = m_view.primary();
    if (!primary || m_view.reachableCount() < m_view.majority())
        return false;
    const auto slots = m_view.slots();
    if (!slots[primary->slot].isLeaving)
        return false;
    return std::ranges::any_of(slots, [&](const SlotView& other) {
        return other.isReachable && !other.isPrimary && !other.isLeaving && other.promisedTerm == primary->term;
    });
}

} // namespace kumquatbank
