#pragma once

#include "kumquatbank/routing/EndpointHealth.h"
#include "kumquatbank/routing/EndpointPace.h"
#include "kumquatbank/routing/StatementOutcome.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbank {

/// A change of the pace or the ejection of an endpoint, for the log.
struct PacingEvent {
    std::string_view name; ///< pace_reduced, pace_full, endpoint_ejected or endpoint_readmitted.
    std::string endpoint;
    std::string_view reason; ///< Of a reduction; empty otherwise.
    int limit = 0;
    int full = 0;
    EndpointPace::Duration average { 0 };
    EndpointPace::Duration reference { 0 };
    EndpointHealth::Counts counts; ///< The statements that decided.
    EndpointHealth::Counts peers;
    int goodProbes = 0;
};

/// Pace and health of the endpoints of one service, each compared with the others. Does not use the network.
class ServicePacing {
public:
    /// Sets what is known of an endpoint, and adds it if necessary. @p slotShare: see EndpointPace::setBounds().
    void setEndpoint(const std::string& id, bool isUsable, int full, int slotShare);
    void removeEndpoint(const std::string& id) { m_endpoints.erase(id); }
    /// The endpoint has started, come back or become primary.
    void restart(const std::string& id);

    /// Records the end of a statement; returns true if the limit has changed. @p time: from sending to the answer, without
    /// the network; empty if it is unknown. @p inUse: uses of the endpoint, including this one.
    bool record(const std::string& id, StatementOutcome outcome, std::optional<EndpointPace::Duration> time, BootTime sentAt, int inUse, BootTime now);
    /// Records that the endpoint was full, outside a statement; returns true if the limit has changed.
    bool recordRefusal(const std::string& id, BootTime sentAt, BootTime now);
    /// Records that the endpoint gave no answer, outside a statement; returns true if the limit has changed.
    bool recordMissingAnswer(const std::string& id, BootTime now);

    /// Raises the pace of an endpoint whose uses are all held by silent sessions. Called periodically.
    void advance(const std::string& id, int inUse, bool isWaiting, BootTime now);
    /// Compares the endpoints with each other. Called periodically; statements only use the result.
    std::vector<PacingEvent> compare(BootTime now);

    /// Null if the endpoint is not known.
    const EndpointPace* pace(const std::string& id) const;
    /// Returns true if reads go to other endpoints. False while there is no other one that could serve them.
    bool isEjected(const std::string& id) const;
    /// Returns true if an ejected endpoint is to get one read now.
    bool takeProbe(const std::string& id, BootTime now);
    int ejectedCount() const;

private:
    struct Endpoint {
        EndpointPace pace;
        EndpointHealth health;
        bool isUsable = false;
        bool isFullReported = true; ///< False from a reported reduction until the full pace is reported.
        int reportedLimit = 0;
        BootTime reportedAt {};
    };

    std::optional<EndpointPace::Duration> reference(const std::string& id, BootTime now) const;
    EndpointHealth::Counts peerCounts(const std::string& id, BootTime now) const;
    bool hasUsablePeer(const std::string& id) const;
    bool mayEject(const std::string& id) const;
    void compareHealth(const std::string& id, Endpoint& endpoint, BootTime now, std::vector<PacingEvent>& events) const;
    static void reportPace(const std::string& id, Endpoint& endpoint, BootTime now, std::vector<PacingEvent>& events);

    std::map<std::string, Endpoint> m_endpoints;
};

} // namespace kumquatbank
