#include "kumquatbank/routing/ServicePacing.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    /// Upper bound on the log lines about the pace of one endpoint.
    constexpr std::chrono::milliseconds reportInterval { 1000 };

    std::string_view reasonName(EndpointPace::Reason reason)
    {
        switch (reason) {
        case EndpointPace::Reason::Restarted:
            return "restarted";
        case EndpointPace::Reason::Slow:
            return "slow";
        case EndpointPace::Reason::Refused:
            return "refused";
        case EndpointPace::Reason::Missing:
            return "no answer";
        case EndpointPace::Reason::None:
            break;
        }
        return {};
    }

} // namespace

void ServicePacing::setEndpoint(const std::string& id, bool isUsable, int full, int slotShare)
{
    auto& endpoint = m_endpoints[id];
    endpoint.isUsable = isUsable;
    endpoint.pace.setBounds(full, slotShare);
}

void ServicePacing::restart(const std::string& id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return;
    it->second.pace.restart();
    it->second.health.clearCounts();
}

bool ServicePacing::record(const std::string& id, StatementOutcome outcome, std::optional<EndpointPace::Duration> time, BootTime sentAt, int inUse, BootTime now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return false;
    auto& pace = it->second.pace;
    const int previous = pace.limit();
    it->second.health.record(outcome != StatementOutcome::Good, now);
    if (outcome == StatementOutcome::Refused)
        pace.recordRefusal(sentAt, now);
    else if (outcome == StatementOutcome::Unanswered)
        pace.recordMissingAnswer(now);
    else if (time && outcome == StatementOutcome::Good) // A failure may come quicker than an answer.
        pace.recordAnswer(*time, sentAt, inUse, now);
    return pace.limit() != previous;
}

bool ServicePacing::recordRefusal(const std::string& id, BootTime sentAt, BootTime now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return false;
    const int previous = it->second.pace.limit();
    it->second.pace.recordRefusal(sentAt, now);
    return it->second.pace.limit() != previous;
}

bool ServicePacing::recordMissingAnswer(const std::string& id, BootTime now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return false;
    const int previous = it->second.pace.limit();
    it->second.pace.recordMissingAnswer(now);
    return it->second.pace.limit() != previous;
}

void ServicePacing::advance(const std::string& id, int inUse, bool isWaiting, BootTime now)
{
    if (const auto it = m_endpoints.find(id); it != m_endpoints.end())
        it->second.pace.advance(inUse, isWaiting, now);
}

std::optional<EndpointPace::Duration> ServicePacing::reference(const std::string& id, BootTime now) const
{
    const auto& own = m_endpoints.at(id).pace;
    std::vector<EndpointPace::Duration> averages;
    for (const auto& [other, endpoint] : m_endpoints) {
        const auto average = endpoint.pace.recentAverage(now);
        if (average && other != id)
            averages.push_back(*average);
    }
    if (averages.empty())
        return own.best();
    // A single peer may run other statements than this endpoint, such as writes against reads.
    if (averages.size() == 1)
        return std::max(averages.front(), own.settledBest(now).value_or(EndpointPace::Duration(0)));
    if (const auto average = own.recentAverage(now))
        averages.push_back(*average);
    const auto middle = averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2);
    std::ranges::nth_element(averages, middle);
    return *middle;
}

EndpointHealth::Counts ServicePacing::peerCounts(const std::string& id, BootTime now) const
{
    EndpointHealth::Counts counts;
    for (const auto& [other, endpoint] : m_endpoints) {
        if (other != id && !endpoint.health.isEjected())
            counts += endpoint.health.recent(now);
    }
    return counts;
}

bool ServicePacing::hasUsablePeer(const std::string& id) const
{
    return std::ranges::any_of(m_endpoints, [&id](const auto& item) { return item.first != id && item.second.isUsable && !item.second.health.isEjected(); });
}

bool ServicePacing::mayEject(const std::string& id) const
{
    // A minority of the endpoints, so that those that remain have room for the load; one of two.
    const int most = std::max(1, (static_cast<int>(m_endpoints.size()) - 1) / 2);
    return hasUsablePeer(id) && ejectedCount() < most;
}

std::vector<PacingEvent> ServicePacing::compare(BootTime now)
{
    std::vector<PacingEvent> events;
    for (auto& [id, endpoint] : m_endpoints) {
        endpoint.pace.setReference(reference(id, now));
        compareHealth(id, endpoint, now, events);
        reportPace(id, endpoint, now, events);
    }
    return events;
}

void ServicePacing::compareHealth(const std::string& id, Endpoint& endpoint, BootTime now, std::vector<PacingEvent>& events) const
{
    const bool hasRecovered = endpoint.health.hasRecovered(now);
    const auto peers = peerCounts(id, now);
    const bool isOutlier = !endpoint.health.isEjected() && endpoint.health.isOutlier(peers, now) && mayEject(id);
    if (!hasRecovered && !isOutlier)
        return;
    PacingEvent event;
    event.name = hasRecovered ? "endpoint_readmitted" : "endpoint_ejected";
    event.endpoint = id;
    event.counts = endpoint.health.newest(now);
    event.peers = peers;
    event.goodProbes = endpoint.health.goodProbes();
    if (hasRecovered) {
        endpoint.health.readmit();
        endpoint.pace.restart();
    } else {
        endpoint.health.eject(now);
    }
    event.limit = endpoint.pace.limit();
    event.full = endpoint.pace.full();
    events.push_back(std::move(event));
}

void ServicePacing::reportPace(const std::string& id, Endpoint& endpoint, BootTime now, std::vector<PacingEvent>& events)
{
    const auto& pace = endpoint.pace;
    const bool isReduced = pace.limit() < endpoint.reportedLimit && !pace.isFull();
    const bool isFullAgain = pace.isFull() && !endpoint.isFullReported;
    if (!isReduced && !isFullAgain) {
        endpoint.reportedLimit = std::max(endpoint.reportedLimit, pace.limit());
        return;
    }
    if (now - endpoint.reportedAt < reportInterval)
        return;
    endpoint.reportedAt = now;
    endpoint.reportedLimit = pace.limit();
    endpoint.isFullReported = isFullAgain;
    PacingEvent event;
    event.name = isReduced ? "pace_reduced" : "pace_full";
    event.endpoint = id;
    event.reason = isReduced ? reasonName(pace.reason()) : std::string_view();
    event.limit = pace.limit();
    event.full = pace.full();
    event.average = pace.recentAverage(now).value_or(EndpointPace::Duration(0));
    event.reference = pace.reference().value_or(EndpointPace::Duration(0));
    event.counts = endpoint.health.recent(now);
    events.push_back(std::move(event));
}

const EndpointPace* ServicePacing::pace(const std::string& id) const
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second.pace;
}

bool ServicePacing::isEjected(const std::string& id) const
{
    const auto it = m_endpoints.find(id);
    return it != m_endpoints.end() && it->second.health.isEjected() && hasUsablePeer(id);
}

bool ServicePacing::takeProbe(const std::string& id, BootTime now)
{
    const auto it = m_endpoints.find(id);
    return it != m_endpoints.end() && it->second.health.takeProbe(now);
}

int ServicePacing::ejectedCount() const
{
    return static_cast<int>(std::ranges::count_if(m_endpoints, [](const auto& item) { return item.second.health.isEjected(); }));
}

} // namespace kumquatbank
