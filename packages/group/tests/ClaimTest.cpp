#include "GroupFixture.h"

#include "GroupView.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

TEST_GROUP(GroupClaim) {};

// Guards against a superseded holder that still runs requests or claims the group again at once.
TEST(GroupClaim, SupersededHolderRefusesWithNotRun)
{
    StandInGroup group;
    TestHolder old(group, 1);
    CHECK_TRUE(old.waitUntilReady());
    TestHolder successor(group, 2);
    CHECK_TRUE(successor.waitUntilReady());
    const auto refused = old.write("append k old", Milliseconds(1000));
    CHECK_FALSE(refused.has_value());
    CHECK_TRUE(refused.error().verdict == Verdict::NotRun);
    CHECK_TRUE(refused.error().code == FailureCode::NotHolder);
    CHECK_TRUE(eventually([&] { return old.group().knownHolder() == "127.0.0.1:2"; }));
    CHECK_FALSE(old.read("get k", "", Milliseconds(500)).has_value());
    CHECK_TRUE(successor.write("append k new").has_value());
    CHECK_TRUE(group.values(0, "k") == std::vector<std::string> { "new" });

    old.group().reclaim();
    CHECK_TRUE(old.waitUntilReady());
    CHECK_FALSE(successor.group().isHolder());
}

// Guards against a group that remains unclaimed after the process that superseded the holder has ended.
TEST(GroupClaim, SupersededHolderClaimsAgainOnRequestAfterItsPause)
{
    StandInGroup group;
    TestHolder old(group, 1);
    CHECK_TRUE(old.waitUntilReady());
    {
        TestHolder successor(group, 2);
        CHECK_TRUE(successor.waitUntilReady());
        CHECK_TRUE(eventually([&] { return old.group().knownHolder() == "127.0.0.1:2"; }));
    }
    CHECK_FALSE(old.group().isHolder());
    old.group().requestClaim();
    CHECK_FALSE(old.group().isHolder());
    CHECK_TRUE(eventually([&] { return old.group().isHolder(); }));
    CHECK_TRUE(old.write("append k v").has_value());
}

// Guards against two processes that supersede each other's claims indefinitely.
TEST(GroupClaim, ConcurrentClaimsConverge)
{
    StandInGroup group;
    TestHolder one(group, 1);
    TestHolder two(group, 2);
    CHECK_TRUE(eventually([&] { return one.group().isHolder() != two.group().isHolder(); }));
    // The winner claims again with a greater number at a slot that the loser reached first; then the claims are final.
    const auto claims = [&] {
        auto seen = nlohmann::json::array();
        for (std::size_t n = 0; n < 3; ++n)
            seen.push_back({ group.status(n).at("claim"), group.status(n).at("claimHost") });
        return seen;
    };
    CHECK_TRUE(eventually([&] { return claims()[0] == claims()[1] && claims()[0] == claims()[2]; }));
    const auto convergedClaims = claims();
    std::this_thread::sleep_for(Milliseconds(2500));
    CHECK_EQUAL(convergedClaims, claims());
    CHECK_TRUE(one.group().isHolder() != two.group().isHolder());
}

// Guards against a process that resumes after a pause and serves requests by the status recorded before the pause.
TEST(GroupClaim, StaleStatusDoesNotCountForAClaim)
{
    GroupView view(3, 2);
    const nlohmann::json status { { "role", "replica" }, { "promisedTerm", 1 }, { "logTerm", 1 }, { "position", 1 },
        { "claim", 5 }, { "claimHost", "me" }, { "leaving", false }, { "primaryContactMs", 0 } };
    view.applyStatus(0, status, Clock::now() - Milliseconds(1600), false);
    CHECK_EQUAL(0U, view.claimCount(5, "me"));
    view.applyStatus(0, status, Clock::now(), false);
    view.applyStatus(1, status, Clock::now(), false);
    CHECK_EQUAL(2U, view.claimCount(5, "me"));
    CHECK_EQUAL(0U, view.claimCount(4, "me"));
    CHECK_EQUAL(0U, view.claimCount(5, "other"));
}
