#include "TestGroup.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using namespace kumquatbank::standin;

namespace {

constexpr int notPrimary = -32001;
constexpr int termMismatch = -32002;
constexpr int behind = -32003;

bool isGranted(const nlohmann::json& response)
{
    return response.at("result").at("granted").get<bool>();
}

nlohmann::json fenceParams(Term term, const std::string& proposer)
{
    return { { "term", term }, { "proposer", proposer } };
}

nlohmann::json dumpOf(DatabaseStandIn& slot)
{
    return slot.control({ { "command", "dump" } });
}

} // namespace

TEST_GROUP(Term) {};

// Guards against a replaced primary that still accepts writes, and against a promise given to two proposers.
TEST(Term, FenceEndsThePrimaryAndBindsOneProposer)
{
    TestGroup group(1);
    auto caller = group.connect(0);
    LONGS_EQUAL(0, errorCode(caller.write(1, "put a 1")));
    LONGS_EQUAL(termMismatch, errorCode(caller.write(2, "put a 2")));
    CHECK_FALSE(isGranted(caller.call("fence", fenceParams(1, "p"))));
    CHECK_TRUE(isGranted(caller.call("fence", fenceParams(3, "p"))));
    CHECK_TRUE(isGranted(caller.call("fence", fenceParams(3, "p"))));
    CHECK_FALSE(isGranted(caller.call("fence", fenceParams(3, "q"))));
    CHECK_FALSE(isGranted(caller.call("fence", fenceParams(2, "p"))));

    const auto refused = caller.write(1, "put a 3");
    LONGS_EQUAL(notPrimary, errorCode(refused));
    STRCMP_EQUAL("not_run", refused["error"]["data"]["verdict"].get<std::string>().c_str());
    CHECK_TRUE((caller.read("get a")["result"]["rows"] == nlohmann::json { "1" }));

    CHECK_FALSE(isGranted(caller.call("promote", fenceParams(3, "q"))));
    CHECK_FALSE(isGranted(caller.call("promote", fenceParams(4, "p"))));
    const auto promoted = caller.call("promote", fenceParams(3, "p"));
    CHECK_TRUE(isGranted(promoted));
    LONGS_EQUAL(3, promoted["result"]["logTerm"].get<int>());
    LONGS_EQUAL(3, promoted["result"]["position"].get<int>());
    LONGS_EQUAL(0, errorCode(caller.write(3, "put a 4")));
}

// Guards against a fence that lands while a write takes its service time: the write must not be appended.
TEST(Term, FenceStopsAWriteInService)
{
    TestGroup group(1);
    auto writer = group.connect(0);
    auto proposer = group.connect(0, "p", 0, "control");
    writer.send("execute", { { "term", 1 }, { "kind", "write" }, { "statement", "sleep 150; put a 1" } });
    CHECK_TRUE(eventually([&] {
        return group.slot(0).control({ { "command", "status" } }).at("status").at("statements") == 1;
    }));
    CHECK_TRUE(isGranted(proposer.call("fence", fenceParams(2, "p"))));
    LONGS_EQUAL(notPrimary, errorCode(writer.receive()));
    LONGS_EQUAL(1, group.position(0));
}

// Guards against a fenced replica that goes on confirming writes of the old primary.
TEST(Term, FencedReplicaPullsOnlyAfterFollow)
{
    TestGroup group(2);
    auto primary = group.connect(0);
    auto replica = group.connect(1, "p", 0, "control");
    primary.write(1, "append a 1");
    CHECK_TRUE(eventually([&] { return group.position(1) == 2; }));
    CHECK_TRUE(isGranted(replica.call("fence", fenceParams(2, "p"))));
    primary.write(1, "append a 2");
    const auto waited = replica.call("await_position", { { "after", 2 }, { "timeoutMs", 200 } });
    LONGS_EQUAL(2, waited["result"]["position"].get<int>());
    LONGS_EQUAL(2, waited["result"]["promisedTerm"].get<int>());

    const auto address = group.slot(0).address().toString();
    CHECK_FALSE(isGranted(replica.call("follow", { { "term", 1 }, { "primary", address } })));
    auto proposer = group.connect(0, "p", 0, "control");
    CHECK_TRUE(isGranted(proposer.call("fence", fenceParams(2, "p"))));
    CHECK_TRUE(isGranted(proposer.call("promote", fenceParams(2, "p"))));
    CHECK_TRUE(isGranted(replica.call("follow", { { "term", 2 }, { "primary", address } })));
    CHECK_TRUE(eventually([&] { return group.position(1) == 4; }));
}

// Guards against a returning primary that keeps unconfirmed records, their values or their idempotency keys.
TEST(Term, FollowTruncatesToTheCommonPrefix)
{
    TestGroup group(2);
    auto old = group.connect(0);
    auto next = group.connect(1);
    old.write(1, "append a kept", "k1");
    CHECK_TRUE(eventually([&] { return group.position(1) == 2; }));
    CHECK_TRUE(isGranted(next.call("fence", fenceParams(2, "p"))));
    old.write(1, "append a lost", "k2");
    old.write(1, "append a lost2");
    CHECK_TRUE(isGranted(next.call("promote", fenceParams(2, "p"))));
    next.write(2, "append a new");
    CHECK_TRUE(isGranted(
        old.call("follow", { { "term", 2 }, { "primary", group.slot(1).address().toString() } })));
    CHECK_TRUE(eventually([&] { return dumpOf(group.slot(0))["status"]["logTerm"] == 2 && group.position(0) == 4; }));

    const auto dump = dumpOf(group.slot(0));
    CHECK_TRUE((dump["state"]["a"] == nlohmann::json { "kept", "new" }));
    CHECK_TRUE(dump["keys"].contains("k1"));
    CHECK_FALSE(dump["keys"].contains("k2"));
    CHECK_TRUE(dump["state"] == dumpOf(group.slot(1))["state"]);
}

// Guards against a save that runs twice because the new primary forgot its idempotency key.
TEST(Term, IdempotencyKeySurvivesPromotion)
{
    TestGroup group(2);
    auto old = group.connect(0);
    auto next = group.connect(1);
    const auto first = old.write(1, "append a 1", "k");
    CHECK_FALSE(first["result"]["repeated"].get<bool>());
    CHECK_TRUE(eventually([&] { return group.position(1) == 2; }));
    next.call("fence", fenceParams(2, "p"));
    next.call("promote", fenceParams(2, "p"));
    const auto second = next.write(2, "append a 1", "k");
    CHECK_TRUE(second["result"]["repeated"].get<bool>());
    CHECK_TRUE(second["result"]["rows"] == first["result"]["rows"]);
    CHECK_TRUE(second["result"]["position"] == first["result"]["position"]);
    CHECK_TRUE((next.read("get a")["result"]["rows"] == nlohmann::json { "1" }));
}

// Guards against a read of a session's change on a replica that does not hold it yet.
TEST(Term, ReplicaRefusesReadsItDoesNotCover)
{
    DatabaseStandInOptions options;
    options.lag = Milliseconds(200);
    TestGroup group(2, options);
    auto primary = group.connect(0);
    auto replica = group.connect(1);
    const auto written = primary.write(1, "put a 1")["result"]["position"].get<std::uint64_t>();
    LONGS_EQUAL(behind, errorCode(replica.read("get a", { 1, written })));
    CHECK_TRUE(eventually([&] { return group.position(1) == written; }));
    CHECK_TRUE((replica.read("get a", { 1, written })["result"]["rows"] == nlohmann::json { "1" }));
    LONGS_EQUAL(behind, errorCode(replica.read("get a", { 2, written })));
}
