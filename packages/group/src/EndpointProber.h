#pragma once

#include "EndpointControl.h"
#include "EndpointPool.h"
#include "GroupView.h"

#include <functional>
#include <thread>

namespace kumquatbank {

/// Interval and time-out of the probes.
struct ProbeTiming {
    Milliseconds interval { 250 };
    Milliseconds timeout { 500 };
};

/// Probes one endpoint with `status`. A failed probe is repeated on a new connection before the endpoint is suspected.
/// If the probe succeeds on the new connection, the pool's connections are regarded as unresponsive and replaced.
class EndpointProber {
public:
    /// @param isHolder returns whether the control connection stays open between probes.
    /// @param isLeaving additional source of leaving notices for this endpoint.
    EndpointProber(std::size_t slot, EndpointControl& control, EndpointPool& pool, GroupView& view,
        ProbeTiming timing, std::function<bool()> isHolder, std::function<bool()> isLeaving);

    void start();
    void stop();

    /// Makes the next probe due at once instead of at the next tick.
    void requestProbe();

private:
    void run(const std::stop_token& stop);
    void probe();
    bool apply(const nlohmann::json& status, TimePoint sentAt);

    const std::size_t m_slot;
    EndpointControl& m_control;
    EndpointPool& m_pool;
    GroupView& m_view;
    const ProbeTiming m_timing;
    const std::function<bool()> m_isHolder;
    const std::function<bool()> m_isLeaving;
    unsigned m_failedNewConnectionProbes = 0;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    bool m_isProbeRequested = false;
    std::jthread m_thread;
};

} // namespace kumquatbank
