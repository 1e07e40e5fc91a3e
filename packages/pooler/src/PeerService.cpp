#include "PeerService.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/KeepRunning.h"
#include "kumquatbank/engine/Random.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <charconv>
#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;
using Json = nlohmann::json;

namespace {

    constexpr milliseconds peerQueryTimeout { 350 };
    /// Peers queried about one primary. More of them add little information at the same cost each.
    constexpr std::size_t maxQueriedPeers = 9;
    /// A host reaches the primary if it had an answer from it within this time.
    constexpr milliseconds primarySilenceLimit { 700 };
    /// The store is considered unavailable after this time without an answer.
    constexpr milliseconds storeSilenceThreshold { 3200 };
    constexpr milliseconds peerPollInterval { 500 };
    /// Interval of polls to a follower that also reports the positions of primaries.
    constexpr milliseconds sampleInterval { 250 };
    /// A follower answers a poll without positions when it has changes, at the latest after this time.
    constexpr milliseconds updateWait { 1000 };
    constexpr milliseconds maxUpdateWait { 5000 };
    /// Interval at which a waiting request checks for changes.
    constexpr milliseconds updateCheckInterval { 50 };
    /// Added to the wait for the network round trip.
    constexpr milliseconds updateTimeoutMargin { 200 };
    /// Consecutive failed polls after which the followers count as lost and this host watches the store itself.
    constexpr int followerFailureThreshold = 2;

