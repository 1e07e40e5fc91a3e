#include "Claim.h"

#include <algorithm>
#include <numeric>

namespace kumquatbank {

namespace {

    constexpr Milliseconds callTimeout { 500 };

    // Time for which a superseded process does not claim again. It doubles with every consecutive loss; otherwise
    // two processes that both receive requests for the group would take it from each other forever.
    constexpr Milliseconds backoffAfterLoss { 2000 };
    constexpr unsigned maxBackoffDoublings = 4;
    constexpr Milliseconds lossCountResetTime { 30'000 };

    // Range of the random delay after an attempt that no majority granted.
    constexpr Milliseconds minRetryDelay { 50 };
    constexpr Milliseconds maxRetryDelay { 300 };

    // A greater claim at a minority of slots belongs to a process that did not obtain the other slots. This process
    // claims again with a greater number after this time, because those slots refuse its statements.
    constexpr Milliseconds competingClaimTolerance { 1000 };

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

bool Claim::isCompetingClaim(const SlotView& slot) const
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
        isDue = !m_isStopped && !m_isActive && m_isRequested && Clock::now() >= m_nextAttempt;
    }
    if (isActive)
        checkCompetingClaims(slots);
    else if (isDue && m_view.reachableCount() > 0)
        acquire();
}

void Claim::checkCompetingClaims(const std::vector<SlotView>& slots)
{
    const auto competing = static_cast<std::size_t>(
        std::ranges::count_if(slots, [this](const SlotView& slot) { return isCompetingClaim(slot); }));
    if (competing >= m_view.majority()) {
        recordLoss(std::ranges::max(slots, {}, &SlotView::claim).claimHost);
        return;
    }
    if (competing == 0) {
        m_competingSince.reset();
        sendClaimToStaleSlots(slots);
        return;
    }
    if (!m_competingSince)
        m_competingSince = Clock::now() + randomDelay(Milliseconds(0), competingClaimTolerance);
    const bool isDue = Clock::now() > *m_competingSince + competingClaimTolerance;
    if (isDue && !isStopped() && m_view.reachableCount() >= m_view.majority()) {
        m_competingSince.reset();
        acquire();
    }
}

void Claim::sendClaimToStaleSlots(const std::vector<SlotView>& slots)
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

void Claim::acquire()
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

    // No process can hold the group while fewer slots than a majority are reachable. The claim then allows only reads.
    const bool isReadOnlyClaim = granted == answered && granted > 0 && answered < m_view.majority();
    if (granted >= m_view.majority() || isReadOnlyClaim) {
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
    const auto competing
        = std::ranges::count_if(slots, [this](const SlotView& slot) { return isCompetingClaim(slot); });
    if (static_cast<std::size_t>(competing) >= m_view.majority()) {
        recordLoss(std::ranges::max(slots, {}, &SlotView::claim).claimHost);
        return;
    }
    const std::scoped_lock lock(m_mutex);
    m_failedAttempts = std::min(m_failedAttempts + 1, maxBackoffDoublings);
    m_nextAttempt = Clock::now() + randomDelay(minRetryDelay, maxRetryDelay * m_failedAttempts);
}

void Claim::recordLoss(const std::string& holder)
{
    LOG4CXX_INFO(partLogger("claim"), "claim " + std::to_string(m_number.load()) + " is superseded by " + holder);
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isActive && Clock::now() - m_activeSince > lossCountResetTime)
            m_consecutiveLosses = 0;
        const auto backoff = backoffAfterLoss * (1U << std::min(m_consecutiveLosses, maxBackoffDoublings));
        ++m_consecutiveLosses;
        m_isActive = false;
        m_isSuperseded = true;
        m_isRequested = false;
        m_knownHolder = holder;
        m_nextAttempt = Clock::now() + randomDelay(backoff, 2 * backoff);
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
    m_isRequested = true;
}

void Claim::endBackoff()
{
    const std::scoped_lock lock(m_mutex);
    m_isRequested = true;
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

Milliseconds Claim::randomDelay(Milliseconds minimum, Milliseconds maximum)
{
    std::uniform_int_distribution<Milliseconds::rep> distribution(minimum.count(), maximum.count());
    return Milliseconds(distribution(m_random));
}

} // namespace kumquatbank
