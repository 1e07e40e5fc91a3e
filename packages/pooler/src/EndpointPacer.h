#pragma once

#include "Endpoint.h"
#include "PoolerMetrics.h"
#include "kumquatbank/routing/ServicePacing.h"
#include "kumquatbank/routing/ServiceScheduler.h"

#include <map>
#include <memory>
#include <string>

namespace kumquatbank {

/// Applies the pace and health of the endpoints of one service to its scheduler, and reports them. Present only if the
/// setting endpointPacing is true.
class EndpointPacer {
public:
    /// @p scheduler and @p metrics must outlive this object.
    EndpointPacer(std::string service, ServiceScheduler& scheduler, PoolerMetrics& metrics);

    /// Records the present share of an endpoint's connections and returns the limit that applies instead of it.
    int limit(const Endpoint& endpoint, bool isUsable, int share, int maxConnections);
    /// Tells the scheduler whether reads go to other endpoints.
    void applyEjection(const std::string& id);
    void removeEndpoint(const std::string& id);
    /// The endpoint has started, come back or become primary.
    void restart(const std::string& id) { m_pacing.restart(id); }

    /// Records the end of a statement; returns true if the limit has changed. @p sentAt: empty if the time of the answer is
    /// that of several statements.
    bool record(const Endpoint& endpoint, StatementOutcome outcome, std::optional<BootTime> sentAt);
    /// Records that the endpoint refused a connection because it was full.
    void recordRefusal(const Endpoint& endpoint, BootTime sentAt) { m_pacing.recordRefusal(endpoint.entry.id, sentAt, BootClock::now()); }
    /// Records that the endpoint gave no answer; returns true if the limit has changed.
    bool recordMissingAnswer(const Endpoint& endpoint) { return m_pacing.recordMissingAnswer(endpoint.entry.id, BootClock::now()); }
    /// Periodic comparison of the endpoints; logs changes and updates the metrics.
    void compare(const std::map<std::string, std::shared_ptr<Endpoint>>& endpoints);

    const ServicePacing& pacing() const { return m_pacing; }

private:
    int inUse(const std::string& id) const;
    void log(const PacingEvent& event) const;

    std::string m_service;
    ServiceScheduler& m_scheduler;
    PoolerMetrics& m_metrics;
    ServicePacing m_pacing;
};

} // namespace kumquatbank
