#pragma once

#include "ServiceRegistry.h"
#include "kumquatbank/adapter/ObjectStore.h"
#include "kumquatbank/duties/duties.h"
#include "kumquatbank/pooler/PoolerSettings.h"

#include <random>

namespace kumquatbank {

/// Another process of the deployment.
struct PeerHost {
    std::string name;
    HostAddress address; ///< Of its peer interface.
    std::string dataCentre; ///< Empty if unknown.
    std::string region; ///< Empty if unknown.
    std::optional<HostAddress> loanAddress; ///< Where it lends connections, if it does.
    double weight = 1; ///< Processor time that it has, in usual cores.
};

/// The hosts of the deployment, registered in the store. A host renews its entry; one that is not renewed for several
/// periods is taken as gone and its entry is removed. A stop leaves the entry: hosts restart far more often than they
/// leave, and until then the others must not take over the host's share of the connections.
class HostDirectory {
public:
    HostDirectory(asio::io_context& io, std::shared_ptr<ObjectStore> store, const PoolerSettings& settings, ServiceRegistry& registry, PoolerMetrics& metrics);

    void start();
    void setStore(std::shared_ptr<ObjectStore> store) { m_store = std::move(store); }

    /// The other hosts, as far as they are known.
    const std::vector<PeerHost>& peers() const { return m_peers; }

    /// False before the hosts have been listed, here or by a peer.
    bool isPopulated() const { return m_source != Source::None; }

    /// Changes whenever peers() may have.
    std::uint64_t version() const { return m_version; }

    /// Hosts to ask while the store does not answer: the known ones, otherwise the seeds of the settings.
    std::vector<PeerHost> peersOrSeeds() const;

    /// The hosts that are known, this one among them, and their duties.
    const Placement& placement() const { return m_placement; }

    /// The other host of that name; null if it is not known.
    const PeerHost* find(const std::string& name) const;

    /// Hosts of this region that follow the store, and the positions of the primaries where connections are plentiful,
    /// for the others. Empty if this host is one of them, or if there are too few hosts for it to pay.
    const std::vector<PeerHost>& followers() const { return m_followers; }

    /// True if this host is one of those for others.
    bool isFollower() const { return m_isFollower; }

    /// The known hosts with this one, for a host that has no listing of its own; null before this one has one.
    nlohmann::json describe() const;

    /// Takes over what a peer knows. Ignored once the store has been listed.
    void applyFromPeer(const nlohmann::json& hosts);

private:
    /// Who told the peers.
    enum class Source {
        None,
        Peer,
        Store,
    };

    /// A host's entry and when it last changed.
    struct ObservedEntry {
        std::uint64_t revision = 0;
        BootTime changedAt {};
    };

    Task<void> maintain();
    Task<bool> registerSelf();
    Task<bool> refresh();
    void apply(const std::vector<StoreObject>& objects);
    /// Works out the duties after the peers have changed.
    void updatePlacement();
    /// Time between two renewals of this host's entry.
    std::chrono::milliseconds renewalInterval() const;
    void addPeer(const std::string& name, const nlohmann::json& content);
    nlohmann::json ownContent() const;
    /// Tells the registry how many hosts there are after the peers have changed.
    void handlePeersChanged();

    asio::io_context& m_io;
    std::shared_ptr<ObjectStore> m_store;
    const PoolerSettings& m_settings;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    std::uint64_t m_incarnation = std::random_device {}();
    std::uint64_t m_renewals = 0;
    std::uint64_t m_revision = 0; ///< Of the own entry; 0 before it is stored.
    bool m_isListed = false; ///< The store had an entry of this host as it is now.
    std::map<std::string, ObservedEntry> m_observedEntries;
    std::vector<PeerHost> m_peers;
    Placement m_placement;
    std::vector<PeerHost> m_followers;
    bool m_isFollower = false;
    std::uint64_t m_version = 1;
    Source m_source = Source::None;
};

} // namespace kumquatbank
