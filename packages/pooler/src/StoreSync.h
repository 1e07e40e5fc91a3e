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
    /// Applies entries learned from a peer while the store does not answer.
    void applyConfig(const nlohmann::json& content, std::string_view source);
    const nlohmann::json& configContent() const { return m_configContent; }

private:
    /// Progress of one kind's loop.
    struct Cursor {
        std::string kind;
        std::uint64_t revision = 0; ///< To watch from; 0 asks for a listing.
        BootTime lastAnswer {};
        bool isLost = false;
        BootTime lostSince {};
        int failures = 0;
    };

    Task<void> follow(Cursor& cursor);
    Task<bool> listOnce(Cursor& cursor);
    Task<bool> watchOnce(Cursor& cursor);
    bool noteOutcome(Cursor& cursor, std::string_view call, StoreStatus status, const std::string& detail);
    void applyObject(const Cursor& cursor, const StoreObject& object, bool isRemoved);
    void publish(const Cursor& cursor);

    asio::io_context& m_io;
    std::shared_ptr<ObjectStore> m_store;
    ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    Cursor m_config;
    Cursor m_endpoints;
    std::map<std::string, EndpointEntry> m_entries;
    nlohmann::json m_configContent;
};

} // namespace kumquatbank
