#include "ProbeQueue.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr Milliseconds wakeInterval { 100 };
    constexpr std::size_t helperCount = 2;
    /// By regular rounds alone a suspicion reached some of 8 processes only after it had ended.
    constexpr std::size_t suspicionFanout = 8;
    constexpr std::size_t maxWaiting = 64; ///< Peers that still do not answer are found again by later rounds.
    constexpr int contestedPerRound = 5; ///< 2.5 KB a second, only after a split.
    /// A check that takes this much longer than its timeout means that this process was paused.
    constexpr Milliseconds pauseMargin { 400 };
    constexpr int minLostRounds = 5;
    constexpr int maxLostRounds = 60;

} // namespace

ProbeQueue::ProbeQueue(MemberTable& table, Gossip& gossip, PeerCaller& caller, std::vector<HostAddress> seeds,
    Milliseconds gossipInterval, Milliseconds probeTimeout)
    : m_table(table)
    , m_gossip(gossip)
    , m_caller(caller)
    , m_seeds(std::move(seeds))
    , m_gossipInterval(gossipInterval)
    , m_probeTimeout(probeTimeout)
    , m_selector(table)
    , m_lastLostAsk(Clock::now())
    , m_random(std::hash<std::string>()(table.self().address.toString()) + 1)
{
}

void ProbeQueue::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void ProbeQueue::stop() { m_thread = {}; }

void ProbeQueue::confirm(const HostAddress& peer)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_waiting.size() >= maxWaiting || std::ranges::find(m_waiting, peer) != m_waiting.end())
            return;
        m_waiting.push_back(peer);
    }
    m_wake.notify_all();
}

void ProbeQueue::setListedHosts(std::vector<HostAddress> hosts)
{
    const std::lock_guard lock(m_mutex);
    m_listedHosts = std::move(hosts);
}

void ProbeQueue::forgiveAll(TimePoint now)
{
    ++m_pauses;
    LOG4CXX_INFO(partLogger("membership"), "this process was paused: suspicions start again");
    m_table.restartSuspicions(now);
    const std::lock_guard lock(m_mutex);
    m_waiting.clear();
}

void ProbeQueue::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        const auto peer = takeConfirm(stop);
        m_table.expire(Clock::now());
        if (peer) {
            check(*peer);
            continue;
        }
        // Each step may wait for its timeout; expire() takes the sum of them for a pause of this process.
        askSuspects();
        m_table.expire(Clock::now());
        askContested();
        m_table.expire(Clock::now());
        askLost(Clock::now());
    }
}

std::optional<HostAddress> ProbeQueue::takeConfirm(const std::stop_token& stop)
{
    std::unique_lock lock(m_mutex);
    if (!m_wake.wait_for(lock, stop, wakeInterval, [this] { return !m_waiting.empty(); }))
        return std::nullopt;
    const HostAddress peer = m_waiting.front();
    m_waiting.erase(m_waiting.begin());
    return peer;
}

std::optional<Member> ProbeQueue::findUnreachable(const HostAddress& peer)
{
    const auto row = m_table.find(peer);
    if (!row || row->state == MemberState::Dead || row->state == MemberState::Suspect)
        return std::nullopt;
    const std::uint64_t pauses = m_pauses;
    const TimePoint start = Clock::now();
    std::atomic<bool> isReachable { false };
    std::vector<HostAddress> askers = m_selector.randomPeers(helperCount, peer);
    askers.push_back(peer);
    PeerCaller::forEach(askers, [&](const HostAddress& asker) {
        const bool isReached = asker == peer ? m_caller.ping(peer, m_probeTimeout)
                                             : m_caller.pingThrough(asker, peer, m_probeTimeout);
        if (isReached)
            isReachable = true;
    });
    const TimePoint now = Clock::now();
    if (isReachable || pauses != m_pauses || now - start > m_probeTimeout + pauseMargin)
        return std::nullopt;
    LOG4CXX_INFO(partLogger("membership"), "no answer from " << peer.toString() << " directly or through peers");
    return row;
}

void ProbeQueue::check(const HostAddress& peer)
{
    const auto row = findUnreachable(peer);
    if (!row)
        return;
    m_table.suspect(peer, row->identity.incarnation, Clock::now());
    m_suspects.insert(peer);
    spreadSuspicion(peer);
}

void ProbeQueue::spreadSuspicion(const HostAddress& suspect)
{
    PeerCaller::forEach(m_selector.randomPeers(suspicionFanout, suspect),
        [this](const HostAddress& it) { m_gossip.exchangeWith(it, m_probeTimeout); });
}

void ProbeQueue::checkClaim(const Member& claim)
{
    const HostAddress& peer = claim.identity.address;
    if (m_gossip.exchangeWith(peer, m_probeTimeout, claim))
        return;
    m_table.expire(Clock::now());
    const auto row = findUnreachable(peer);
    if (!row)
        return;
    // A claim about a former run says nothing of this one.
    if (row->identity.incarnation == claim.identity.incarnation)
        m_table.suspectClaimedDead(peer, row->identity.incarnation, Clock::now());
    else
        m_table.suspect(peer, row->identity.incarnation, Clock::now());
    m_suspects.insert(peer);
}

void ProbeQueue::askSuspects()
{
    const TimePoint now = Clock::now();
    if (now < m_nextSuspectAsk)
        return;
    m_nextSuspectAsk = now + m_gossipInterval / 2;
    std::erase_if(m_suspects, [this](const HostAddress& it) {
        const auto row = m_table.find(it);
        return !row || row->state != MemberState::Suspect;
    });
    if (m_suspects.empty())
        return;
    auto it = m_suspects.begin();
    std::advance(it, m_random() % m_suspects.size());
    m_gossip.exchangeWith(*it, m_probeTimeout);
}

void ProbeQueue::askContested()
{
    const TimePoint now = Clock::now();
    if (now < m_nextContestedAsk)
        return;
    m_nextContestedAsk = now + m_gossipInterval / contestedPerRound;
    for (const Member& claim : m_table.takeContested(1))
        checkClaim(claim);
}

Milliseconds ProbeQueue::lostInterval() const
{
    const auto rounds = std::clamp(static_cast<int>(m_table.liveCount()), minLostRounds, maxLostRounds);
    return m_gossipInterval * rounds;
}

void ProbeQueue::askLost(TimePoint now)
{
    if (now - m_lastLostAsk < lostInterval())
        return;
    m_lastLostAsk = now;
    std::vector<HostAddress> lost = m_table.peers(MemberState::Dead);
    const auto isUnknown = [this](const HostAddress& it) { return !m_table.find(it); };
    std::ranges::copy_if(m_seeds, std::back_inserter(lost), isUnknown);
    {
        const std::lock_guard lock(m_mutex);
        std::ranges::copy_if(m_listedHosts, std::back_inserter(lost), isUnknown);
    }
    if (!lost.empty())
        m_gossip.exchangeWith(lost[m_random() % lost.size()], m_probeTimeout);
}

} // namespace kumquatbank
