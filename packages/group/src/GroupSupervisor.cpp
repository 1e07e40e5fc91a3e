#include "GroupSupervisor.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr Milliseconds tickInterval { 20 };

    // Range of the random delay after a failed promotion, so that two promoters do not collide again.
    constexpr Milliseconds minRetryDelay { 100 };
    constexpr Milliseconds maxRetryDelay { 300 };
    constexpr unsigned maxBackoffFactor = 4;

    // Time that writes in flight at the start of a planned change have to be confirmed.
    constexpr Milliseconds drainTimeout { 500 };
    constexpr Milliseconds statusTimeout { 300 };

} // namespace

GroupSupervisor::GroupSupervisor(GroupContext& parts)
    : m_context(parts)
    , m_trigger(parts.view, parts.options.forcedPromotionDelay)
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
        m_context.claim.tick();
        if (m_context.claim.isHeld()) {
            supervisePrimary();
            m_context.promotion.reattachReplicas();
        }
        m_context.transactions.closeIdle(m_context.options.transactionIdle);
        std::unique_lock lock(m_mutex);
        m_wake.wait_for(lock, stop, tickInterval, [] { return false; });
    }
}

void GroupSupervisor::supervisePrimary()
{
    if (Clock::now() < m_nextAttempt)
        return;
    const bool isPlanned = m_trigger.isChangePlanned();
    if (!isPlanned && m_writesPausedSince) {
        m_writesPausedSince.reset();
        m_context.view.pauseWrites(false);
    }
    if (const auto decision = m_trigger.check())
        attempt(decision->reason, decision->excluded);
    else if (isPlanned)
        replaceLeavingPrimary();
}

void GroupSupervisor::replaceLeavingPrimary()
{
    const auto primary = m_context.view.primary();
    if (!m_writesPausedSince) {
        m_writesPausedSince = Clock::now();
        m_context.view.pauseWrites(true);
    }
    const bool isDrained = m_context.writesInFlight == 0 || Clock::now() - *m_writesPausedSince > drainTimeout;
    if (!primary || !isDrained || !hasCaughtUpReplica(*primary))
        return;
    attempt("the primary is leaving");
    m_writesPausedSince.reset();
    m_context.view.pauseWrites(false);
}

bool GroupSupervisor::hasCaughtUpReplica(const PrimaryView& primary)
{
    const auto status = m_context.endpoints[primary.slot]->control().call(
        "status", nlohmann::json::object(), Deadline::after(statusTimeout));
    if (!status || !status->contains("position"))
        return false;
    const auto position = status->at("position").get<std::uint64_t>();
    const auto slots = m_context.view.slots();
    return std::ranges::any_of(slots, [&](const SlotView& slot) {
        return slot.isReachable && !slot.isPrimary && !slot.isLeaving && slot.promisedTerm == primary.term
            && slot.position.term == primary.term && slot.position.position >= position;
    });
}

void GroupSupervisor::attempt(const std::string& reason, std::optional<std::size_t> excluded)
{
    const auto primary = m_context.promotion.attempt(reason, excluded);
    for (const auto& endpoint : m_context.endpoints)
        endpoint->prober().requestProbe();
    if (primary) {
        m_failedAttempts = 0;
        return;
    }
    m_failedAttempts = std::min(m_failedAttempts + 1, maxBackoffFactor);
    std::uniform_int_distribution<Milliseconds::rep> distribution(
        minRetryDelay.count(), maxRetryDelay.count() * m_failedAttempts);
    m_nextAttempt = Clock::now() + Milliseconds(distribution(m_random));
}

} // namespace kumquatbank
