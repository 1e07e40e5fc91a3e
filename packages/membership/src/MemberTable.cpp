#include "MemberTable.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace kumquatbank {

namespace {

    /// Gossip older than this can no longer be on its way, so the row is not needed to reject it.
    constexpr std::chrono::minutes deadRetention { 10 };
    /// Piggybacking reaches everyone within 3*log2(n) rounds with two messages a second.
    constexpr std::chrono::seconds settleTime { 20 };
    constexpr std::size_t smallPlace = 32; ///< A row by row comparison stays below 600 bytes.
    constexpr std::size_t updatesPerMessage = 32; ///< 544 bytes.
    constexpr std::size_t updatesPerBurstMessage = 100;
    constexpr std::size_t burstBacklog = 200; ///< Only after a split or the loss of a data centre.
    constexpr std::size_t maxContested = 512;
    /// A whole second suspicion after a peer's Dead claim would exceed the 5 s within which a death is known.
    constexpr int claimedDeadDivisor = 4;
    constexpr std::chrono::seconds maxExpireGap { 1 }; ///< A probe that waits for its timeout takes 0.5 s.

    int stateOrder(MemberState state) { return static_cast<int>(state); }

    bool isNewer(const Member& claim, const Member& held)
    {
        if (claim.identity.incarnation != held.identity.incarnation)
            return claim.identity.incarnation > held.identity.incarnation;
        return stateOrder(claim.state) > stateOrder(held.state);
    }

    /// Alive and Suspect hash alike: suspicions end by themselves and need no repair.
    std::uint64_t hashOfRow(const Member& member)
    {
        const std::string address = member.identity.address.toString();
        const std::uint64_t seed = member.identity.incarnation * 2 + (member.state == MemberState::Leaving ? 1 : 0);
        return XXH3_64bits_withSeed(address.data(), address.size(), seed);
    }

} // namespace

MemberTable::MemberTable(HostIdentity self, Milliseconds suspicionTime)
    : m_selfAddress(self.address)
    , m_suspicionTime(suspicionTime)
    , m_random(hashOfRow({ self, MemberState::Alive }))
{
    store({ std::move(self), MemberState::Alive }, Clock::now());
}

HostIdentity MemberTable::self() const { return selfRow().identity; }

Member MemberTable::selfRow() const
{
    const std::lock_guard lock(m_mutex);
    return m_rows.at(m_selfAddress).member;
}

void MemberTable::merge(std::span<const Member> rows, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (const Member& claim : rows)
        mergeOne(claim, now);
}

void MemberTable::mergeOne(const Member& claim, TimePoint now)
{
    if (claim.identity.address == m_selfAddress) {
        refute(claim, now);
        return;
    }
    const auto it = m_rows.find(claim.identity.address);
    if (it == m_rows.end()) {
        // An unknown dead row is of no use, and taking it over would let it circulate for ever.
        if (claim.state != MemberState::Dead)
            store(claim, now);
        return;
    }
    const Member held = it->second.member;
    const bool isSameRun = claim.identity.incarnation == held.identity.incarnation;
    const bool isDeadClaim = claim.state == MemberState::Dead;
    if (isSameRun && (held.state == MemberState::Dead) != isDeadClaim
        && (held.state == MemberState::Dead || held.state == MemberState::Alive)) {
        if (m_contested.size() < maxContested)
            m_contested.insert_or_assign(claim.identity.address, isDeadClaim ? claim : held);
        return;
    }
    if (!isNewer(claim, held))
        return;
    const bool skipsSuspicion = isDeadClaim && !isSameRun && held.state != MemberState::Dead;
    store({ claim.identity, skipsSuspicion ? MemberState::Suspect : claim.state }, now);
}

void MemberTable::refute(const Member& claim, TimePoint now)
{
    const Member& held = m_rows.at(m_selfAddress).member;
    if (!isNewer(claim, held))
        return;
    Member next = held;
    next.identity.incarnation = claim.identity.incarnation + 1;
    store(next, now);
}

