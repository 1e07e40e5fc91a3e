#include "PromotionTrigger.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // A replica that heard the primary more recently than this is a witness that it is alive.
    constexpr Milliseconds contactLimit { 1000 };

    // Another promoter may be at work; its promotion takes a few round trips.
    constexpr Milliseconds electionDelay { 1000 };

    // A primary that answers without the role was fenced, and its promoter may have failed.
    constexpr Milliseconds demotedDelay { 300 };

    // A primary cut off from its replicas, but not from this process, can run no write to the end. Replicas
    // that lost the `follow` message look the same; they are told again within this time.
    constexpr Milliseconds isolatedDelay { 1500 };

} // namespace

PromotionTrigger::PromotionTrigger(const GroupView& view, Milliseconds promoteAnyway)
    : m_view(view)
    , m_promoteAnyway(promoteAnyway)
{
}

bool PromotionTrigger::hasLasted(std::optional<TimePoint>& since, bool holds, Milliseconds limit)
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
    if (hasLasted(m_withoutPrimary, !primary, electionDelay))
        return Decision { "no primary is known", std::nullopt };
    if (!primary)
        return std::nullopt;

    const auto slots = m_view.slots();
    const auto& slot = slots[primary->slot];
    if (slot.isSuspect)
        return checkSuspect(slots, primary->slot);
    if (hasLasted(m_demoted, slot.isReachable && !slot.isPrimary, demotedDelay))
        return Decision { "the primary gave up its role", std::nullopt };
    const bool isOvertaken = std::ranges::any_of(slots,
        [&](const SlotView& other) { return other.isReachable && other.promisedTerm > primary->term; });
    if (hasLasted(m_greaterTerm, isOvertaken, electionDelay))
        return Decision { "a slot is in a greater term than the primary", std::nullopt };
    if (hasLasted(m_isolated, isIsolated(slots, primary->slot), isolatedDelay))
        return Decision { "the primary answers but no replica hears it", primary->slot };
    return std::nullopt;
}

bool PromotionTrigger::isHeardByReplica(const std::vector<SlotView>& slots, std::size_t primary) const
{
    for (std::size_t n = 0; n < slots.size(); ++n) {
        if (n != primary && slots[n].isReachable && slots[n].primaryContact < contactLimit)
            return true;
    }
    return false;
}

bool PromotionTrigger::isIsolated(const std::vector<SlotView>& slots, std::size_t primary) const
{
    const auto others = std::ranges::count_if(slots,
        [&](const SlotView& slot) { return slot.isReachable && slot.promisedTerm == slots[primary].promisedTerm; });
    const bool isMajorityWithout = static_cast<std::size_t>(others) > m_view.majority();
    return slots[primary].isReachable && isMajorityWithout && !isHeardByReplica(slots, primary);
}

std::optional<PromotionTrigger::Decision> PromotionTrigger::checkSuspect(
    const std::vector<SlotView>& slots, std::size_t primary) const
{
    if (!isHeardByReplica(slots, primary))
        return Decision { "the primary does not answer and no replica hears it", std::nullopt };
    const auto& failed = slots[primary].firstFailure;
    if (failed && Clock::now() - *failed >= m_promoteAnyway)
        return Decision { "the primary does not answer this process for too long", std::nullopt };
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
