#include "kumquatbank/membership/Membership.h"

#include "CatalogueRelay.h"
#include "FailureDetector.h"
#include "HolderRanking.h"
#include "Joiner.h"
#include "kumquatbank/membership/Placement.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr std::size_t leavingFanout = 8; ///< Peers that hear of a shutdown at once.
    constexpr std::size_t maxCandidates = 8; ///< A request tries three; the rest covers several deaths at once.

    std::string_view stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return "alive";
        case MemberState::Suspect:
            return "suspect";
        case MemberState::Leaving:
            return "leaving";
        case MemberState::Dead:
            return "dead";
        }
        return "dead";
    }

} // namespace

class Membership::Impl {
public:
    Impl(MembershipOptions options, Catalogue& catalogue, PeerClient& peers, PlatformClient& platform)
        : m_options(std::move(options))
        , m_catalogue(catalogue)
        , m_platform(platform)
        , m_table(m_options.self, m_options.suspicionTime)
        , m_caller(peers, m_table)
        , m_parts(catalogue, m_options.maxMessageBytes)
        , m_reader(catalogue, m_table, m_caller)
        , m_pusher(catalogue, m_table, m_caller, m_reader, m_parts, m_options.pushFanout)
        , m_gossip(m_table, m_notices, m_caller, m_pusher, m_reader, m_parts)
        , m_probes(m_table, m_gossip, m_caller, m_options.seeds, m_options.gossipInterval, m_options.probeTimeout)
        , m_detector(m_table, m_gossip, m_caller, m_probes, m_options.gossipInterval, m_options.probeTimeout)
        , m_joiner(m_reader, m_options.seeds, m_options.self)
        , m_relay(catalogue, m_reader, m_notices, m_probes, platform, m_options.watchTime, m_options.hostListInterval,
              [this] { return m_joiner.hasTriedSeeds() && isRelay(); })
    {
    }

    void start()
    {
        m_reader.start();
        m_pusher.start();
        m_probes.start();
        m_detector.start();
        m_joiner.start();
        m_relay.start();
    }

    void stop()
    {
        m_relay.stop();
        m_joiner.stop();
        m_detector.stop();
        m_probes.stop();
        m_pusher.stop();
        m_reader.stop();
    }

    nlohmann::json handle(const PeerMessage& message)
    {
        m_caller.countReceived();
        try {
            switch (message.type) {
            case PeerMessageType::Exchange:
                return m_gossip.answer(message);
            case PeerMessageType::CataloguePush:
                return m_pusher.answer(message);
            case PeerMessageType::IndirectProbe:
                return m_caller.answerProbe(message.body);
            case PeerMessageType::Snapshot:
                return answerSnapshot(message);
            case PeerMessageType::Forward:
            case PeerMessageType::Ping:
            case PeerMessageType::Inspect:
                break;
            }
            return { { "error", "not a membership message" } };
        } catch (const std::exception& ex) {
            LOG4CXX_WARN(partLogger("membership"),
                "bad message from " << message.from.address.toString() << ": " << ex.what());
            return { { "error", ex.what() } };
        }
    }

    void announceLeaving()
    {
        m_table.announceLeaving();
        PeerSelector selector(m_table);
        PeerCaller::forEach(selector.randomPeers(leavingFanout, m_options.self.address),
            [this](const HostAddress& peer) { m_gossip.exchangeWith(peer, m_options.probeTimeout); });
    }

    void reportUnreachable(const HostAddress& address) { m_probes.confirm(address); }
    bool isSynchronized() const { return m_reader.isSynchronized(); }
    std::vector<Member> members() const { return m_table.members(); }
    bool isEndpointLeaving(const HostAddress& endpoint) const { return m_notices.contains(endpoint); }

    std::vector<HostIdentity> holderCandidates(const DatabaseDefinition& database) const
    {
        return ranking()->candidates(database, maxCandidates);
    }

    bool hasHosts(const std::string& place) const { return ranking()->hasHosts(place); }

    std::uint64_t version() const { return m_table.version(); }