void MemberTable::store(const Member& member, TimePoint now)
{
    const auto it = m_rows.find(member.identity.address);
    if (it != m_rows.end())
        count(it->second.member, -1, now);
    count(member, 1, now);
    m_rows.insert_or_assign(member.identity.address, Row { member, now });
    m_contested.erase(member.identity.address);
    m_updates.add(member.identity.address);
    ++m_version;
}

void MemberTable::count(const Member& member, int sign, TimePoint now)
{
    if (member.state == MemberState::Dead)
        return;
    Place& place = m_places[member.identity.place];
    place.rowCount = static_cast<std::uint16_t>(place.rowCount + sign);
    place.digest ^= hashOfRow(member);
    place.lastChange = now;
    m_liveCount = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(m_liveCount) + sign);
}

void MemberTable::suspect(const HostAddress& address, std::uint64_t incarnation, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    startSuspicion(address, incarnation, now);
}

void MemberTable::suspectClaimedDead(const HostAddress& address, std::uint64_t incarnation, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (startSuspicion(address, incarnation, now))
        m_rows.at(address).isClaimedDead = true;
}

bool MemberTable::startSuspicion(const HostAddress& address, std::uint64_t incarnation, TimePoint now)
{
    const auto it = m_rows.find(address);
    if (address == m_selfAddress || it == m_rows.end() || it->second.member.identity.incarnation != incarnation)
        return false;
    Member next = it->second.member;
    if (next.state == MemberState::Suspect || next.state == MemberState::Dead)
        return false;
    next.state = next.state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect;
    store(next, now);
    return true;
}

Milliseconds MemberTable::scaledSuspicionTime() const
{
    const double factor = std::max(1.0, std::log2(static_cast<double>(m_liveCount)) / 4);
    return std::chrono::duration_cast<Milliseconds>(m_suspicionTime * factor);
}

void MemberTable::expire(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_lastExpire && now - *m_lastExpire > maxExpireGap) {
        LOG4CXX_INFO(partLogger("membership"), "no expiry for more than a second: suspicions start again");
        restartAll(now);
    }
    m_lastExpire = now;
    std::vector<Member> dead;
    const Milliseconds limit = scaledSuspicionTime();
    for (const auto& [address, row] : m_rows) {
        const Milliseconds ownLimit = row.isClaimedDead ? limit / claimedDeadDivisor : limit;
        if (row.member.state == MemberState::Suspect && now - row.since >= ownLimit)
            dead.push_back({ row.member.identity, MemberState::Dead });
    }
    for (const Member& member : dead)
        store(member, now);
    const auto isForgotten = [&](const auto& it) {
        return it.second.member.state == MemberState::Dead && now - it.second.since >= deadRetention;
    };
    if (std::erase_if(m_rows, isForgotten) > 0)
        ++m_version;
}

void MemberTable::restartSuspicions(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    restartAll(now);
}

void MemberTable::restartAll(TimePoint now)
{
    for (auto& [address, row] : m_rows) {
        if (row.member.state == MemberState::Suspect)
            row.since = now;
    }
}

void MemberTable::announceLeaving()
{
    const std::lock_guard lock(m_mutex);
    Member next = m_rows.at(m_selfAddress).member;
    if (next.state == MemberState::Leaving)
        return;
    ++next.identity.incarnation;
    next.state = MemberState::Leaving;
    store(next, Clock::now());
}

std::optional<Member> MemberTable::find(const HostAddress& address) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find(address);
    if (it == m_rows.end())
        return std::nullopt;
    return it->second.member;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members = allRows();
    std::erase_if(members, [](const Member& it) { return it.state == MemberState::Dead; });
    return members;
}

