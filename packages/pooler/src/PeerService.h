#pragma once

#include "HostDirectory.h"
#include "StoreSync.h"
#include "kumquatbank/engine/HttpClient.h"
#include "kumquatbank/engine/HttpListener.h"
#include "kumquatbank/routing/PromotionPolicy.h"

#include <random>

namespace kumquatbank {

/// HTTP interface between processes: reports on the state of a primary, updates from followers, and the configuration
/// while the store does not answer.
class PeerService {
public:
    PeerService(asio::io_context& io, HostDirectory& hosts, ServiceRegistry& registry, StoreSync& sync);

    void start();

    Task<HttpResponse> answer(HttpRequest request);

    /// Queries some peers whether they reach @p endpoint as the primary of @p service.
    Task<std::vector<PeerReport>> queryPeersAboutPrimary(std::string service, std::string endpoint);

    /// The recorded state of this process, for operators.
    nlohmann::json describeState() const;

private:
    Task<HttpResult> call(HostAddress peer, std::string target, std::chrono::milliseconds timeout);
    Task<void> pollPeers();
    Task<void> pollFollowers();
    StoreSync::Role storeSyncRole() const;
    /// True if any service needs positions that do not come with loans.
    bool needsPositions() const;
    /// The holders of the service where connections are lent; otherwise a random sample of peers.
    std::vector<PeerHost> peersToQuery(const std::string& service) const;
    std::int64_t configVersion() const;
    /// The parameters of a request that name what this host has.
    std::string knownParameters() const;
    /// The update for a host that does not watch the store: positions, configuration and endpoints newer than the given
    /// ones, and the time since the store last answered this process.
    nlohmann::json describeUpdates(std::int64_t knownConfig, StoreRevision knownEndpoints) const;
    /// False if the body cannot be parsed.
    bool applyUpdates(const std::string& body, BootTime requestedAt, const std::string& peer);
    void applySamples(const nlohmann::json& samples, BootTime requestedAt);
    void recordFollowerResult(bool answered, const std::string& peer);
    nlohmann::json describeSamples() const;
    bool applyState(const std::string& body, const std::string& peer);
    nlohmann::json describePrimary(const std::string& service, const std::string& endpoint) const;

    asio::io_context& m_io;
    HostDirectory& m_hosts;
    ServiceRegistry& m_registry;
    StoreSync& m_sync;
    std::map<HostAddress, std::shared_ptr<HttpClient>> m_clients;
    std::size_t m_followerIndex = std::random_device {}(); ///< Modulo the number of followers; advances after a failure.
    int m_followerFailures = 0; ///< Consecutive failed polls.
    BootTime m_followerAnsweredAt {};
};

} // namespace kumquatbank
