#include "Claim.h"

#include <algorithm>
#include <numeric>

namespace kumquatbank {

namespace {

    constexpr Milliseconds callTimeout { 500 };

    // A superseded process leaves the new holder alone for this time, doubled with every loss in a row, so
    // that two processes that both receive requests for the group do not take it from each other forever.
    constexpr Milliseconds pauseAfterLoss { 2000 };
    constexpr unsigned maxDoublings = 4;
    constexpr Milliseconds heldLongEnough { 30'000 };

    // Spread of the pauses after an attempt that found no majority.
    constexpr Milliseconds shortestRetry { 50 };
    constexpr Milliseconds longestRetry { 300 };

    // A greater claim at a minority of slots belongs to a process that cannot get the others; it is outbid
    // after this time, because those slots refuse this process's statements.
    constexpr Milliseconds foreignTolerance { 1000 };

} // namespace

Claim::Claim(GroupView& view, std::vector<EndpointControl*> controls, ClaimNumber& number, std::string host,
    std::function<void(bool)> onChange)
    : m_view(view)
    , m_controls(std::move(controls))
    , m_number(number)
    , m_host(std::move(host))
    , m_onChange(std::move(onChange))
    , m_random(std::random_device {}())
{
}

bool Claim::isForeign(const SlotView& slot) const
{
    const auto number = m_number.load();
    return slot.claim > number || (slot.claim == number && number > 0 && slot.claimHost != m_host);
}

void Claim::tick()
{
    const auto slots = m_view.slots();
    bool isActive = false;
    bool isDue = false;
    {
        const std::scoped_lock lock(m_mutex);
        isActive = m_isActive;
        isDue = !m_isStopped && !m_isActive && m_isWanted && Clock::now() >= m_nextAttempt;
    }
    if (isActive)
        checkHeld(slots);
    else if (isDue && m_view.reachableCount() > 0)
        attempt();
}

void Claim::checkHeld(const std::vector<SlotView>& slots)
{
    const auto foreign = static_cast<std::size_t>(
        std::ranges::count_if(slots, [this](const SlotView& slot) { return isForeign(slot); }));
    if (foreign >= m_view.majority()) {
        lose(std::ranges::max(slots, {}, &SlotView::claim).claimHost);
        return;
    }
    if (foreign == 0) {
        m_foreignSince.reset();
        announceToLateSlots(slots);
        return;
    }
    if (!m_foreignSince)
        m_foreignSince = Clock::now() + randomPause(Milliseconds(0), foreignTolerance);
    const bool isDue = Clock::now() > *m_foreignSince + foreignTolerance;
    if (isDue && !isStopped() && m_view.reachableCount() >= m_view.majority()) {
        m_foreignSince.reset();
        attempt();
    }
}

void Claim::announceToLateSlots(const std::vector<SlotView>& slots)
{
    const auto number = m_number.load();
    for (std::size_t n = 0; n < slots.size(); ++n) {
        if (!slots[n].isReachable || slots[n].claim >= number)
            continue;
        const auto sentAt = Clock::now();
        const auto reply
            = m_controls[n]->call("claim", { { "claim", number }, { "host", m_host } }, Deadline::after(callTimeout));
        if (reply && reply->is_object())
            m_view.applyClaim(n, reply->value("claim", std::uint64_t { 0 }), reply->value("claimHost", ""), sentAt);
    }
}

void Claim::attempt()
{
    const auto known = m_view.slots();
    const auto number = std::max(m_number.load(), std::ranges::max(known, {}, &SlotView::claim).claim) + 1;
    m_number = number;

    std::vector<std::size_t> all(m_controls.size());
    std::iota(all.begin(), all.end(), 0);
    ParallelCalls calls(
        m_controls, all, "claim", { { "claim", number }, { "host", m_host } }, Deadline::after(callTimeout));
    const auto replies = calls.wait(m_view.majority(), isGranted);
    for (const auto& reply : replies) {
        if (reply.result && reply.result->is_object())
            m_view.applyClaim(reply.slot, reply.result->value("claim", std::uint64_t { 0 }),
                reply.result->value("claimHost", ""), reply.sentAt);
    }
    const auto granted = static_cast<std::size_t>(std::ranges::count_if(replies, isGranted));
    const auto answered = static_cast<std::size_t>(
        std::ranges::count_if(replies, [](const auto& reply) { return reply.result.has_value(); }));

    // With fewer slots in reach than a majority nobody can hold the group; the claim then only allows reads.
    const bool isAlone = granted == answered && granted > 0 && answered < m_view.majority();
    if (granted >= m_view.majority() || isAlone) {
        LOG4CXX_INFO(partLogger("claim"),
            "claim " + std::to_string(number) + " granted by " + std::to_string(granted) + " slots");
        {
            const std::scoped_lock lock(m_mutex);
            m_isActive = true;
            m_isSuperseded = false;
            m_activeSince = Clock::now();
            m_knownHolder.clear();
            m_failedAttempts = 0;
        }
        m_onChange(true);
        m_view.wake();
        return;
    }
    const auto slots = m_view.slots();
    const auto foreign = std::ranges::count_if(slots, [this](const SlotView& slot) { return isForeign(slot); });
    if (static_cast<std::size_t>(foreign) >= m_view.majority()) {
        lose(std::ranges::max(slots, {}, &SlotView::claim).claimHost);
        return;
    }
    const std::scoped_lock lock(m_mutex);
    m_failedAttempts = std::min(m_failedAttempts + 1, maxDoublings);
    m_nextAttempt = Clock::now() + randomPause(shortestRetry, longestRetry * m_failedAttempts);
}

void Claim::lose(const std::string& holder)
{
    LOG4CXX_INFO(partLogger("claim"), "claim " + std::to_string(m_number.load()) + " is superseded by " + holder);
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isActive && Clock::now() - m_activeSince > heldLongEnough)
            m_lostInARow = 0;
        const auto pause = pauseAfterLoss * (1U << std::min(m_lostInARow, maxDoublings));
        ++m_lostInARow;
        m_isActive = false;
        m_isSuperseded = true;
        m_isWanted = false;
        m_knownHolder = holder;
        m_nextAttempt = Clock::now() + randomPause(pause, 2 * pause);
    }
    m_onChange(false);
    m_view.wake();
}

