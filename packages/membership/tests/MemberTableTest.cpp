#include "MemberTable.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(MemberTable)
{
    const HostIdentity self { { "127.0.0.1", 100 }, 5, "a" };
    const HostAddress other { "127.0.0.1", 101 };
    const TimePoint start = Clock::now();
    MemberTable table { self, Milliseconds(2000) };

    static Member row(const HostAddress& address, std::uint64_t incarnation, MemberState state)
    {
        return { { address, incarnation, "a" }, state };
    }

    void merge(const Member& member, TimePoint now) { table.merge(std::vector<Member> { member }, now); }
    MemberState stateOf(const HostAddress& address) { return table.find(address)->state; }

    void makeDead(TimePoint now)
    {
        merge(row(other, 1, MemberState::Suspect), now);
        merge(row(other, 1, MemberState::Dead), now);
    }
};

// Guards against a live process being removed by a suspicion that it could have refuted.
TEST(MemberTable, RefutesClaimsAboutItself)
{
    merge(row(self.address, 5, MemberState::Suspect), start);
    CHECK_EQUAL(6, table.self().incarnation);
    merge(row(self.address, 8, MemberState::Dead), start);
    CHECK_EQUAL(9, table.self().incarnation);
    CHECK_TRUE(table.selfRow().state == MemberState::Alive);
    // An older claim needs no answer.
    merge(row(self.address, 7, MemberState::Dead), start);
    CHECK_EQUAL(9, table.self().incarnation);
}

// Guards against a late message undoing a refutation or a death.
TEST(MemberTable, NeverMovesBack)
{
    merge(row(other, 2, MemberState::Alive), start);
    merge(row(other, 1, MemberState::Dead), start);
    CHECK_TRUE(stateOf(other) == MemberState::Alive);
    merge(row(other, 2, MemberState::Suspect), start);
    merge(row(other, 2, MemberState::Alive), start);
    CHECK_TRUE(stateOf(other) == MemberState::Suspect);
    merge(row(other, 3, MemberState::Alive), start);
    CHECK_TRUE(stateOf(other) == MemberState::Alive);
}

// Guards against a suspicion that never ends, or ends before the process could refute it.
TEST(MemberTable, SuspicionEndsInDeathAfterItsTime)
{
    merge(row(other, 1, MemberState::Alive), start);
    table.suspect(other, 1, start);
    for (Milliseconds at { 0 }; at < Milliseconds(2000); at += Milliseconds(500)) {
        table.expire(start + at);
        CHECK_TRUE(stateOf(other) == MemberState::Suspect);
    }
    table.expire(start + Milliseconds(2000));
    CHECK_TRUE(stateOf(other) == MemberState::Dead);
}

// Guards against a second whole suspicion after a peer's Dead claim, against one that leaves no time to refute,
// and against a restart or refutation that inherits the shorter time.
TEST(MemberTable, ConfirmedDeadClaimShortensSuspicion)
{
    merge(row(other, 1, MemberState::Alive), start);
    table.suspectClaimedDead(other, 2, start);
    CHECK_TRUE(stateOf(other) == MemberState::Alive);
    table.suspectClaimedDead(other, 1, start);
    table.expire(start + Milliseconds(499));
    CHECK_TRUE(stateOf(other) == MemberState::Suspect);
    table.expire(start + Milliseconds(500));
    CHECK_TRUE(stateOf(other) == MemberState::Dead);
    merge(row(other, 2, MemberState::Alive), start + Milliseconds(600));
    table.suspect(other, 2, start + Milliseconds(600));
    table.expire(start + Milliseconds(1500));
    CHECK_TRUE(stateOf(other) == MemberState::Suspect);
}

// Guards against a paused process that declares the others dead when it wakes, before their refutations arrive.
TEST(MemberTable, PauseRestartsSuspicions)
{
    merge(row(other, 1, MemberState::Alive), start);
    table.expire(start);
    table.suspect(other, 1, start);
    table.expire(start + seconds(30));
    CHECK_TRUE(stateOf(other) == MemberState::Suspect);
}

// Guards against a failed probe of an old run being counted against the process restarted since.
TEST(MemberTable, SuspicionNamesOneIncarnation)
{
    merge(row(other, 7, MemberState::Alive), start);
    table.suspect(other, 6, start);
    CHECK_TRUE(stateOf(other) == MemberState::Alive);
}

// Guards against stale gossip that brings a dead process back, and against dead rows kept for ever.
TEST(MemberTable, KeepsDeadRowsForTenMinutes)
{
    makeDead(start);
    merge(row(other, 1, MemberState::Alive), start + minutes(9));
    CHECK_TRUE(stateOf(other) == MemberState::Dead);
    table.expire(start + minutes(11));
    CHECK_FALSE(table.find(other).has_value());
    // A peer that still remembers it must not hand the dead row back.
    merge(row(other, 1, MemberState::Dead), start + minutes(11));
    CHECK_FALSE(table.find(other).has_value());
}

