#pragma once

#include "ServiceRegistry.h"
#include "kumquatbank/adapter/ObjectStore.h"

namespace kumquatbank {

/// Keeps the registry up to date from the store: lists once, then watches. Each kind has a loop of its own.
class StoreSync {
public:
    StoreSync(asio::io_context& io, std::shared_ptr<ObjectStore> store, ServiceRegistry& registry, PoolerMetrics& metrics);

    void start();
    void setStore(std::shared_ptr<ObjectStore> store) { m_store = std::move(store); }

    /// Time since the store last answered a call for endpoints.
    std::chrono::milliseconds endpointSilence() const;
    std::chrono::milliseconds configSilence() const;

    /// What of the configuration and the endpoints is newer than the given version and revision, and the revision up to
    /// which the endpoints are known here.
    bool hasNewerThan(std::int64_t configVersion, std::uint64_t endpointRevision) const;
    nlohmann::json newerThan(std::int64_t configVersion, std::uint64_t endpointRevision) const;
    /// Revision of the newest endpoints known here, whoever they came from; 0 if there are none.
    std::uint64_t endpointRevision() const { return m_endpoints.revision; }
    /// Applies what a peer's newerThan() returned, unless this process knows as much.
    void applyFromPeer(const nlohmann::json& state, const std::string& peer);

    /// How this process learns of changes.
    enum class Role {
        Unknown, ///< The hosts are not known yet.
        Standalone, ///< There are too few hosts for followers.
        Follower, ///< Peers follow the store through this process, which looks for silence more often.
        Subscriber, ///< Followers tell it, and it watches itself while they do not.
    };
    void setRole(Role role) { m_role = role; }

    /// Records that a peer told all that it knows. @p requestedAt: when it was asked. @p peerSilence: time since the store had
    /// answered it. While such word is young, this process makes no watches of its own.
    void recordPeerUpdate(BootTime requestedAt, std::chrono::milliseconds peerSilence);
    /// Ends what recordPeerUpdate() began: the peers do not answer.
    void clearPeerUpdate() { m_peerUpdateRequestedAt = {}; }
    /// True while the word of a peer is young.
    bool hasRecentPeerUpdate() const;

private:
    /// Progress of one kind's loop.
    struct Cursor {
        std::string kind;
        std::uint64_t revision = 0; ///< To watch from; 0 asks for a listing.
        BootTime lastAnswer {};
        bool isLost = false;
        BootTime lostSince {};
        int failures = 0;
        BootTime lastChange {}; ///< When a watch last brought changes.
        bool isPopulated = false; ///< The kind has been listed, or a peer's listing was taken over.
    };

    Task<void> syncKind(Cursor& cursor);
    Task<bool> listOnce(Cursor& cursor);
    Task<bool> watchOnce(Cursor& cursor);
    bool recordOutcome(Cursor& cursor, std::string_view call, StoreStatus status, const std::string& detail);
    void applyConfig(const nlohmann::json& content, std::string_view source);
    void applyObject(const Cursor& cursor, const StoreObject& object, bool isRemoved);
    void publishEndpoints(const Cursor& cursor);

    asio::io_context& m_io;
    std::shared_ptr<ObjectStore> m_store;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    Cursor m_config;
    Cursor m_endpoints;
    Role m_role = Role::Unknown;
    BootTime m_peerUpdateRequestedAt {}; ///< When the last word of a peer that follows the store was asked for.
    std::map<std::string, EndpointEntry> m_entries;
    std::uint64_t m_entriesRevision = 0; ///< At which the entries last changed.
    nlohmann::json m_configContent;
};

} // namespace kumquatbank
