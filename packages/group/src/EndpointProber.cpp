#include "EndpointProber.h"

namespace kumquatbank {

namespace {

    // A tick or a timeout that fires later than this means that this process was paused. A probe that fails then is
    // no evidence against the endpoint.
    constexpr Milliseconds pauseThreshold { 500 };

    // A single failed probe on a new connection can be due to a lost packet, so two consecutive ones are required.
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
        // The next tick is due one interval after the previous one, but not before the probe has ended.
        const auto next = std::max(due, Clock::now());
        m_wake.wait_until(lock, stop, next, [this] { return m_isProbeRequested; });
        m_isProbeRequested = false;
        if (Clock::now() - next > pauseThreshold) {
            m_failedNewConnectionProbes = 0;
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
            "slot " + std::to_string(m_slot) + " sent a malformed status: " + problem.what());
        return false;
    }
}

void EndpointProber::probe()
{
    const auto startedAt = Clock::now();
    // A failed probe on a new connection leaves no connection open, so the next probe opens a new one anyway.
    const bool isRetry = m_failedNewConnectionProbes > 0;
    bool hasTimedOut = false;
    if (!isRetry) {
        const auto status
            = m_control.call("status", nlohmann::json::object(), Deadline::after(m_timing.timeout));
        if (status && apply(*status, startedAt)) {
            if (!m_isHolder())
                m_control.close();
            return;
        }
        // Other calls of this process occupy the connection. They detect an unresponsive endpoint by their time-outs.
        if (!status && status.error().code == FailureCode::Unavailable)
            return;
        hasTimedOut = !status && status.error().code == FailureCode::Timeout;
    }

    const auto reconnectedAt = Clock::now();
    const auto newStatus = m_control.statusOnNewConnection(Deadline::after(m_timing.timeout));
    if (newStatus && apply(*newStatus, reconnectedAt)) {
        m_failedNewConnectionProbes = 0;
        LOG4CXX_INFO(partLogger("prober"),
            "slot " + std::to_string(m_slot) + " answers only on a new connection; replacing its pooled connections");
        m_pool.replaceAll(hasTimedOut || isRetry);
        return;
    }
    // A connection limit that is reached, or a control connection in use, does not mean that the endpoint is down.
    if (!newStatus
        && (newStatus.error().code == FailureCode::ConnectionLimit
            || newStatus.error().code == FailureCode::Unavailable))
        return;
    if (Clock::now() - startedAt > 2 * m_timing.timeout + pauseThreshold) {
        m_failedNewConnectionProbes = 0;
        m_view.clearSuspicions();
        return;
    }
    ++m_failedNewConnectionProbes;
    const bool isSuspect = m_failedNewConnectionProbes >= failuresUntilSuspect;
    if (m_failedNewConnectionProbes == failuresUntilSuspect)
        LOG4CXX_WARN(partLogger("prober"),
            "slot " + std::to_string(m_slot) + " is suspected: consecutive probes on new connections failed");
    m_view.recordProbeFailure(m_slot, startedAt, isSuspect);
    if (isSuspect)
        m_pool.replaceAll(true);
}

} // namespace kumquatbank