bool Claim::isHeld() const
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_isActive)
            return false;
    }
    return m_view.claimCount(m_number.load(), m_host) >= m_view.majority();
}

bool Claim::allowsReads() const
{
    if (isHeld())
        return true;
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_isActive)
            return false;
    }
    const auto reachable = m_view.reachableCount();
    return reachable > 0 && reachable < m_view.majority() && m_view.claimCount(m_number.load(), m_host) >= reachable;
}

bool Claim::isSuperseded() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isSuperseded && (m_isStopped || Clock::now() < m_nextAttempt);
}

void Claim::request()
{
    const std::scoped_lock lock(m_mutex);
    m_isWanted = true;
}

void Claim::allowNow()
{
    const std::scoped_lock lock(m_mutex);
    m_isWanted = true;
    m_isSuperseded = false;
    m_knownHolder.clear();
    m_nextAttempt = Clock::now();
}

bool Claim::isStopped() const
{
    const std::scoped_lock lock(m_mutex);
    return m_isStopped;
}

void Claim::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_isStopped = true;
}

std::string Claim::knownHolder() const
{
    const std::scoped_lock lock(m_mutex);
    return m_knownHolder;
}

Milliseconds Claim::randomPause(Milliseconds least, Milliseconds most)
{
    std::uniform_int_distribution<Milliseconds::rep> spread(least.count(), most.count());
    return Milliseconds(spread(m_random));
}

} // namespace kumquatbank
