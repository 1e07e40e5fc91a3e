#pragma once

#include "EndpointReader.h"
#include "ServiceRegistry.h"
#include "kumquatbank/adapter/ObjectStore.h"
#include "kumquatbank/core/ArrivalBound.h"
#include "kumquatbank/routing/EndpointTable.h"

namespace kumquatbank {

/// Keeps the registry up to date from the store: lists once, then watches for changes. Each object kind has its own
/// loop.
class StoreSync {
public:
    StoreSync(asio::io_context& io, std::shared_ptr<ObjectStore> store, ServiceRegistry& registry, PoolerMetrics& metrics);

    void start();
    void setStore(std::shared_ptr<ObjectStore> store) { m_store = std::move(store); }

    /// Time since the store last answered a call for endpoints.
    std::chrono::milliseconds endpointSilence() const;
    std::chrono::milliseconds configSilence() const;

    /// Returns the configuration and the endpoints if they are newer than the given version and revision, and the
    /// revision up to which this process has the endpoints.
    bool hasNewerThan(std::int64_t configVersion, StoreRevision endpointRevision) const;
    nlohmann::json newerThan(std::int64_t configVersion, StoreRevision endpointRevision) const;
    /// Revision of the newest endpoints received from the store or a peer; number 0 if there are none.
    StoreRevision endpointRevision() const { return m_endpoints.revision; }
    /// Applies the result of a peer's newerThan(). Data that is not newer than this process's own is ignored. Returns
    /// false if the peer has not noticed yet that the store has come back from an older copy.
    bool applyFromPeer(const nlohmann::json& state, const std::string& peer);

    /// How this process receives changes.
    enum class Role {
        Unknown, ///< The hosts have not been listed yet.
        Standalone, ///< There are too few hosts for followers.
        Follower, ///< Watches the store on behalf of peers, with shorter waits to detect a failure earlier.
        Subscriber, ///< Polls followers for changes, and watches the store itself while they do not answer.
    };
    void setRole(Role role) { m_role = role; }

    /// Records that the event loop runs; see ArrivalBound.
    void recordTick(BootTime now) { m_arrivals.recordTick(now); }

    /// Records a complete update from a peer. @p requestedAt: when the request was sent. @p peerSilence: time since the
    /// peer last had an answer from the store. While such an update is recent, this process makes no watches of its
    /// own.
    void recordPeerUpdate(BootTime requestedAt, std::chrono::milliseconds peerSilence);
    /// Makes hasRecentPeerUpdate() false, so that this process watches the store itself. Called when peers do not
    /// answer.
    void clearPeerUpdate() { m_peerUpdateRequestedAt = {}; }
    /// True if the last update from a peer is still valid.
    bool hasRecentPeerUpdate() const;

private:
    /// Progress of one kind's loop.
    struct Cursor {
        std::string kind; ///< For logs.
        const ObjectKind* objects = nullptr;
        StoreRevision revision; ///< To watch from; number 0 requests a listing.
        BootTime lastAnswer {}; ///< Latest time at which the store is known to have been as answered.
        bool isLost = false;
        BootTime lostSince {};
        int failures = 0;
        BootTime lastChange {}; ///< When a watch last brought changes.
        bool isPopulated = false; ///< The kind was listed from the store, or a peer's listing was applied.
    };

    Task<void> syncKind(Cursor& cursor);
    /// Has the kind listed anew instead of watched.
    void requestListing(Cursor& cursor) { cursor.revision = { std::max(cursor.revision.era, m_store->era()), 0 }; }
    Task<bool> listOnce(Cursor& cursor);
    Task<bool> watchOnce(Cursor& cursor);
    /// @p requestedAt: when the call was sent whose answer is recorded.
    bool recordOutcome(Cursor& cursor, std::string_view call, StoreStatus status, const std::string& detail, BootTime requestedAt);
    void applyConfig(const nlohmann::json& content, std::string_view source);
    /// Applies one change reported by a watch.
    void applyChange(const Cursor& cursor, const StoreChange& change);
    /// Replaces all endpoints that are known.
    void applyEndpoints(EndpointReader::Listing listing, StoreRevision revision);
    void publishEndpoints(const Cursor& cursor);

    asio::io_context& m_io;
    std::shared_ptr<ObjectStore> m_store;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    Cursor m_config;
    Cursor m_endpoints;
    Role m_role = Role::Unknown;
    BootTime m_peerUpdateRequestedAt {}; ///< When the last valid update was requested from a follower.
    EndpointTable m_table;
    BootTime m_entriesKnownAt {}; ///< The entries were those of the store at this time.
    StoreRevision m_entriesRevision; ///< Revision at which the entries last changed.
    nlohmann::json m_configContent; ///< For peers: without keys.
    EndpointReader m_reader;
    ArrivalBound m_arrivals;
};

} // namespace kumquatbank
