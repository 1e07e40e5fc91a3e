#include "GroupSupervisor.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr Milliseconds tickInterval { 20 };

    // Spread of the pauses after a lost promotion, so that two promoters do not collide again.
    constexpr Milliseconds shortestRetry { 100 };
    constexpr Milliseconds longestRetry { 300 };
    constexpr unsigned maxRetryFactor = 4;

    // Writes that run when a planned change begins get this time to be confirmed.
    constexpr Milliseconds drainLimit { 500 };
    constexpr Milliseconds statusTimeout { 300 };

} // namespace

GroupSupervisor::GroupSupervisor(GroupParts& parts)
    : m_parts(parts)
    , m_trigger(parts.view, parts.options.promoteAnyway)
    , m_random(std::random_device {}())
{
}

void GroupSupervisor::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void GroupSupervisor::stop()
{
    m_thread.request_stop();
    if (m_thread.joinable())
        m_thread.join();
}

void GroupSupervisor::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        m_parts.claim.tick();
        if (m_parts.claim.isHeld()) {
            supervisePrimary();
            m_parts.promotion.repair();
        }
        m_parts.transactions.closeIdle(m_parts.options.transactionIdle);
        std::unique_lock lock(m_mutex);
        m_wake.wait_for(lock, stop, tickInterval, [] { return false; });
    }
}

void GroupSupervisor::supervisePrimary()
{
    if (Clock::now() < m_nextAttempt)
        return;
    const bool isPlanned = m_trigger.isChangePlanned();
    if (!isPlanned && m_heldSince) {
        m_heldSince.reset();
        m_parts.view.holdWrites(false);
    }
    if (const auto decision = m_trigger.check())
        attempt(decision->reason, decision->excluded);
    else if (isPlanned)
        changeLeavingPrimary();
}

void GroupSupervisor::changeLeavingPrimary()
{
    const auto primary = m_parts.view.primary();
    if (!m_heldSince) {
        m_heldSince = Clock::now();
        m_parts.view.holdWrites(true);
    }
    const bool isDrained = m_parts.writesInFlight == 0 || Clock::now() - *m_heldSince > drainLimit;
    if (!primary || !isDrained || !hasCaughtUp(*primary))
        return;
    attempt("the primary is leaving");
    m_heldSince.reset();
    m_parts.view.holdWrites(false);
}

bool GroupSupervisor::hasCaughtUp(const PrimaryView& primary)
{
    const auto status = m_parts.endpoints[primary.slot]->control().call(
        "status", nlohmann::json::object(), Deadline::after(statusTimeout));
    if (!status || !status->contains("position"))
        return false;
    const auto position = status->at("position").get<std::uint64_t>();
    const auto slots = m_parts.view.slots();
    return std::ranges::any_of(slots, [&](const SlotView& slot) {
        return slot.isReachable && !slot.isPrimary && !slot.isLeaving && slot.promisedTerm == primary.term
            && slot.position.term == primary.term && slot.position.position >= position;
    });
}

void GroupSupervisor::attempt(const std::string& reason, std::optional<std::size_t> excluded)
{
    const auto primary = m_parts.promotion.attempt(reason, excluded);
    for (const auto& endpoint : m_parts.endpoints)
        endpoint->prober().probeSoon();
    if (primary) {
        m_failedAttempts = 0;
        return;
    }
    m_failedAttempts = std::min(m_failedAttempts + 1, maxRetryFactor);
    std::uniform_int_distribution<Milliseconds::rep> spread(
        shortestRetry.count(), longestRetry.count() * m_failedAttempts);
    m_nextAttempt = Clock::now() + Milliseconds(spread(m_random));
}

} // namespace kumquatbank
