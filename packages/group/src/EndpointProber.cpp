#include "EndpointProber.h"

namespace kumquatbank {

namespace {

    // A tick or a timeout later than this after its time means that this process was paused, which proves
    // nothing about the endpoint.
    constexpr Milliseconds pauseThreshold { 500 };

    // One failed fresh probe can be a lost packet; two in a row are evidence.
    constexpr unsigned failuresUntilSuspect = 2;

} // namespace

EndpointProber::EndpointProber(std::size_t slot, EndpointControl& control, EndpointPool& pool, GroupView& view,
    ProbeTiming timing, std::function<bool()> isHolder, std::function<bool()> isLeaving)
    : m_slot(slot)
    , m_control(control)
    , m_pool(pool)
    , m_view(view)
    , m_timing(timing)
    , m_isHolder(std::move(isHolder))
    , m_isLeaving(std::move(isLeaving))
{
}

void EndpointProber::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void EndpointProber::stop()
{
    m_thread.request_stop();
    if (m_thread.joinable())
        m_thread.join();
}

void EndpointProber::requestProbe()
{
    const std::scoped_lock lock(m_mutex);
    m_isProbeRequested = true;
    m_wake.notify_all();
}

void EndpointProber::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        const auto due = Clock::now() + m_timing.interval;
        probe();
        std::unique_lock lock(m_mutex);
        // The next tick is due an interval after the last one, but not before the probe has ended.
        const auto next = std::max(due, Clock::now());
        m_wake.wait_until(lock, stop, next, [this] { return m_isProbeRequested; });
        m_isProbeRequested = false;
        if (Clock::now() - next > pauseThreshold) {
            m_failedFreshProbes = 0;
            m_view.clearSuspicions();
        }
    }
}

bool EndpointProber::apply(const nlohmann::json& status, TimePoint sentAt)
{
    try {
        m_view.applyStatus(m_slot, status, sentAt, m_isLeaving());
        return true;
    } catch (const nlohmann::json::exception& problem) {
        LOG4CXX_WARN(partLogger("prober"),
            "slot " + std::to_string(m_slot) + " sent a status that cannot be read: " + problem.what());
        return false;
    }
}

void EndpointProber::probe()
{
    const auto startedAt = Clock::now();
    // After a failed fresh probe no connection is left, so the next probe is a fresh one already.
    const bool isRetry = m_failedFreshProbes > 0;
    bool hasTimedOut = false;
    if (!isRetry) {
        const auto status
            = m_control.call("status", nlohmann::json::object(), Deadline::after(m_timing.timeout));
        if (status && apply(*status, startedAt)) {
            if (!m_isHolder())
                m_control.close();
            return;
        }
        // Other calls of this process keep the connection busy; they notice a hanging endpoint themselves.
        if (!status && status.error().code == FailureCode::Unavailable)
            return;
        hasTimedOut = !status && status.error().code == FailureCode::Timeout;
    }

    const auto freshAt = Clock::now();
    const auto fresh = m_control.statusOnNewConnection(Deadline::after(m_timing.timeout));
    if (fresh && apply(*fresh, freshAt)) {
        m_failedFreshProbes = 0;
        LOG4CXX_INFO(partLogger("prober"),
            "slot " + std::to_string(m_slot) + " answers on a fresh connection only; its connections are replaced");
        m_pool.replaceAll(hasTimedOut || isRetry);
        return;
    }
    // Neither a full endpoint nor our own calls in progress say that the endpoint is down.
    if (!fresh
        && (fresh.error().code == FailureCode::ConnectionLimit || fresh.error().code == FailureCode::Unavailable))
        return;
    if (Clock::now() - startedAt > 2 * m_timing.timeout + pauseThreshold) {
        m_failedFreshProbes = 0;
        m_view.clearSuspicions();
        return;
    }
    ++m_failedFreshProbes;
    const bool isSuspect = m_failedFreshProbes >= failuresUntilSuspect;
    if (m_failedFreshProbes == failuresUntilSuspect)
        LOG4CXX_WARN(partLogger("prober"), "slot " + std::to_string(m_slot) + " is suspect");
    m_view.recordProbeFailure(m_slot, startedAt, isSuspect);
    if (isSuspect)
        m_pool.replaceAll(true);
}

} // namespace kumquatbank
