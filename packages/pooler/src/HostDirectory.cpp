#include "HostDirectory.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/KeepRunning.h"
#include "kumquatbank/engine/Random.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr std::array<std::string_view, 7> hostFields { "peerAddress", "loanAddress", "dataCentre", "region", "weight", "incarnation", "renewals" };
    constexpr ObjectKind hostKind { "kumquatbank-hosts", AnswerReader::Hosts, hostFields, {}, true };
    constexpr milliseconds callTimeout { 1500 };
    constexpr milliseconds retryDelay { 300 };
    /// Retry delay once the hosts have been listed.
    constexpr milliseconds renewalRetryDelay { 5000 };
    /// The first intervals are short, because all hosts of a new deployment register at the same time.
    constexpr std::array<milliseconds, 3> initialRenewalDelays { milliseconds(1500), milliseconds(4000), milliseconds(8000) };
    constexpr milliseconds minRenewalInterval { 30'000 };
    /// Limit for all hosts together: 1 in 50 of the 400 writes a second that the smallest store in use accepts.
    constexpr int maxFleetRenewalsPerSecond = 8;
    /// An entry that has not changed for this many renewal intervals has expired.
    constexpr int expiryIntervals = 3;
    /// Hosts that are no longer listed are remembered for this time, far longer than the age of a copy of the store.
    constexpr milliseconds unlistedRetention { 600'000 };
    /// A create or an update based on an entry that has changed meanwhile is repeated on what the store holds.
    constexpr int registrationAttempts = 3;
    /// Spreads the calls of all hosts after the store has come back from an older copy.
    constexpr milliseconds maxRestoredDelay { 1500 };
    /// Until every host that reaches the store has registered again.
    constexpr milliseconds restoredRoundInterval { 4000 };
    /// In the first round hosts register again, and from the second on a missing entry means that the host has left.
    constexpr int restoredRounds = 2;
    /// Two, so that the other hosts still receive updates after the loss of one.
    constexpr std::size_t followersPerRegion = 2;
    /// With fewer hosts in a region, polling followers costs more calls than it saves.
    constexpr std::ptrdiff_t minHostsForFollowers = 5;
    /// Greatest weight that is taken from the entry of a host, in standard cores.
    constexpr double maxWeight = 1024.0 * 1024.0;

    nlohmann::json describeHost(const HostAddress& peerAddress, const std::string& dataCentre, const std::string& region, double weight, const std::optional<HostAddress>& loanAddress)
    {
        nlohmann::json json { { "peerAddress", peerAddress.toString() }, { "dataCentre", dataCentre }, { "region", region }, { "weight", weight } };
        if (loanAddress)
            json["loanAddress"] = loanAddress->toString();
        return json;
    }

    HostRenewal renewalOf(const nlohmann::json& content)
    {
        const auto number = [&content](const char* key) {
            const auto value = content.is_object() ? content.value(key, nlohmann::json()) : nlohmann::json();
            return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
        };
        return { number("incarnation"), number("renewals") };
    }

} // namespace

HostDirectory::HostDirectory(asio::io_context& io, std::shared_ptr<ObjectStore> store, const PoolerSettings& settings, ServiceRegistry& registry, PoolerMetrics& metrics)
    : m_io(io)
    , m_store(std::move(store))
    , m_settings(settings)
    , m_registry(registry)
    , m_metrics(metrics)
    , m_wake(io)
{
}

void HostDirectory::start()
{
    keepRunning(m_io, "maintain_hosts", [this] { return maintain(); });
}

Task<void> HostDirectory::maintain()
{
    std::size_t n = 0;
    while (true) {
        const bool succeeded = co_await runRound(n);
        auto delay = n < initialRenewalDelays.size() ? initialRenewalDelays[n] : renewalInterval();
        if (!succeeded)
            delay = m_source == Source::None ? retryDelay : renewalRetryDelay;
        else if (isRestoring() && --m_restoredRounds > 0)
            delay = restoredRoundInterval;
        const bool isWoken = co_await m_wake.wait(BootClock::now() + delay);
        if (isWoken)
            co_await sleepFor(m_io, randomDelay(milliseconds(0), maxRestoredDelay));
        else if (succeeded)
            ++n;
    }
}

void HostDirectory::recordEra(std::uint64_t era)
{
    if (noticeEra(era))
        m_wake.wake();
}

bool HostDirectory::noticeEra(std::uint64_t era)
{
    if (era <= m_era)
        return false;
    const bool isFirst = m_era == 0;
    m_era = era;
    if (isFirst)
        return false;
    EventLog::info("hosts_to_be_confirmed", { { "era", era }, { "peers", m_peers.size() } });
    m_restoredRounds = restoredRounds;
    return true;
}

Task<bool> HostDirectory::runRound(std::size_t n)
{
    // Only the first round and the renewals after the initial delays write; the rounds between only read. A host that
    // restarts finds its entry in the store.
    const bool isRenewal = n > initialRenewalDelays.size() || (n == initialRenewalDelays.size() && m_renewals == 0);
    if (isRenewal && !isRestoring()) {
        const bool isRegistered = co_await registerSelf();
        if (!isRegistered)
            co_return false;
    }
    const bool isRefreshed = co_await refresh();
    if (!isRefreshed)
        co_return false;
    if ((n == 0 || isRestoring()) && !m_isListed) {
        const bool isRegistered = co_await registerSelf();
        co_return isRegistered;
    }
    co_return true;
}

Task<bool> HostDirectory::registerSelf()
{
    StoreObject object;
    object.name = m_settings.host;
    object.revision = m_revision;
    object.content = ownContent();
    object.content["incarnation"] = m_incarnation;
    object.content["renewals"] = ++m_renewals;
    StoreListing stored;
    for (int attempt = 0; attempt < registrationAttempts; ++attempt) {
        stored = co_await m_store->put(hostKind, object, callTimeout);
        m_metrics.storeCall("register", storeStatusName(stored.status));
        // An entry of an earlier run of this host, or of a write of this run whose answer was lost.
        if (stored.status == StoreStatus::Conflict && !stored.objects.empty())
            object.revision = stored.objects.front().revision;
        else if (stored.status == StoreStatus::NotFound || stored.status == StoreStatus::Restored)
            object.revision = {};
        else
            break;
    }
    if (stored.status != StoreStatus::Ok || stored.objects.empty()) {
        m_revision = object.revision;
        EventLog::warn("host_not_registered", { { "status", storeStatusName(stored.status) }, { "detail", stored.detail } });
        co_return false;
    }
    m_revision = stored.objects.front().revision;
    co_return true;
}

Task<bool> HostDirectory::refresh()
{
    // A stale listing may still be one of the lost history.
    const auto listing = co_await m_store->list(hostKind, !isRestoring(), callTimeout);
    m_metrics.storeCall("list_hosts", storeStatusName(listing.status));
    if (listing.status != StoreStatus::Ok)
        co_return false;
    if (listing.revision.era < m_era) {
        EventLog::info("host_listing_outdated", { { "listed_era", listing.revision.era }, { "era", m_era } });
        co_return false;
    }
    noticeEra(listing.revision.era);
    apply(listing.objects);
    co_await removeExpired(listing.objects);
    co_return true;
}

Task<void> HostDirectory::removeExpired(const std::vector<StoreObject>& listed)
{
    const auto now = BootClock::now();
    const auto expiry = renewalInterval() * expiryIntervals;
    m_liveness.forgetUnlisted(now, unlistedRetention);
    // One removal is enough, and followers make it if this host does not.
    if (!m_isFollower && !m_followers.empty())
        co_return;
    for (const auto& object : listed) {
        if (object.name == m_settings.host || !m_liveness.hasExpired(object.name, now, expiry))
            continue;
        EventLog::info("host_expired", { { "peer", object.name }, { "unchanged_ms", toMs(m_liveness.sinceRenewal(object.name, now)) } });
        const auto removed = co_await m_store->remove(hostKind, object.name, callTimeout);
        m_metrics.storeCall("remove_host", storeStatusName(removed.status));
    }
}

void HostDirectory::addPeer(const std::string& name, const nlohmann::json& content)
{
    const auto text = [&content](const char* key) {
        const auto value = content.is_object() ? content.value(key, nlohmann::json()) : nlohmann::json();
        return value.is_string() ? value.get<std::string>() : std::string();
    };
    const auto address = HostAddress::parse(text("peerAddress"));
    const auto loanAddress = HostAddress::parse(text("loanAddress"));
    const auto weight = content.is_object() ? content.value("weight", nlohmann::json()) : nlohmann::json();
    if (address)
        m_peers.push_back({ name, *address, text("dataCentre"), text("region"), loanAddress ? std::optional(*loanAddress) : std::nullopt, weight.is_number() ? std::clamp(weight.get<double>(), 0.0, maxWeight) : 1.0 });
    else
        EventLog::warn("host_entry_skipped", { { "peer", name }, { "readable", !content.is_discarded() } });
}

nlohmann::json HostDirectory::ownContent() const
{
    return describeHost(m_settings.peerAddress, m_settings.dataCentre, m_settings.region, m_settings.weight(), m_settings.loanAddress);
}

void HostDirectory::handlePeersChanged()
{
    ++m_version;
    updatePlacement();
    const int lenders = m_settings.loanAddress ? static_cast<int>(m_placement.lendingRegions().size()) : 0;
    m_registry.setHostCount(static_cast<int>(m_peers.size()) + 1, lenders);
}

void HostDirectory::updatePlacement()
{
    std::vector<PlacementHost> hosts { { m_settings.host, m_settings.dataCentre, m_settings.region, m_settings.weight(), m_settings.loanAddress.has_value() } };
    for (const auto& peer : m_peers)
        hosts.push_back({ peer.name, peer.dataCentre, peer.region, peer.weight, peer.loanAddress.has_value() });
    m_placement = Placement(std::move(hosts));
    m_followers.clear();
    m_isFollower = false;
    if (std::ranges::count(m_placement.hosts(), m_settings.region, &PlacementHost::region) < minHostsForFollowers)
        return;
    for (const auto& host : m_placement.followers(m_settings.region, followersPerRegion)) {
        if (host.name == m_settings.host)
            m_isFollower = true;
        else
            m_followers.push_back(*find(host.name));
    }
    if (m_isFollower)
        m_followers.clear();
}

const PeerHost* HostDirectory::find(const std::string& name) const
{
    const auto it = std::ranges::find(m_peers, name, &PeerHost::name);
    return it == m_peers.end() ? nullptr : &*it;
}

milliseconds HostDirectory::renewalInterval() const
{
    const auto hosts = static_cast<int>(m_peers.size()) + 1;
    return std::max(minRenewalInterval, milliseconds(std::chrono::seconds(1)) * hosts / maxFleetRenewalsPerSecond);
}

std::vector<PeerHost> HostDirectory::peersOrSeeds() const
{
    if (!m_peers.empty())
        return m_peers;
    std::vector<PeerHost> seeds;
    for (const auto& address : m_settings.seeds) {
        if (address != m_settings.peerAddress)
            seeds.push_back({ "seed " + address.toString(), address, {}, {}, {} });
    }
    return seeds;
}

nlohmann::json HostDirectory::describe() const
{
    // With an incomplete list, the requesting host would take too large a share of the connections.
    if (m_source == Source::None)
        return {};
    nlohmann::json hosts { { m_settings.host, ownContent() } };
    for (const auto& peer : m_peers)
        hosts[peer.name] = describeHost(peer.address, peer.dataCentre, peer.region, peer.weight, peer.loanAddress);
    return hosts;
}

void HostDirectory::applyFromPeer(const nlohmann::json& hosts)
{
    if (m_source == Source::Store || !hosts.is_object())
        return;
    m_source = Source::Peer;
    m_peers.clear();
    for (const auto& [name, content] : hosts.items()) {
        if (name != m_settings.host)
            addPeer(name, content);
    }
    handlePeersChanged();
}

void HostDirectory::apply(const std::vector<StoreObject>& objects)
{
    const auto now = BootClock::now();
    const auto expiry = renewalInterval() * expiryIntervals;
    // In a new deployment, a listing made before this host registered lacks most hosts, so that this host would take
    // too large a share of the connections.
    const bool hasOwn = std::ranges::find(objects, m_settings.host, &StoreObject::name) != objects.end();
    if (m_source != Source::Store && !hasOwn)
        return;
    m_source = Source::Store;
    m_isListed = false;
    const auto knownPeers = std::exchange(m_peers, {});
    for (const auto& object : objects) {
        m_liveness.record(object.name, renewalOf(object.content), now);
        if (object.name == m_settings.host) {
            m_revision = std::max(m_revision, object.revision);
            m_isListed = object.content.is_object() && std::ranges::all_of(ownContent().items(), [&](const auto& item) { return object.content.contains(item.key()) && object.content[item.key()] == item.value(); });
            continue;
        }
        if (!m_liveness.hasExpired(object.name, now, expiry))
            addPeer(object.name, object.content);
    }
    if (m_restoredRounds == restoredRounds) {
        // The copy may lack hosts that live, and they register again in this round.
        std::ranges::copy_if(knownPeers, std::back_inserter(m_peers), [&](const PeerHost& peer) {
            return find(peer.name) == nullptr && !m_liveness.hasExpired(peer.name, now, expiry);
        });
    }
    handlePeersChanged();
}

} // namespace kumquatbank
