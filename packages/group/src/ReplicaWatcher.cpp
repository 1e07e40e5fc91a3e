#include "ReplicaWatcher.h"

namespace kumquatbank {

namespace {

    // Much shorter than the 1 s after which WriteConfirmation refreshes a report.
    constexpr Milliseconds pollTimeout { 200 };

    // Time for the answer in addition to the long poll itself.
    constexpr Milliseconds answerMargin { 500 };

    // The primary's position is sampled only to bound the age of replicas; a poll at every write would cost CPU time.
    constexpr Milliseconds primaryPollInterval { 40 };

    // Delay after a failure. The prober decides whether the endpoint is down.
    constexpr Milliseconds retryDelay { 100 };

} // namespace

ReplicaWatcher::ReplicaWatcher(
    std::size_t slot, EndpointControl& control, GroupView& view, std::function<bool()> isHolder)
    : m_slot(slot)
    , m_control(control)
    , m_view(view)
    , m_isHolder(std::move(isHolder))
{
}

void ReplicaWatcher::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void ReplicaWatcher::stop()
{
    m_thread.request_stop();
    if (m_thread.joinable())
        m_thread.join();
    m_control.close();
}

void ReplicaWatcher::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        Milliseconds pause = retryDelay;
        if (!m_isHolder())
            m_control.close();
        else if (poll())
            pause = m_view.slot(m_slot).isPrimary ? primaryPollInterval : Milliseconds(0);
        if (pause == Milliseconds(0))
            continue;
        std::unique_lock lock(m_mutex);
        m_wake.wait_for(lock, stop, pause, [] { return false; });
    }
}

bool ReplicaWatcher::poll()
{
    const auto known = m_view.slot(m_slot);
    const auto timeout = known.isPrimary ? Milliseconds(1) : pollTimeout;
    const auto sentAt = Clock::now();
    const auto reply = m_control.call("await_position",
        { { "after", known.position.position }, { "timeoutMs", timeout.count() } },
        Deadline::after(timeout + answerMargin));
    if (!reply)
        return false;
    try {
        m_view.applyReport(m_slot,
            { reply->at("promisedTerm").get<Term>(),
                { reply->at("logTerm").get<Term>(), reply->at("position").get<std::uint64_t>() }, sentAt });
        return true;
    } catch (const nlohmann::json::exception&) {
        m_control.close();
        return false;
    }
}

} // namespace kumquatbank
