#pragma once

#include "EndpointPool.h"
#include "EndpointProber.h"
#include "ReplicaWatcher.h"
#include "RequestTrace.h"
#include "RetryPolicy.h"
#include "kumquatbank/group/DatabaseGroup.h"

namespace kumquatbank {

/// A pooled connection of an endpoint and the admission ticket for its use. The connection is released first.
struct AdmittedConnection {
    AdmissionTicket ticket;
    EndpointPool::Lease lease;
};

/// The holder's objects for one slot: connections, prober, watcher, queue and retry budget.
class Endpoint {
public:
    /// @param index position of the slot in the definition, and its index in the GroupView.
    Endpoint(std::size_t index, SlotDefinition definition, unsigned connectionLimit,
        const DatabaseGroupOptions& options, const ClaimNumber& claim, GroupView& view,
        const std::function<bool()>& isHolder);

    void start();
    void stop();

    /// Passes admission control and acquires a connection. Every failure is NotRun.
    Result<AdmittedConnection> acquireConnection(
        const CatalogueEntry& entry, const Deadline& deadline, RequestTrace& trace);

    const SlotDefinition& definition() const { return m_definition; }
    EndpointControl& control() { return m_control; }
    EndpointPool& pool() { return m_pool; }
    AdmissionController& admission() { return m_admission; }
    RetryPolicy& retries() { return m_retries; }
    EndpointProber& prober() { return m_prober; }

    nlohmann::json state() const;

private:
    const SlotDefinition m_definition;
    EndpointControl m_control;
    EndpointControl m_watchControl;
    EndpointPool m_pool;
    AdmissionController m_admission;
    RetryPolicy m_retries;
    EndpointProber m_prober;
    ReplicaWatcher m_watcher;
};

using Endpoints = std::vector<std::unique_ptr<Endpoint>>;

} // namespace kumquatbank
