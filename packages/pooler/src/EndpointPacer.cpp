#include "EndpointPacer.h"

#include "kumquatbank/engine/EventLog.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::microseconds;

} // namespace

EndpointPacer::EndpointPacer(std::string service, ServiceScheduler& scheduler, PoolerMetrics& metrics)
    : m_service(std::move(service))
    , m_scheduler(scheduler)
    , m_metrics(metrics)
{
}

int EndpointPacer::limit(const Endpoint& endpoint, bool isUsable, int share, int maxConnections)
{
    const auto& id = endpoint.entry.id;
    m_pacing.setEndpoint(id, isUsable, share, EndpointPace::slotShare(endpoint.entry.slots, share, maxConnections));
    return m_pacing.pace(id)->limit();
}

void EndpointPacer::applyEjection(const std::string& id) { m_scheduler.setEjected(id, m_pacing.isEjected(id), false); }

void EndpointPacer::removeEndpoint(const std::string& id)
{
    m_pacing.removeEndpoint(id);
    m_metrics.removeEndpointPace(m_service, id);
}

int EndpointPacer::inUse(const std::string& id) const
{
    const auto it = m_scheduler.endpoints().find(id);
    return it == m_scheduler.endpoints().end() ? 0 : it->second.inUse;
}

bool EndpointPacer::record(const Endpoint& endpoint, StatementOutcome outcome, std::optional<BootTime> sentAt)
{
    const auto& id = endpoint.entry.id;
    const auto now = BootClock::now();
    std::optional<microseconds> time;
    if (sentAt)
        time = std::max(microseconds(0), duration_cast<microseconds>(now - *sentAt) - endpoint.roundTrip);
    return m_pacing.record(id, outcome, time, sentAt.value_or(now), inUse(id), now);
}

void EndpointPacer::compare(const std::map<std::string, std::shared_ptr<Endpoint>>& endpoints)
{
    const auto now = BootClock::now();
    for (const auto& [id, endpoint] : endpoints)
        m_pacing.advance(id, inUse(id), m_scheduler.waiting() > 0, now);
    for (const auto& event : m_pacing.compare(now))
        log(event);
    for (const auto& [id, endpoint] : endpoints) {
        if (const auto* pace = m_pacing.pace(id))
            m_metrics.setEndpointPace(m_service, id, pace->limit(), pace->full());
        const bool isEjected = m_pacing.isEjected(id);
        m_scheduler.setEjected(id, isEjected, isEjected && m_pacing.takeProbe(id, now));
    }
    m_metrics.setEjectedEndpoints(m_service, m_pacing.ejectedCount());
}

void EndpointPacer::log(const PacingEvent& event) const
{
    if (event.name == "pace_reduced" || event.name == "pace_full") {
        EventLog::info(event.name, { { "service", m_service }, { "endpoint", event.endpoint }, { "reason", event.reason }, { "limit", event.limit }, { "full", event.full }, { "answer_us", event.average.count() }, { "peers_us", event.reference.count() }, { "statements", event.counts.statements }, { "failures", event.counts.failures } });
        return;
    }
    EventLog::warn(event.name, { { "service", m_service }, { "endpoint", event.endpoint }, { "statements", event.counts.statements }, { "failures", event.counts.failures }, { "peer_statements", event.peers.statements }, { "peer_failures", event.peers.failures }, { "good_probes", event.goodProbes }, { "limit", event.limit }, { "full", event.full } });
}

} // namespace kumquatbank
