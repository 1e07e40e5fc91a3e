#include "kumquatbank/membership/Placement.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <random>

using namespace kumquatbank;

TEST_GROUP(Placement)
{
    DatabaseDefinition database;
    std::vector<Member> members;

    void setup() override
    {
        database.name = "zapisnik-1-a";
        database.slots = { { 0, { "127.0.0.1", 1 }, "b" } };
        for (std::uint16_t n = 0; n < 30; ++n)
            members.push_back({ { { "10.0.0.1", n }, 1, std::string(1, static_cast<char>('a' + n % 3)) },
                MemberState::Alive });
    }
};

// Guards against two processes that both believe to be the holder because they list the members differently.
TEST(Placement, OrderDependsOnMembersOnly)
{
    const auto expected = holderCandidates(database, members);
    std::mt19937 random(7);
    std::ranges::shuffle(members, random);
    for (Member& it : members)
        it.identity.incarnation += random() % 5;
    members[3].state = MemberState::Suspect;
    const auto shuffled = holderCandidates(database, members);
    CHECK_EQUAL(30, shuffled.size());
    CHECK_TRUE(std::ranges::equal(expected, shuffled, {}, &HostIdentity::address, &HostIdentity::address));
}

// Guards against statements that cross regions while a host stands beside the primary's home.
TEST(Placement, HomePlaceComesFirst)
{
    const auto hosts = holderCandidates(database, members);
    CHECK_TRUE(std::ranges::all_of(
        hosts.begin(), hosts.begin() + 10, [](const HostIdentity& it) { return it.place == "b"; }));
    CHECK_TRUE(std::ranges::none_of(
        hosts.begin() + 10, hosts.end(), [](const HostIdentity& it) { return it.place == "b"; }));
}

// Guards against new work for processes that leave or are gone, and against moves of the databases of others.
TEST(Placement, OnlyTheDatabasesOfALostHostMove)
{
    int moved = 0;
    for (int n = 0; n < 300; ++n) {
        database.name = "db-" + std::to_string(n);
        std::vector<Member> rest = members;
        rest[1].state = MemberState::Leaving;
        const auto before = holderCandidates(database, members);
        const auto after = holderCandidates(database, rest);
        CHECK_EQUAL(29, after.size());
        const bool isMoved = before.front().address != after.front().address;
        CHECK_EQUAL(before.front().address == members[1].identity.address, isMoved);
        moved += isMoved ? 1 : 0;
    }
    CHECK_TRUE(moved > 10 && moved < 60); // About a tenth: ten hosts stand in the home place.
}

// Guards against databases that pile up on few hosts.
TEST(Placement, SpreadsDatabases)
{
    std::map<HostAddress, int> counts;
    for (int n = 0; n < 1000; ++n) {
        database.name = "db-" + std::to_string(n);
        ++counts[holderCandidates(database, members).front().address];
    }
    CHECK_EQUAL(10, counts.size());
    CHECK_TRUE(std::ranges::all_of(counts, [](const auto& it) { return it.second > 60 && it.second < 150; }));
}

// Guards against more watchers of the platform than its call budget allows, or none.
TEST(Placement, NamesTwoRelaysPerPlace)
{
    const auto relays = relaysOf("a", members, 2);
    CHECK_EQUAL(2, relays.size());
    CHECK_TRUE(std::ranges::all_of(relays, [](const HostIdentity& it) { return it.place == "a"; }));
    std::erase_if(members, [&](const Member& it) { return it.identity == relays[0]; });
    CHECK_TRUE(relaysOf("a", members, 2).front() == relays[1]);
}
