#include "StoreSync.h"

#include "kumquatbank/adapter/StoreCodec.h"
#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/KeepRunning.h"
#include "kumquatbank/engine/Random.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds callTimeout { 1500 };
    /// Longest wait of one watch. A dead connection is detected after this time plus watchAnswerTimeout.
    constexpr milliseconds watchWait { 2000 };
    constexpr milliseconds watchAnswerTimeout { 800 };
    /// Longest wait of one watch on a follower.
    constexpr milliseconds followerWatchWait { 1500 };
    /// A peer without an answer from the store for longer has lost it. Covers the wait of its watch and a slow answer.
    constexpr milliseconds maxPeerSilence { 2000 };
    /// Validity of a peer's update. Covers two polls that are answered late and one that fails; more failures clear it.
    constexpr milliseconds peerUpdateValidity { 3000 };
    constexpr milliseconds peerUpdateCheckInterval { 100 };
    /// Delay before the next watch during a burst of changes. A new deployment registers its databases one by one, and
    /// each registration would end a watch on every host.
    constexpr milliseconds changeBatchInterval { 300 };
    /// The same before the hosts have been listed, when every host of the deployment watches.
    constexpr milliseconds initialChangeBatchInterval { 1000 };
    /// Delay after the first listing, in which the followers are found and polled.
    constexpr milliseconds followerDiscoveryDelay { 500 };
    constexpr milliseconds minRetryDelay { 100 };
    constexpr int maxRetryDoublings = 5;
    constexpr milliseconds maxRetryDelay { 800 };
    /// The same for a subscriber, which receives from followers that the store is back.
    constexpr milliseconds maxSubscriberRetryDelay { 3200 };

} // namespace

StoreSync::StoreSync(asio::io_context& io, std::shared_ptr<ObjectStore> store, ServiceRegistry& registry, PoolerMetrics& metrics)
    : m_io(io)
    , m_store(std::move(store))
    , m_registry(registry)
    , m_metrics(metrics)
    , m_reader([&registry](const std::string& service) { return registry.config() && registry.config()->services.contains(service); })
{
    m_config.kind = StoreCodec::configKind;
    m_config.objects = &StoreCodec::configs();
    m_endpoints.kind = StoreCodec::endpointKind;
    m_endpoints.objects = &StoreCodec::endpoints();
}

void StoreSync::start()
{
    keepRunning(m_io, "sync_config", [this] { return syncKind(m_config); });
    keepRunning(m_io, "sync_endpoints", [this] { return syncKind(m_endpoints); });
}

milliseconds StoreSync::endpointSilence() const { return std::chrono::duration_cast<milliseconds>(BootClock::now() - m_endpoints.lastAnswer); }
milliseconds StoreSync::configSilence() const { return std::chrono::duration_cast<milliseconds>(BootClock::now() - m_config.lastAnswer); }

void StoreSync::recordPeerUpdate(BootTime requestedAt, milliseconds peerSilence)
{
    if (peerSilence > maxPeerSilence) {
        clearPeerUpdate();
        return;
    }
    m_peerUpdateRequestedAt = requestedAt;
    m_entriesKnownAt = std::max(m_entriesKnownAt, requestedAt - peerSilence);
    for (auto* cursor : { &m_config, &m_endpoints }) {
        cursor->lastAnswer = std::max(cursor->lastAnswer, requestedAt - peerSilence);
        cursor->failures = 0;
        if (!cursor->isLost)
            continue;
        cursor->isLost = false;
        EventLog::info("store_regained", { { "kind", cursor->kind }, { "away_ms", toMs(BootClock::now() - cursor->lostSince) }, { "source", "peer" } });
        publishEndpoints(*cursor);
    }
}

bool StoreSync::hasRecentPeerUpdate() const { return BootClock::now() - m_peerUpdateRequestedAt < peerUpdateValidity; }

Task<void> StoreSync::syncKind(Cursor& cursor)
{
    while (true) {
        if (&cursor == &m_endpoints && cursor.revision.number != 0 && m_table.isConfirmationDue(BootClock::now())) {
            EventLog::info("endpoints_to_be_confirmed", { { "revision", cursor.revision.number }, { "era", cursor.revision.era } });
            requestListing(cursor);
        }
        if (cursor.revision.number != 0 && hasRecentPeerUpdate()) {
            co_await sleepFor(m_io, peerUpdateCheckInterval);
            continue;
        }
        bool succeeded = false;
        if (cursor.revision.number == 0) {
            succeeded = co_await listOnce(cursor);
            if (succeeded && m_role == Role::Unknown && &cursor == &m_endpoints)
                co_await sleepFor(m_io, followerDiscoveryDelay);
        } else {
            succeeded = co_await watchOnce(cursor);
        }
        if (!succeeded) {
            const auto maxDelay = m_role == Role::Subscriber ? maxSubscriberRetryDelay : maxRetryDelay;
            const auto delay = std::min(maxDelay, minRetryDelay * (1 << std::min(cursor.failures, maxRetryDoublings)));
            co_await sleepFor(m_io, randomDelay(delay / 2, delay));
        }
    }
}

