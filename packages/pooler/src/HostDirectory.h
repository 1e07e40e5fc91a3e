#pragma once

#include "ServiceRegistry.h"
#include "kumquatbank/adapter/ObjectStore.h"
#include "kumquatbank/duties/duties.h"
#include "kumquatbank/engine/AutoResetEvent.h"
#include "kumquatbank/pooler/PoolerSettings.h"

#include <random>

namespace kumquatbank {

/// Another process of the deployment.
struct PeerHost {
    std::string name;
    HostAddress address; ///< Of its peer interface.
    std::string dataCentre; ///< Empty if unknown.
    std::string region; ///< Empty if unknown.
    std::optional<HostAddress> loanAddress; ///< Absent if the host lends no connections.
    double weight = 1; ///< Processor capacity, in standard cores.
};

/// The hosts of the deployment, as registered in the store. Each host renews its entry periodically; an entry that is
/// not renewed for several intervals expires and is removed. A host that stops leaves its entry in place: hosts restart
/// far more often than they leave, and during a restart the others must not take over its share of the connections.
class HostDirectory {
public:
    HostDirectory(asio::io_context& io, std::shared_ptr<ObjectStore> store, const PoolerSettings& settings, ServiceRegistry& registry, PoolerMetrics& metrics);

    void start();
    void setStore(std::shared_ptr<ObjectStore> store) { m_store = std::move(store); }

    /// Records the era of the store that this process or a peer has seen. When it rises, the hosts are listed again soon,
    /// and this host registers anew if the store has lost its entry.
    void recordEra(std::uint64_t era);

    /// The other hosts listed so far.
    const std::vector<PeerHost>& peers() const { return m_peers; }

    /// False until the hosts have been listed by this process or received from a peer.
    bool isPopulated() const { return m_source != Source::None; }

    /// Changes whenever peers() may have changed.
    std::uint64_t version() const { return m_version; }

    /// Hosts to query while the store does not answer: the listed peers, or the seeds of the settings if there are
    /// none.
    std::vector<PeerHost> peersOrSeeds() const;

    /// The listed hosts including this one, and their duties.
    const Placement& placement() const { return m_placement; }

    /// The other host of that name; null if it is not listed.
    const PeerHost* find(const std::string& name) const;

    /// Hosts of this region that watch the store on behalf of the others, and also sample the positions of primaries
    /// where connections are plentiful. Empty if this host is a follower, or if there are too few hosts for followers
    /// to save calls.
    const std::vector<PeerHost>& followers() const { return m_followers; }

    /// True if this host watches the store on behalf of others.
    bool isFollower() const { return m_isFollower; }

    /// The listed hosts including this one, for a host that has no listing of its own; null before this host has a
    /// listing.
    nlohmann::json describe() const;

    /// Applies a peer's result of describe(). Ignored once the store has been listed.
    void applyFromPeer(const nlohmann::json& hosts);

private:
    /// Where the list of peers comes from.
    enum class Source {
        None,
        Peer,
        Store,
    };

    Task<void> maintain();
    /// Returns true if the era has risen, so that the next rounds have to confirm the entries.
    bool noticeEra(std::uint64_t era);
    /// One round: lists the hosts and registers this one if necessary.
    Task<bool> runRound(std::size_t n);
    Task<bool> registerSelf();
    Task<bool> refresh();
    Task<void> removeExpired(const std::vector<StoreObject>& listed);
    void apply(const std::vector<StoreObject>& objects);
    /// Recomputes the duties after the peers have changed.
    void updatePlacement();
    /// Time between two renewals of this host's entry.
    std::chrono::milliseconds renewalInterval() const;
    /// True in the rounds after a return of the store from an older copy, in which entries may be missing.
    bool isRestoring() const { return m_restoredRounds > 0; }
    void addPeer(const std::string& name, const nlohmann::json& content);
    nlohmann::json ownContent() const;
    /// Updates the version, the duties and the host count of the registry after the peers have changed.
    void handlePeersChanged();

    asio::io_context& m_io;
    std::shared_ptr<ObjectStore> m_store;
    const PoolerSettings& m_settings;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    std::uint64_t m_incarnation = std::random_device {}();
    std::uint64_t m_renewals = 0;
    StoreRevision m_revision; ///< Of this host's entry; number 0 before it is stored.
    bool m_isListed = false; ///< The store has an entry of this host with its current content.
    HostLiveness m_liveness;
    std::uint64_t m_era = 0;
    int m_restoredRounds = 0; ///< Rounds that follow soon, because the store has come back from an older copy.
    AutoResetEvent m_wake; ///< Ends the wait for the next round.
    std::vector<PeerHost> m_peers;
    Placement m_placement;
    std::vector<PeerHost> m_followers;
    bool m_isFollower = false;
    std::uint64_t m_version = 1;
    Source m_source = Source::None;
};

} // namespace kumquatbank
