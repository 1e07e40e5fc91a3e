#include "HostDirectory.h"

#include "kumquatbank/engine/EventLog.h"

#include <array>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr const char* hostKind = "kumquatbank-hosts";
    constexpr milliseconds callTimeout { 1500 };
    constexpr milliseconds retryDelay { 1000 };
    /// The first renewals are close together, because all hosts of a new deployment register at the same time.
    constexpr std::array<milliseconds, 3> firstRenewals { milliseconds(1500), milliseconds(4000), milliseconds(8000) };
    constexpr milliseconds renewalInterval { 15'000 };
    /// A host whose entry has not changed for this long is gone.
    constexpr milliseconds expiry { 50'000 };
    /// Two, so that the loss of one leaves the positions fresh.
    constexpr std::size_t samplersPerDataCentre = 2;
    /// With fewer hosts in a data centre, asking each other saves less than it costs.
    constexpr std::size_t minHostsForSamplers = 5;

    nlohmann::json describeHost(const HostAddress& peerAddress, const std::string& dataCentre, const std::string& region, const std::optional<HostAddress>& loanAddress)
    {
        nlohmann::json json { { "peerAddress", peerAddress.toString() }, { "dataCentre", dataCentre }, { "region", region } };
        if (loanAddress)
            json["loanAddress"] = loanAddress->toString();
        return json;
    }

} // namespace

HostDirectory::HostDirectory(asio::io_context& io, std::shared_ptr<ObjectStore> store, const PoolerSettings& settings, ServiceRegistry& registry, PoolerMetrics& metrics)
    : m_io(io)
    , m_store(std::move(store))
    , m_settings(settings)
    , m_registry(registry)
    , m_metrics(metrics)
{
}

void HostDirectory::start() { asio::co_spawn(m_io, maintain(), asio::detached); }

Task<void> HostDirectory::maintain()
{
    std::size_t n = 0;
    while (true) {
        // Only the first round and every later renewal write; the rounds between only read.
        const bool writes = n == 0 || n > firstRenewals.size();
        bool succeeded = true;
        if (writes)
            succeeded = co_await registerSelf();
        if (succeeded)
            succeeded = co_await refresh();
        if (!succeeded) {
            co_await sleepFor(m_io, retryDelay);
            continue;
        }
        co_await sleepFor(m_io, n < firstRenewals.size() ? firstRenewals[n] : renewalInterval);
        ++n;
    }
}

Task<bool> HostDirectory::registerSelf()
{
    StoreObject object;
    object.name = m_settings.host;
    object.revision = m_revision;
    object.content = ownContent();
    object.content["incarnation"] = m_incarnation;
    object.content["renewals"] = ++m_renewals;
    auto stored = co_await m_store->put(hostKind, object, callTimeout);
    m_metrics.storeCall("register", storeStatusName(stored.status));
    if (stored.status == StoreStatus::Conflict && !stored.objects.empty()) {
        // An entry of an earlier run of this host, or of a write of this run whose answer was lost.
        object.revision = stored.objects.front().revision;
        stored = co_await m_store->put(hostKind, object, callTimeout);
        m_metrics.storeCall("register", storeStatusName(stored.status));
    }
    if (stored.status == StoreStatus::NotFound)
        m_revision = 0;
    if (stored.status != StoreStatus::Ok || stored.objects.empty()) {
        EventLog::warn("host_not_registered", { { "status", storeStatusName(stored.status) }, { "detail", stored.detail } });
        co_return false;
    }
    m_revision = stored.objects.front().revision;
    co_return true;
}

Task<bool> HostDirectory::refresh()
{
    const auto listing = co_await m_store->list(hostKind, m_renewals > 1, callTimeout);
    m_metrics.storeCall("list_hosts", storeStatusName(listing.status));
    if (listing.status != StoreStatus::Ok)
        co_return false;
    apply(listing.objects);
    const auto now = BootClock::now();
    std::vector<std::string> expired;
    for (const auto& [name, seen] : m_seen) {
        if (name != m_settings.host && now - seen.changedAt >= expiry)
            expired.push_back(name);
    }
    for (const auto& name : expired) {
        EventLog::info("host_expired", { { "peer", name }, { "unchanged_ms", toMs(now - m_seen[name].changedAt) } });
        m_seen.erase(name);
        const auto removed = co_await m_store->remove(hostKind, name, callTimeout);
        m_metrics.storeCall("remove_host", storeStatusName(removed.status));
    }
    co_return true;
}

void HostDirectory::addPeer(const std::string& name, const nlohmann::json& content)
{
    const auto text = [&content](const char* key) {
        const auto value = content.is_object() ? content.value(key, nlohmann::json()) : nlohmann::json();
        return value.is_string() ? value.get<std::string>() : std::string();
    };
    const auto address = HostAddress::parse(text("peerAddress"));
    const auto loanAddress = HostAddress::parse(text("loanAddress"));
    if (address)
        m_peers.push_back({ name, *address, text("dataCentre"), text("region"), loanAddress ? std::optional(*loanAddress) : std::nullopt });
    else
        EventLog::warn("host_entry_skipped", { { "peer", name } });
}

nlohmann::json HostDirectory::ownContent() const
{
    return describeHost(m_settings.peerAddress, m_settings.dataCentre, m_settings.region, m_settings.loanAddress);
}

void HostDirectory::publish()
{
    ++m_version;
    std::set<std::string> lendingRegions;
    if (m_settings.loanAddress)
        lendingRegions.insert(m_settings.region);
    for (const auto& peer : m_peers) {
        if (peer.loanAddress)
            lendingRegions.insert(peer.region);
    }
    const int lenders = m_settings.loanAddress ? static_cast<int>(lendingRegions.size()) : 0;
    m_registry.setHostCount(static_cast<int>(m_peers.size()) + 1, lenders);
}

std::vector<PeerHost> HostDirectory::firstOfDataCentre() const
{
    std::vector<PeerHost> near;
    std::ranges::copy_if(m_peers, std::back_inserter(near), [this](const PeerHost& peer) { return peer.dataCentre == m_settings.dataCentre; });
    if (near.size() + 1 < minHostsForSamplers)
        return {};
    std::ranges::sort(near, {}, &PeerHost::name);
    near.resize(samplersPerDataCentre);
    return near;
}

bool HostDirectory::isSampler() const
{
    // Every host of the data centre has the same order, so all agree on the first ones.
    const auto others = firstOfDataCentre();
    return !others.empty() && m_settings.host < others.back().name;
}

std::vector<PeerHost> HostDirectory::samplers() const { return isSampler() ? std::vector<PeerHost> {} : firstOfDataCentre(); }

std::vector<PeerHost> HostDirectory::contacts() const
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
    // With a part of the hosts, the asker would take too large a share of the connections.
    if (m_source == Source::None)
        return {};
    nlohmann::json hosts { { m_settings.host, ownContent() } };
    for (const auto& peer : m_peers)
        hosts[peer.name] = describeHost(peer.address, peer.dataCentre, peer.region, peer.loanAddress);
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
    publish();
}

void HostDirectory::apply(const std::vector<StoreObject>& objects)
{
    const auto now = BootClock::now();
    m_source = Source::Store;
    m_peers.clear();
    for (const auto& object : objects) {
        auto& seen = m_seen[object.name];
        if (seen.revision != object.revision)
            seen = { object.revision, now };
        if (object.name == m_settings.host || now - seen.changedAt >= expiry)
            continue;
        addPeer(object.name, object.content);
    }
    publish();
}

} // namespace kumquatbank