    nlohmann::json state() const
    {
        nlohmann::json members = nlohmann::json::array();
        for (const Member& it : m_table.allRows()) {
            members.push_back({ { "host", it.identity.address.toString() }, { "place", it.identity.place },
                { "incarnation", it.identity.incarnation }, { "state", stateName(it.state) } });
        }
        nlohmann::json relayHosts = nlohmann::json::array();
        for (const HostIdentity& it : relays())
            relayHosts.push_back(it.address.toString());
        return { { "members", std::move(members) }, { "live", m_table.liveCount() }, { "relays", std::move(relayHosts) },
            { "isRelay", isRelay() }, { "isSynchronized", isSynchronized() },
            { "catalogueRevision", m_catalogue.revision() }, { "leavingEndpoints", m_notices.size() },
            { "leavingRevision", m_notices.revision() }, { "pendingUpdates", m_table.pendingUpdates() },
            { "controlBytes", m_caller.controlBytes() }, { "messagesPerSecond", m_detector.messagesPerSecond() },
            { "messages", m_caller.messageCount() }, { "platformCalls", m_platform.callCount() } };
    }

private:
    /// Ranking of the present member table, made anew when the table has changed.
    std::shared_ptr<const HolderRanking> ranking() const
    {
        const std::lock_guard lock(m_rankingMutex);
        if (const auto version = m_table.version(); !m_ranking || version != m_rankedVersion) {
            m_ranking = std::make_shared<const HolderRanking>(m_table.members());
            m_rankedVersion = version;
        }
        return m_ranking;
    }

    std::vector<HostIdentity> relays() const
    {
        return relaysOf(m_options.self.place, m_table.members(), m_options.relaysPerPlace);
    }

    bool isRelay() const
    {
        return std::ranges::any_of(
            relays(), [this](const HostIdentity& it) { return it.address == m_options.self.address; });
    }

    nlohmann::json answerSnapshot(const PeerMessage& message)
    {
        const nlohmann::json& body = message.body;
        nlohmann::json answer;
        if (isSynchronized())
            answer = m_parts.part(
                body.at("revision").get<std::uint64_t>(), body.at("cursor").get<std::uint64_t>());
        answer["isSynchronized"] = isSynchronized();
        if (body.contains("rows")) {
            m_table.merge(unpackRows(body.at("rows")), Clock::now());
            answer["rows"] = packRows(m_table.allRows());
        }
        return answer;
    }

    const MembershipOptions m_options;
    Catalogue& m_catalogue;
    PlatformClient& m_platform;
    MemberTable m_table;
    LeavingNotices m_notices;
    PeerCaller m_caller;
    CatalogueParts m_parts;
    CatalogueReader m_reader;
    CataloguePusher m_pusher;
    Gossip m_gossip;
    ProbeQueue m_probes;
    FailureDetector m_detector;
    Joiner m_joiner;
    CatalogueRelay m_relay;
    mutable std::mutex m_rankingMutex;
    mutable std::uint64_t m_rankedVersion = 0;
    mutable std::shared_ptr<const HolderRanking> m_ranking;
};

Membership::Membership(
    MembershipOptions options, Catalogue& catalogue, PeerClient& peers, PlatformClient& platform)
    : m_impl(std::make_unique<Impl>(std::move(options), catalogue, peers, platform))
{
}

Membership::~Membership() { stop(); }

void Membership::start() { m_impl->start(); }

void Membership::stop() { m_impl->stop(); }

nlohmann::json Membership::handle(const PeerMessage& message) { return m_impl->handle(message); }

void Membership::announceLeaving() { m_impl->announceLeaving(); }

void Membership::reportUnreachable(const HostAddress& address) { m_impl->reportUnreachable(address); }

bool Membership::isSynchronized() const { return m_impl->isSynchronized(); }

std::vector<Member> Membership::members() const { return m_impl->members(); }

std::vector<HostIdentity> Membership::holderCandidates(const DatabaseDefinition& database) const
{
    return m_impl->holderCandidates(database);
}

bool Membership::hasHosts(const std::string& place) const { return m_impl->hasHosts(place); }

std::uint64_t Membership::version() const { return m_impl->version(); }

bool Membership::isEndpointLeaving(const HostAddress& endpoint) const
{
    return m_impl->isEndpointLeaving(endpoint);
}

nlohmann::json Membership::state() const { return m_impl->state(); }

} // namespace kumquatbank