// Guards against a restarted process being kept out by the death of its former run.
TEST(MemberTable, RestartedProcessReplacesItsRow)
{
    makeDead(start);
    merge({ { other, 2, "b" }, MemberState::Alive }, start);
    CHECK_TRUE(stateOf(other) == MemberState::Alive);
    STRCMP_EQUAL("b", table.find(other)->identity.place.c_str());
    CHECK_EQUAL(2, table.liveCount());
    CHECK_EQUAL(1, table.livePeers("b").size());
    CHECK_TRUE(table.livePeers("a").empty());
}

// Guards against two healed halves that declare each other's whole side dead when they first meet.
TEST(MemberTable, DeadClaimAboutLiveRowOnlyContestsIt)
{
    merge(row(other, 1, MemberState::Alive), start);
    merge(row(other, 1, MemberState::Dead), start);
    CHECK_TRUE(stateOf(other) == MemberState::Alive);
    const std::vector<Member> contested = table.takeContested(5);
    CHECK_EQUAL(1, contested.size());
    CHECK_TRUE(contested.front().state == MemberState::Dead);
    CHECK_TRUE(table.takeContested(5).empty());
    // The reverse: a live claim about a dead row is checked, too.
    table.suspect(other, 1, start);
    merge(row(other, 1, MemberState::Dead), start);
    merge(row(other, 1, MemberState::Alive), start);
    CHECK_TRUE(stateOf(other) == MemberState::Dead);
    CHECK_EQUAL(1, table.takeContested(5).size());
}

// Guards against a leaving process that gets new work from peers that missed the announcement or suspect it.
TEST(MemberTable, LeavingOutlivesRefutation)
{
    table.announceLeaving();
    CHECK_EQUAL(6, table.self().incarnation);
    merge(row(self.address, 6, MemberState::Dead), start);
    CHECK_TRUE(table.selfRow().state == MemberState::Leaving);
    CHECK_EQUAL(7, table.self().incarnation);
}

// Guards against digests that differ for equal tables (endless repair) or agree for different ones (no repair).
TEST(MemberTable, DigestsComparePlaces)
{
    MemberTable peer({ other, 1, "a" }, Milliseconds(2000));
    peer.merge(std::vector<Member> { table.selfRow() }, start);
    CHECK_TRUE(table.differingPlace(peer.digests(), start).has_value());
    merge(peer.selfRow(), start);
    CHECK_FALSE(table.differingPlace(peer.digests(), start).has_value());
    // A suspicion ends by itself.
    table.suspect(other, 1, start);
    CHECK_FALSE(table.differingPlace(peer.digests(), start).has_value());
    peer.announceLeaving();
    CHECK_TRUE(table.differingPlace(peer.digests(), start).has_value());
    CHECK_EQUAL(1, peer.newerRows(hashOfPlace("a"), table.rowsOf(hashOfPlace("a"))).size());
    CHECK_TRUE(table.newerRows(hashOfPlace("a"), peer.rowsOf(hashOfPlace("a"))).empty());
}

// Guards against updates that are sent for ever (cost) or dropped before they can have spread.
TEST(MemberTable, PiggybacksEachUpdateABoundedNumberOfTimes)
{
    for (std::uint16_t n = 0; n < 7; ++n)
        merge(row({ "127.0.0.1", static_cast<std::uint16_t>(200 + n) }, 1, MemberState::Alive), start);
    int sends = 0;
    for (std::size_t rows = table.takeUpdates().size(); rows > 0; rows = table.takeUpdates().size()) {
        CHECK_EQUAL(8, rows);
        ++sends;
    }
    CHECK_EQUAL(12, sends); // 3 * ceil(log2(9))
}

// Guards against rows that change on their way, and against a malformed message that is half applied.
TEST(MemberTable, PacksRows)
{
    const std::vector<Member> rows { row(other, 1ULL << 50, MemberState::Leaving),
        { { { "::1", 65535 }, 3, "hou-a" }, MemberState::Dead } };
    const nlohmann::json packed = packRows(rows);
    const std::vector<Member> unpacked = unpackRows(packed);
    CHECK_EQUAL(2, unpacked.size());
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK_TRUE(unpacked[i].identity == rows[i].identity);
        CHECK_TRUE(unpacked[i].state == rows[i].state);
    }
    auto bytes = packed.get_binary();
    bytes.pop_back();
    CHECK_THROWS(std::invalid_argument, unpackRows(nlohmann::json::binary(bytes)));
    CHECK_THROWS(std::invalid_argument, unpackRows("text"));
}