bool StoreSync::recordOutcome(Cursor& cursor, std::string_view call, StoreStatus status, const std::string& detail, BootTime requestedAt)
{
    m_metrics.storeCall(call, storeStatusName(status));
    const auto now = BootClock::now();
    const bool answered = status == StoreStatus::Ok || status == StoreStatus::NotFound || status == StoreStatus::HistoryGone || status == StoreStatus::Restored;
    if (answered) {
        if (cursor.isLost)
            EventLog::info("store_regained", { { "kind", cursor.kind }, { "away_ms", toMs(now - cursor.lostSince) }, { "revision", cursor.revision.number }, { "revision_era", cursor.revision.era }, { "era", m_store->era() } });
        cursor.isLost = false;
        cursor.failures = 0;
        cursor.lastAnswer = m_arrivals.at(requestedAt);
        return status == StoreStatus::Ok;
    }
    ++cursor.failures;
    if (!cursor.isLost) {
        cursor.isLost = true;
        cursor.lostSince = now;
        EventLog::warn("store_lost", { { "kind", cursor.kind }, { "call", call }, { "status", detail } });
        publishEndpoints(cursor);
    }
    return false;
}

Task<bool> StoreSync::listOnce(Cursor& cursor)
{
    const bool isEndpoints = &cursor == &m_endpoints;
    EndpointReader::Listing entries;
    ObjectStore::ObjectVisitor visit;
    std::size_t objects = 0;
    if (isEndpoints) {
        visit = [this, &entries, &objects](const StoreObject& object) {
            ++objects;
            return m_reader.addTo(entries, object);
        };
    }
    const auto requestedAt = BootClock::now();
    const auto listing = co_await m_store->list(*cursor.objects, false, callTimeout, visit);
    if (!recordOutcome(cursor, "list", listing.status, listing.detail, requestedAt))
        co_return false;
    EventLog::info("store_listed", { { "kind", cursor.kind }, { "objects", objects + listing.objects.size() }, { "revision", listing.revision.number }, { "era", listing.revision.era } });
    cursor.revision = listing.revision;
    cursor.isPopulated = true;
    if (isEndpoints)
        applyEndpoints(std::move(entries), listing.revision);
    for (const auto& object : listing.objects)
        applyChange(cursor, { object, false });
    publishEndpoints(cursor);
    if (isEndpoints)
        m_entriesKnownAt = requestedAt; // The first of several pages may be that old.
    co_return true;
}

Task<bool> StoreSync::watchOnce(Cursor& cursor)
{
    const auto since = cursor.revision;
    const auto wait = m_role == Role::Follower ? followerWatchWait : watchWait;
    const auto requestedAt = BootClock::now();
    auto changes = co_await m_store->watch(*cursor.objects, since, wait, wait + watchAnswerTimeout);
    const bool isOk = recordOutcome(cursor, "watch", changes.status, changes.detail, requestedAt);
    // Changes that find no room are read as a listing, page by page.
    const bool isOutdated = changes.status == StoreStatus::HistoryGone || changes.status == StoreStatus::Restored || changes.status == StoreStatus::NoRoom || (changes.status == StoreStatus::Ok && changes.revision < since);
    if (cursor.revision == since && isOutdated) {
        EventLog::info("store_history_gone", { { "kind", cursor.kind }, { "revision", since.number }, { "revision_era", since.era }, { "era", m_store->era() }, { "status", changes.detail } });
        requestListing(cursor);
        // Not at once, so that a store whose watches always fail is not listed without a pause.
        co_return false;
    }
    if (!isOk)
        co_return false;
    // A newer update from a peer was applied during the watch.
    if (cursor.revision != since)
        co_return true;
    cursor.revision = changes.revision;
    const auto now = BootClock::now();
    const auto batchInterval = m_role == Role::Unknown ? initialChangeBatchInterval : changeBatchInterval;
    // A configuration is a single object, so its changes do not come in bursts and are not delayed.
    const bool isBurst = &cursor == &m_endpoints && !changes.changes.empty() && now - cursor.lastChange < 2 * batchInterval;
    if (!changes.changes.empty())
        cursor.lastChange = now;
    if (&cursor == &m_endpoints && !changes.changes.empty())
        m_entriesRevision = changes.revision;
    for (const auto& change : changes.changes)
        applyChange(cursor, change);
    if (!changes.changes.empty() || &cursor == &m_endpoints)
        publishEndpoints(cursor);
    if (&cursor == &m_endpoints)
        m_entriesKnownAt = cursor.lastAnswer;
    if (isBurst)
        co_await sleepFor(m_io, batchInterval);
    co_return true;
}

