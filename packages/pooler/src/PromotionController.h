#pragma once

#include "HostDirectory.h"
#include "PeerService.h"
#include "kumquatbank/adapter/PromotionClient.h"

namespace kumquatbank {

/// Replaces primaries that are lost or about to leave. One host at a time decides for a service: it needs a fencing
/// token that it alone holds, taken by a conditional write to the service's object in the store. A host that holds the
/// newest token may use it again while the store is down, since nobody else can take a newer one then.
class PromotionController {
public:
    PromotionController(asio::io_context& io, std::shared_ptr<ObjectStore> store, const PoolerSettings& settings, ServiceRegistry& registry, PeerService& peers, PoolerMetrics& metrics);

    void start();
    void setStore(std::shared_ptr<ObjectStore> store) { m_store = std::move(store); }
    void setPromotionAddress(const HostAddress& address) { m_call = std::make_shared<PromotionClient>(m_io, address); }

    /// This process stood still, so silence of others before now means nothing.
    void recordProcessPause() { m_pausedUntil = BootClock::now(); }

private:
    struct ServiceProgress {
        bool isBusy = false;
        BootTime notBefore {}; ///< After an attempt, to let it take effect.
        std::uint64_t heldToken = 0; ///< Newest token taken by this run; 0 if none.
        std::uint64_t peerDecisionRevision = 0; ///< Another host's decision that was seen last.
        BootTime peerDecisionSeenAt {};
    };

    /// Why a primary has to be replaced.
    enum class ReplacementReason {
        None,
        Lost, ///< It does not answer, or no endpoint is primary.
        Leaving,
    };

    Task<void> supervise();
    ReplacementReason replacementReason(const DatabaseService& service) const;
    Task<void> replace(std::shared_ptr<DatabaseService> service, ReplacementReason reason);
    Task<void> runReplacement(std::shared_ptr<DatabaseService> service, ReplacementReason reason);
    Task<std::vector<EndpointStatus>> queryStatuses(std::shared_ptr<DatabaseService> service, std::string except);
    Task<std::optional<EndpointStatus>> queryStatus(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::string command);
    Task<bool> handOver(std::shared_ptr<DatabaseService> service, EndpointStatus candidate);
    Task<std::optional<std::uint64_t>> takeToken(const std::string& service, const std::string& lost, const std::string& candidate, bool mayReuse);

    asio::io_context& m_io;
    std::shared_ptr<ObjectStore> m_store;
    const PoolerSettings& m_settings;
    ServiceRegistry& m_registry;
    PeerService& m_peers;
    PoolerMetrics& m_metrics;
    std::shared_ptr<PromotionClient> m_call;
    std::map<std::string, ServiceProgress> m_progress;
    BootTime m_pausedUntil {};
    std::uint64_t m_runId = std::random_device {}(); ///< Tells this run's writes from those of an earlier one.
};

} // namespace kumquatbank