    /// Parses the number in @p text; returns 0 if there is none, which requests everything.
    template <std::integral T>
    T numberOrZero(const std::string& text)
    {
        T number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

} // namespace

PeerService::PeerService(asio::io_context& io, HostDirectory& hosts, ServiceRegistry& registry, StoreSync& sync)
    : m_io(io)
    , m_hosts(hosts)
    , m_registry(registry)
    , m_sync(sync)
{
}

void PeerService::start()
{
    keepRunning(m_io, "poll_peers", [this] { return pollPeers(); });
    keepRunning(m_io, "poll_followers", [this] { return pollFollowers(); });
}

Task<HttpResult> PeerService::call(HostAddress peer, std::string target, milliseconds timeout)
{
    auto& client = m_clients[peer];
    if (!client)
        client = std::make_shared<HttpClient>(m_io, peer);
    const auto keep = client;
    HttpCall request;
    request.target = std::move(target);
    request.reader = AnswerReader::Peers;
    co_return co_await keep->call(std::move(request), timeout);
}

Json PeerService::describePrimary(const std::string& service, const std::string& endpointId) const
{
    Json report { { "seen", false }, { "watches", false } };
    const auto known = m_registry.find(service);
    const auto endpoint = known ? known->find(endpointId) : nullptr;
    if (!endpoint)
        return report;
    const auto silence = BootClock::now() - endpoint->lastAnswer;
    report["silenceMs"] = toMs(silence);
    report["watches"] = known->monitorsPrimary();
    report["seen"] = known->lastPrimary() == endpointId && known->primary() && silence < primarySilenceLimit;
    return report;
}

Task<HttpResponse> PeerService::answer(HttpRequest request)
{
    const auto url = boost::urls::parse_origin_form(request.target);
    if (!url)
        co_return HttpResponse { 400, R"({"error":"invalid target"})" };
    const auto parameter = [&url](const char* name) {
        const auto it = url->params().find(name);
        return it == url->params().end() ? std::string() : std::string((*it).value);
    };
    if (url->path() == "/v1/primary")
        co_return HttpResponse { 200, describePrimary(parameter("service"), parameter("endpoint")).dump() };
    const auto config = numberOrZero<std::int64_t>(parameter("config"));
    StoreRevision endpoints { numberOrZero<std::uint64_t>(parameter("era")), numberOrZero<std::uint64_t>(parameter("endpoints")) };
    // Builds without eras send none; their revisions are compared by number, as they do themselves.
    if (parameter("era").empty())
        endpoints.era = m_sync.endpointRevision().era;
    if (url->path() == "/v1/known") {
        Json known = m_sync.newerThan(config, endpoints);
        if (parameter("hosts") == "1")
            known["hosts"] = m_hosts.describe();
        co_return HttpResponse { 200, known.dump() };
    }
    if (url->path() == "/v1/news") {
        const milliseconds wait(std::clamp<std::int64_t>(numberOrZero<std::int64_t>(parameter("waitMs")), 0, maxUpdateWait.count()));
        const auto until = BootClock::now() + wait;
        while (!m_sync.hasNewerThan(config, endpoints) && BootClock::now() < until)
            co_await sleepFor(m_io, updateCheckInterval);
        co_return HttpResponse { 200, describeUpdates(config, endpoints).dump() };
    }
    if (url->path() == "/v1/state")
        co_return HttpResponse { 200, describeState().dump() };
    co_return HttpResponse { 404, R"({"error":"unknown path"})" };
}

std::vector<PeerHost> PeerService::peersToQuery(const std::string& service) const
{
    std::vector<PeerHost> selected;
    const auto known = m_registry.find(service);
    if (!known || !known->isLent()) {
        std::ranges::sample(m_hosts.peers(), std::back_inserter(selected), maxQueriedPeers, randomEngine());
        return selected;
    }
    for (const auto& holder : m_hosts.placement().topHoldersPerRegion(service)) {
        if (const auto* peer = m_hosts.find(holder.name))
            selected.push_back(*peer);
    }
    return selected;
}

Task<std::vector<PeerReport>> PeerService::queryPeersAboutPrimary(std::string service, std::string endpoint)
{
    const auto selected = peersToQuery(service);
    auto reports = std::make_shared<std::vector<PeerReport>>(selected.size());
    auto missing = std::make_shared<std::size_t>(selected.size());
    auto waiter = std::make_shared<AutoResetEvent>(m_io);
    const auto target = fmt::format("/v1/primary?service={}&endpoint={}", boost::urls::encode(service, boost::urls::unreserved_chars), boost::urls::encode(endpoint, boost::urls::unreserved_chars));
    const auto queryOne = [this, reports, missing, waiter, target](std::size_t n, HostAddress peer) -> Task<void> {
        const auto reply = co_await call(peer, target, peerQueryTimeout);
        const auto parsed = reply.isSuccess() ? AnswerMemory::ofProcess().parse(AnswerReader::Peers, reply.body) : std::nullopt;
        auto& report = (*reports)[n];
        const auto flag = [&parsed](const char* key) {
            return parsed && parsed->value.is_object() && parsed->value.contains(key) && parsed->value[key].is_boolean() && parsed->value[key].get<bool>();
        };
        // A host that does not monitor the primary has no information about it.
        report.answered = flag("watches");
        report.reachesPrimary = report.answered && flag("seen");
        if (--*missing == 0)
            waiter->wake();
    };
    for (std::size_t n = 0; n < selected.size(); ++n)
        asio::co_spawn(m_io, queryOne(n, selected[n].address), asio::detached);
    if (!selected.empty())
        co_await waiter->wait(BootClock::now() + peerQueryTimeout * 2);
    // The lambda queryOne is part of this coroutine's frame, so all calls must end before the coroutine does.
    while (*missing > 0)
        co_await sleepFor(m_io, peerQueryTimeout / 10);
    co_return *reports;
}

Task<void> PeerService::pollPeers()
{
    // A store that has come back from an older copy gives a new process an older configuration than the others have, so
    // that one peer is asked in any case.
    bool hasAskedPeer = false;
    while (true) {
        co_await sleepFor(m_io, peerPollInterval);
        const bool isStoreSilent = std::max(m_sync.configSilence(), m_sync.endpointSilence()) >= storeSilenceThreshold;
        const bool isFirst = !hasAskedPeer && !m_hosts.peers().empty();
        if (!isStoreSilent && !isFirst)
            continue;
        const auto peersOrSeeds = m_hosts.peersOrSeeds();
        if (peersOrSeeds.empty())
            continue;
        const auto peer = randomElement(peersOrSeeds);
        const auto target = fmt::format("/v1/known?{}&hosts={}", knownParameters(), m_hosts.peers().empty() ? 1 : 0);
        const auto reply = co_await call(peer.address, target, peerQueryTimeout);
        hasAskedPeer = hasAskedPeer || reply.isSuccess();
        if (reply.isSuccess() && !applyState(reply.body, peer.name))
            EventLog::warn("peer_answer_unreadable", { { "peer", peer.name }, { "call", "known" } });
    }
}

bool PeerService::needsPositions() const
{
    return std::ranges::any_of(m_registry.services(), [](const auto& item) { return !item.second->isLent(); });
}

StoreSync::Role PeerService::storeSyncRole() const
{
    if (!m_hosts.isPopulated())
        return StoreSync::Role::Unknown;
    if (m_hosts.isFollower())
        return StoreSync::Role::Follower;
    return m_hosts.followers().empty() ? StoreSync::Role::Standalone : StoreSync::Role::Subscriber;
}

Task<void> PeerService::pollFollowers()
{
    while (true) {
        m_sync.setRole(storeSyncRole());
        const auto followers = m_hosts.followers();
        if (followers.empty() || needsPositions())
            co_await sleepFor(m_io, sampleInterval);
        if (followers.empty())
            continue;
        // The first poll returns at once, so that this host need not watch the store.
        const auto wait = needsPositions() || !m_sync.hasRecentPeerUpdate() ? milliseconds(0) : updateWait;
        const auto& peer = followers[m_followerIndex % followers.size()];
        const auto requestedAt = BootClock::now();
        const auto target = fmt::format("/v1/news?{}&waitMs={}", knownParameters(), wait.count());
        const auto reply = co_await call(peer.address, target, wait + updateTimeoutMargin);
        recordFollowerResult(reply.isSuccess(), peer.name);
        const bool isApplied = reply.isSuccess() && applyUpdates(reply.body, requestedAt, peer.name);
        // Without updates, the services query the primaries themselves and this host watches the store. The pause is
        // needed because a follower that has lost the store answers at once.
        if (!isApplied || !m_sync.hasRecentPeerUpdate())
            co_await sleepFor(m_io, sampleInterval);
    }
}

void PeerService::recordFollowerResult(bool answered, const std::string& peer)
{
    const auto now = BootClock::now();
    if (answered) {
        if (m_followerFailures >= followerFailureThreshold)
            EventLog::info("followers_regained", { { "peer", peer }, { "away_ms", toMs(now - m_followerAnsweredAt) } });
        m_followerFailures = 0;
        m_followerAnsweredAt = now;
        return;
    }
    ++m_followerIndex;
    if (++m_followerFailures != followerFailureThreshold)
        return;
    m_sync.clearPeerUpdate();
    EventLog::warn("followers_lost", { { "peer", peer }, { "last_answer_ms", toMs(now - m_followerAnsweredAt) } });
}

Json PeerService::describeSamples() const
{
    const auto now = BootClock::now();
    Json samples = Json::object();
    for (const auto& [name, service] : m_registry.services()) {
        // Where connections are lent, positions are transferred with the loans.
        if (service->isLent())
            continue;
        if (const auto sample = service->newestSample(now); sample && !sample->primary.empty())
            samples[name] = { { "endpoint", sample->primary }, { "term", sample->position.term }, { "position", sample->position.position }, { "ageMs", sample->age.count() } };
    }
    return samples;
}

std::int64_t PeerService::configVersion() const { return m_registry.config() ? m_registry.config()->version : 0; }

std::string PeerService::knownParameters() const
{
    const auto endpoints = m_sync.endpointRevision();
    return fmt::format("config={}&endpoints={}&era={}", configVersion(), endpoints.number, endpoints.era);
}

Json PeerService::describeUpdates(std::int64_t knownConfig, StoreRevision knownEndpoints) const
{
    const auto silence = std::max(m_sync.configSilence(), m_sync.endpointSilence());
    return { { "samples", describeSamples() }, { "known", m_sync.newerThan(knownConfig, knownEndpoints) }, { "storeSilenceMs", silence.count() } };
}

bool PeerService::applyUpdates(const std::string& body, BootTime requestedAt, const std::string& peer)
{
    try {
        const auto parsed = AnswerMemory::ofProcess().parse(AnswerReader::Peers, body);
        if (!parsed) {
            m_sync.clearPeerUpdate();
            return false;
        }
        const auto& updates = parsed->value;
        if (m_sync.applyFromPeer(updates.at("known"), peer))
            m_sync.recordPeerUpdate(requestedAt, durationOfMessage(updates.at("storeSilenceMs").get<std::int64_t>()));
        else
            m_sync.clearPeerUpdate();
        applySamples(updates.at("samples"), requestedAt);
        return true;
    } catch (const Json::exception&) {
        EventLog::warn("peer_answer_unreadable", { { "peer", peer }, { "call", "news" } });
        return false;
    }
}

void PeerService::applySamples(const Json& samples, BootTime requestedAt)
{
    for (const auto& [name, json] : samples.items()) {
        const PositionSample sample { json.at("endpoint").get<std::string>(), { json.at("term").get<Term>(), json.at("position").get<std::uint64_t>() }, durationOfMessage(json.at("ageMs").get<std::int64_t>()) };
        if (const auto service = m_registry.find(name))
            service->recordPeerSample(sample, requestedAt);
    }
}

bool PeerService::applyState(const std::string& body, const std::string& peer)
{
    try {
        const auto parsed = AnswerMemory::ofProcess().parse(AnswerReader::Peers, body);
        if (!parsed)
            return true; // Without room, which has been logged; the next poll asks again.
        m_sync.applyFromPeer(parsed->value, peer);
        if (parsed->value.contains("hosts"))
            m_hosts.applyFromPeer(parsed->value["hosts"]);
        return true;
    } catch (const Json::exception&) {
        return false;
    }
}

Json PeerService::describeState() const
{
    const auto now = BootClock::now();
    Json services = Json::object();
    for (const auto& [name, service] : m_registry.services()) {
        Json endpoints = Json::object();
        for (const auto& [id, endpoint] : service->endpoints()) {
            const auto views = service->scheduler().endpoints();
            const auto view = views.find(id);
            endpoints[id] = { { "address", endpoint->entry.address.toString() }, { "dataCentre", endpoint->entry.dataCentre }, { "draining", endpoint->entry.isDraining }, { "idle", endpoint->idle.size() }, { "inUse", view == views.end() ? 0 : view->second.inUse }, { "limit", view == views.end() ? 0 : view->second.limit }, { "silenceMs", toMs(now - endpoint->lastAnswer) }, { "failures", endpoint->failures }, { "lagging", endpoint->laggingUntil > now } };
            const auto* pacing = service->pacing();
            if (const auto* pace = pacing == nullptr ? nullptr : pacing->pace(id)) {
                endpoints[id]["pace"] = pace->limit();
                endpoints[id]["fullPace"] = pace->full();
                endpoints[id]["ejected"] = pacing->isEjected(id);
            }
        }
        const auto* sample = service->floorSamples().newest();
        services[name] = { { "primary", service->primary() ? service->lastPrimary() : "" }, { "endpoints", std::move(endpoints) }, { "waiting", service->scheduler().waiting() }, { "positionAgeMs", sample == nullptr ? -1 : toMs(now - sample->takenAt) } };
    }
    Json peers = Json::array();
    for (const auto& peer : m_hosts.peers())
        peers.push_back(peer.name);
    Json accounts = Json::object();
    if (const auto config = m_registry.config()) {
        for (const auto& [name, account] : config->accounts)
            accounts[name] = { { "keys", account.keys.size() }, { "priority", account.priority }, { "ratePerS", account.limit ? Json(account.limit->perSecond) : Json() }, { "burst", account.limit ? Json(account.limit->burst) : Json() } };
    }
    return { { "accounts", std::move(accounts) }, { "rejectedAccounts", m_registry.config() ? m_registry.config()->rejectedAccounts : std::vector<std::string>() }, { "configVersion", m_registry.config() ? m_registry.config()->version : 0 }, { "configSilenceMs", toMs(m_sync.configSilence()) }, { "endpointSilenceMs", toMs(m_sync.endpointSilence()) }, { "endpointRevision", m_sync.endpointRevision().number }, { "storeEra", m_sync.endpointRevision().era }, { "peers", std::move(peers) }, { "services", std::move(services) } };
}

} // namespace kumquatbank