std::vector<HostAddress> MemberTable::peers(MemberState state) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<HostAddress> addresses;
    for (const auto& [address, row] : m_rows) {
        if (row.member.state == state && address != m_selfAddress)
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<HostAddress> MemberTable::livePeers(const std::string& place) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<HostAddress> addresses;
    for (const auto& [address, row] : m_rows) {
        const bool isInPlace = place.empty() || row.member.identity.place == place;
        if (isInPlace && row.member.state != MemberState::Dead && address != m_selfAddress)
            addresses.push_back(address);
    }
    return addresses;
}

std::size_t MemberTable::liveCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_liveCount;
}

std::uint64_t MemberTable::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

std::size_t MemberTable::pendingUpdates() const
{
    const std::lock_guard lock(m_mutex);
    return m_updates.size();
}

std::vector<Member> MemberTable::takeUpdates()
{
    const std::lock_guard lock(m_mutex);
    const auto rounds = std::ceil(std::log2(static_cast<double>(m_liveCount + 1)));
    const std::size_t count = m_updates.size() > burstBacklog ? updatesPerBurstMessage : updatesPerMessage;
    std::vector<Member> rows;
    for (const HostAddress& address : m_updates.take(count, static_cast<unsigned>(3 * rounds))) {
        const auto it = m_rows.find(address);
        if (it != m_rows.end())
            rows.push_back(it->second.member);
    }
    return rows;
}

std::vector<PlaceDigest> MemberTable::digests() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<PlaceDigest> digests;
    for (const auto& [name, place] : m_places) {
        if (place.rowCount > 0)
            digests.push_back({ hashOfPlace(name), place.rowCount, place.digest });
    }
    return digests;
}

std::optional<std::uint64_t> MemberTable::differingPlace(std::span<const PlaceDigest> theirs, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::uint64_t, PlaceDigest> unmatched;
    for (const PlaceDigest& it : theirs)
        unmatched[it.placeHash] = it;
    std::vector<std::uint64_t> differing;
    for (const auto& [name, place] : m_places) {
        const std::uint64_t hash = hashOfPlace(name);
        const PlaceDigest peer = unmatched[hash];
        unmatched.erase(hash);
        if (peer.digest == place.digest && peer.rowCount == place.rowCount)
            continue;
        const std::size_t larger = std::max(peer.rowCount, place.rowCount);
        const std::size_t missing = larger - std::min(peer.rowCount, place.rowCount);
        const bool isSettled = now - place.lastChange >= settleTime;
        if (isSettled || larger <= smallPlace || missing > larger / 10)
            differing.push_back(hash);
    }
    for (const auto& [hash, peer] : unmatched)
        differing.push_back(hash);
    if (differing.empty())
        return std::nullopt;
    return differing[m_random() % differing.size()];
}

std::vector<Member> MemberTable::rowsOf(std::uint64_t placeHash) const
{
    std::vector<Member> rows = allRows();
    std::erase_if(rows, [&](const Member& it) { return hashOfPlace(it.identity.place) != placeHash; });
    return rows;
}

std::vector<Member> MemberTable::allRows() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Member> rows;
    rows.reserve(m_rows.size());
    for (const auto& [address, row] : m_rows)
        rows.push_back(row.member);
    return rows;
}

std::vector<Member> MemberTable::newerRows(std::uint64_t placeHash, std::span<const Member> theirs) const
{
    std::map<HostAddress, Member> peer;
    for (const Member& it : theirs)
        peer.emplace(it.identity.address, it);
    std::vector<Member> rows = rowsOf(placeHash);
    std::erase_if(rows, [&](const Member& own) {
        const auto it = peer.find(own.identity.address);
        return it == peer.end() ? own.state == MemberState::Dead : !isNewer(own, it->second);
    });
    return rows;
}

std::vector<Member> MemberTable::takeContested(std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Member> taken;
    for (const auto& [address, claim] : m_contested)
        taken.push_back(claim);
    std::ranges::shuffle(taken, m_random);
    if (taken.size() > count)
        taken.erase(taken.begin() + static_cast<std::ptrdiff_t>(count), taken.end());
    for (const Member& it : taken)
        m_contested.erase(it.identity.address);
    return taken;
}

} // namespace kumquatbank
