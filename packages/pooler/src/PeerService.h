#pragma once

#include "HostDirectory.h"
#include "StoreSync.h"
#include "kumquatbank/engine/HttpClient.h"
#include "kumquatbank/engine/HttpListener.h"
#include "kumquatbank/routing/PromotionPolicy.h"

namespace kumquatbank {

/// What processes ask each other: opinions on a primary, and the configuration while the store does not answer.
class PeerService {
public:
    PeerService(asio::io_context& io, HostDirectory& hosts, ServiceRegistry& registry, StoreSync& sync);

    void start();

    Task<HttpAnswer> answer(HttpRequest request);

    /// Opinions of some peers about @p endpoint as the primary of @p service.
    Task<std::vector<PeerOpinion>> askAboutPrimary(std::string service, std::string endpoint);

    /// Everything this process believes, for operators.
    nlohmann::json describeState() const;

private:
    Task<HttpReply> call(HostAddress peer, std::string target, std::chrono::milliseconds timeout);
    Task<void> followPeers();
    Task<void> followSamplers();
    std::int64_t configVersion() const;
    /// What a follower needs: positions, what is newer than it knows, and how long the store has been silent here.
    nlohmann::json describeNews(std::int64_t knownConfig, std::uint64_t knownEndpoints) const;
    void applyNews(const std::string& body, BootTime askedAt, const std::string& peer);
    void applySamples(const nlohmann::json& samples, BootTime askedAt);
    void noteSamplers(bool answered, const std::string& peer);
    nlohmann::json describeSamples() const;
    bool applyState(const std::string& body, const std::string& peer);
    nlohmann::json describePrimary(const std::string& service, const std::string& endpoint) const;

    asio::io_context& m_io;
    HostDirectory& m_hosts;
    ServiceRegistry& m_registry;
    StoreSync& m_sync;
    std::map<HostAddress, std::shared_ptr<HttpClient>> m_clients;
    int m_samplerFailures = 0; ///< In a row.
    BootTime m_samplerAnsweredAt {};
};

} // namespace kumquatbank
