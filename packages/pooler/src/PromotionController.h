#pragma once

#include "HostDirectory.h"
#include "MemberSurvey.h"
#include "PeerService.h"
#include "PromotionTokens.h"
#include "kumquatbank/adapter/PromotionClient.h"
#include "kumquatbank/routing/ResumePolicy.h"

namespace kumquatbank {

struct PromotionLimits {
    /// An older decision is dropped before the call, because the process may have been paused in between.
    static constexpr std::chrono::milliseconds decisionLifetime { 1500 };
};

/// Replaces primaries that have failed or are about to leave. One host at a time decides for a service: it needs an
/// exclusive fencing token, obtained by a conditional write to the service's object in the store. The holder of the
/// newest token may reuse it while the store is down, because no other host can obtain a newer one then.
class PromotionController {
public:
    PromotionController(asio::io_context& io, std::shared_ptr<ObjectStore> store, const PoolerSettings& settings, ServiceRegistry& registry, PeerService& peers, PoolerMetrics& metrics);

    void start();
    void setStore(std::shared_ptr<ObjectStore> store) { m_tokens.setStore(std::move(store)); }
    void setPromotionAddress(const HostAddress& address) { m_call = std::make_shared<PromotionClient>(m_io, address); }

    /// Records that this process was paused, so that silence of endpoints before now is not counted as their failure.
    void recordProcessPause() { m_pausedUntil = BootClock::now(); }

private:
    struct ServiceProgress {
        bool isBusy = false;
        BootTime notBefore {}; ///< Earliest next attempt, so that the previous one can take effect.
        std::optional<std::string> stoppedFor; ///< The lost primary for whose replacement this run has stopped endpoints; empty once they go on.
    };

    /// Why a primary has to be replaced.
    enum class ReplacementReason {
        None,
        Lost, ///< It does not answer, or no endpoint is primary.
        Leaving,
        Stopped, ///< It stays, but endpoints were stopped for a promotion that has not been carried out.
    };

    /// What the peers' reports about a lost primary allow.
    struct PeerOpinion {
        /// A host that reaches neither the store nor a peer may be partitioned itself, so it must not reuse its token.
        bool mayReuseToken = true;
        bool isSeenByNone = true; ///< No peer that answered reaches the primary.
    };

    Task<void> supervise();
    ReplacementReason replacementReason(const DatabaseService& service) const;
    Task<void> replace(std::shared_ptr<DatabaseService> service, ReplacementReason reason);
    Task<void> runReplacement(std::shared_ptr<DatabaseService> service, ReplacementReason reason);
    /// Chooses a successor of a leaving primary and hands over to it.
    Task<void> replaceLeaving(std::shared_ptr<DatabaseService> service, std::string lost);
    /// Chooses an endpoint that has every acknowledged commit of a lost primary, and promotes it.
    Task<void> replaceLost(std::shared_ptr<DatabaseService> service, std::string lost);
    /// Rules out a promotion that has not been carried out yet, and lets the endpoints that were stopped for it resume. Any
    /// host does so, whichever has stopped them; see nextResumeStep().
    Task<void> resumeMembers(std::shared_ptr<DatabaseService> service);
    /// Asks who leads the service.
    Task<Lead> askLead(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> primary);
    bool hasStoppedMembers(const DatabaseService& service) const;
    /// Demotes the primary and waits until the successor has its whole log. Returns the endpoint to be promoted: the
    /// successor, or the former primary if the successor does not catch up; empty if the primary goes on.
    Task<std::optional<EndpointStatus>> handOver(std::shared_ptr<DatabaseService> service, EndpointStatus successor);
    /// Returns false if too many peers reach the primary.
    Task<bool> isLostForPeers(std::shared_ptr<DatabaseService> service, std::string lost, PeerOpinion& opinion);
    /// Returns true if one of the endpoints is primary already; it is then recorded.
    Task<bool> findOtherPrimary(std::shared_ptr<DatabaseService> service, std::vector<EndpointStatus> answered);
    static PromotionSituation situationOf(const DatabaseService& service, std::vector<EndpointStatus> answered);
    static void recordBlock(DatabaseService& service, const PromotionSituation& situation, PromotionBlock block);
    /// True if this process was paused for so long since the decision that it may no longer hold.
    static bool isTooOld(const DatabaseService& service, BootTime decidedAt, std::chrono::milliseconds lifetime);
    /// Calls the platform. Returns true if the call was accepted.
    Task<bool> order(std::shared_ptr<DatabaseService> service, std::string endpoint, std::uint64_t token);
    /// Takes a token. If it is left to another host, the next attempt is put off.
    Task<std::optional<std::uint64_t>> takeToken(PromotionTokens::Purpose purpose);

    asio::io_context& m_io;
    const PoolerSettings& m_settings;
    ServiceRegistry& m_registry;
    PeerService& m_peers;
    PoolerMetrics& m_metrics;
    MemberSurvey m_survey;
    PromotionTokens m_tokens;
    std::shared_ptr<PromotionClient> m_call;
    std::map<std::string, ServiceProgress> m_progress;
    BootTime m_pausedUntil {};
};

} // namespace kumquatbank