void StoreSync::applyConfig(const nlohmann::json& content, std::string_view source)
{
    auto config = StoreCodec::parseConfig(content);
    if (!config) {
        EventLog::error("config_unreadable", { { "error", config.error() }, { "source", source } });
        return;
    }
    const auto version = config->version;
    auto shared = StoreCodec::withoutKeys(content, *config);
    if (m_registry.apply(std::make_shared<const RoutingConfig>(std::move(*config)), source)) {
        m_configContent = std::move(shared);
        if (m_reader.hasOmitted())
            requestListing(m_endpoints);
    } else if (version < m_registry.config()->version) {
        EventLog::warn("older_config_ignored", { { "version", version }, { "in_force", m_registry.config()->version }, { "source", source } });
    }
}

bool StoreSync::hasNewerThan(std::int64_t configVersion, StoreRevision endpointRevision) const
{
    const auto config = m_registry.config();
    return (config && config->version > configVersion) || m_entriesRevision > endpointRevision;
}

nlohmann::json StoreSync::newerThan(std::int64_t configVersion, StoreRevision endpointRevision) const
{
    auto state = nlohmann::json::object();
    const auto config = m_registry.config();
    if (config && config->version > configVersion)
        state["config"] = m_configContent;
    state["endpointRevision"] = this->endpointRevision().number;
    state["storeEra"] = this->endpointRevision().era;
    // Other objects advance the store's revision far more often than endpoints change.
    if (m_entriesRevision <= endpointRevision)
        return state;
    auto& objects = state["endpoints"] = nlohmann::json::array();
    for (const auto& [id, entry] : m_table.entries())
        objects.push_back({ { "name", id }, { "content", StoreCodec::formatEndpoint(entry) } });
    return state;
}

bool StoreSync::applyFromPeer(const nlohmann::json& state, const std::string& peer)
{
    const auto source = "peer " + peer;
    if (state.contains("config"))
        applyConfig(state["config"], source);
    const StoreRevision revision { state.value("storeEra", std::uint64_t(0)), state.value("endpointRevision", std::uint64_t(0)) };
    if (revision.era < endpointRevision().era) {
        EventLog::info("peer_state_outdated", { { "source", source }, { "peer_era", revision.era }, { "era", endpointRevision().era } });
        return false;
    }
    if (revision <= endpointRevision())
        return true;
    if (!state.contains("endpoints")) {
        // Nothing has changed since the revision that this process sent in its request.
        if (m_endpoints.isPopulated)
            m_endpoints.revision = revision;
        return true;
    }
    // All items are parsed before any state changes, so that an unreadable item leaves the current entries intact.
    EndpointReader::Listing entries;
    for (const auto& item : state.at("endpoints")) {
        StoreObject object;
        object.name = item.at("name").get<std::string>();
        object.content = item.at("content");
        if (!m_reader.addTo(entries, object))
            return false;
    }
    m_endpoints.revision = revision;
    m_endpoints.isPopulated = true;
    applyEndpoints(std::move(entries), revision);
    EventLog::info("endpoints_from_peer", { { "source", source }, { "revision", revision.number }, { "era", revision.era }, { "endpoints", m_table.entries().size() } });
    publishEndpoints(m_endpoints);
    return true;
}

void StoreSync::applyEndpoints(EndpointReader::Listing listing, StoreRevision revision)
{
    m_reader.finish(listing);
    for (const auto& id : m_table.replace(std::move(listing.entries), revision.era, BootClock::now()))
        EventLog::info("endpoint_entry_outdated", { { "endpoint", id }, { "revision", revision.number }, { "era", revision.era } });
    m_entriesRevision = revision;
}

void StoreSync::applyChange(const Cursor& cursor, const StoreChange& change)
{
    const auto& object = change.object;
    if (&cursor == &m_config) {
        if (object.name != StoreCodec::configName || change.isRemoved)
            return;
        if (object.error.empty())
            applyConfig(object.content, "store");
        else
            EventLog::error("config_unreadable", { { "error", StoreCodec::errorWithoutContent(object) }, { "source", "store" }, { "revision", object.revision.number } });
        return;
    }
    if (change.isRemoved)
        m_reader.forget(object.name);
    auto entry = change.isRemoved ? std::nullopt : m_reader.read(object, m_table.entries());
    if (entry)
        m_table.set(std::move(*entry));
    else
        m_table.remove(object.name, BootClock::now());
}

void StoreSync::publishEndpoints(const Cursor& cursor)
{
    if (&cursor == &m_endpoints && cursor.isPopulated)
        m_registry.setEndpoints(m_table.entries(), !cursor.isLost, m_entriesKnownAt);
}

} // namespace kumquatbank
