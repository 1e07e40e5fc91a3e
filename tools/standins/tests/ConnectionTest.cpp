#include "TestGroup.h"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace kumquatbank;
using namespace kumquatbank::standin;

namespace {

constexpr int claimSuperseded = -32004;
constexpr int connectionLimit = -32005;
constexpr int noTransaction = -32007;

nlohmann::json claimParams(std::uint64_t claim, const std::string& host)
{
    return { { "claim", claim }, { "host", host } };
}

nlohmann::json statusOf(DatabaseStandIn& slot)
{
    return slot.control({ { "command", "status" } }).at("status");
}

} // namespace

TEST_GROUP(Connection) {};

// Guards against a superseded holder whose open connections still run statements.
TEST(Connection, ClaimClosesConnectionsOfLowerClaims)
{
    TestGroup group(1);
    auto control = group.connect(0, "h2", 0, "control");
    CHECK_TRUE(control.call("claim", claimParams(1, "h1"))["result"]["granted"].get<bool>());
    auto idle = group.connect(0, "h1", 1);
    auto busy = group.connect(0, "h1", 1);
    busy.send("execute", { { "term", 1 }, { "kind", "write" }, { "statement", "sleep 150; put a 1" } });
    CHECK_TRUE(eventually([&] { return statusOf(group.slot(0))["statements"] == 1; }));

    CHECK_FALSE(control.call("claim", claimParams(1, "h2"))["result"]["granted"].get<bool>());
    CHECK_TRUE(control.call("claim", claimParams(2, "h2"))["result"]["granted"].get<bool>());
    CHECK_TRUE(control.call("claim", claimParams(2, "h2"))["result"]["granted"].get<bool>());
    CHECK_TRUE(idle.write(1, "put a 2").is_null());
    LONGS_EQUAL(0, errorCode(busy.receive()));
    CHECK_TRUE(busy.write(1, "put a 3").is_null());
    LONGS_EQUAL(2, group.position(0));

    LONGS_EQUAL(claimSuperseded, errorCode(group.connect(0, "h1", 1).hello()));
    LONGS_EQUAL(0, errorCode(group.connect(0, "h1", 1, "control").hello()));
    LONGS_EQUAL(0, errorCode(group.connect(0, "h2", 2).hello()));
}

// Guards against a control connection that runs statements for a superseded holder.
TEST(Connection, ControlConnectionOfALowerClaimRunsNoStatement)
{
    TestGroup group(1);
    auto control = group.connect(0, "h1", 0, "control");
    control.call("claim", claimParams(1, "h2"));
    LONGS_EQUAL(claimSuperseded, errorCode(control.write(1, "put a 1")));
    LONGS_EQUAL(1, group.position(0));
}

// Guards against an endpoint that accepts more connections than its limit, or never gets one back.
TEST(Connection, LimitCountsEveryConnection)
{
    DatabaseStandInOptions options;
    options.connectionLimit = 2;
    TestGroup group(2, options);
    std::optional<TestCaller> first(group.connect(0));
    auto second = group.connect(0, "h", 0, "control");
    LONGS_EQUAL(2, second.hello()["result"]["connections"].get<int>());
    LONGS_EQUAL(connectionLimit, errorCode(group.connect(0).hello()));
    first.reset();
    CHECK_TRUE(eventually([&] { return statusOf(group.slot(0))["connections"] == 1; }));
    LONGS_EQUAL(0, errorCode(group.connect(0).hello()));
}

// Guards against transactions that show, keep or mix changes before their commit.
TEST(Connection, TransactionIsAtomicAndRolledBackOnClose)
{
    TestGroup group(1);
    const nlohmann::json inTerm { { "term", 1 } };
    auto caller = group.connect(0);
    auto other = group.connect(0);
    LONGS_EQUAL(noTransaction, errorCode(caller.call("commit", inTerm)));
    caller.call("begin", inTerm);
    caller.write(1, "append a 1");
    caller.write(1, "append b 1");
    CHECK_TRUE((caller.read("get a", {}, 1)["result"]["rows"] == nlohmann::json { "1" }));
    CHECK_TRUE(other.read("get a")["result"]["rows"].empty());
    {
        auto abandoned = group.connect(0);
        abandoned.call("begin", inTerm);
        abandoned.write(1, "append a 2");
    }
    const auto committed = caller.call("commit", { { "term", 1 }, { "key", "k" } });
    LONGS_EQUAL(2, committed["result"]["position"].get<int>());
    CHECK_TRUE((other.read("get a; get b")["result"]["rows"] == nlohmann::json { "1", "1" }));

    other.call("begin", inTerm);
    other.write(1, "append a 3");
    CHECK_TRUE(other.call("commit", { { "term", 1 }, { "key", "k" } })["result"]["repeated"].get<bool>());
    CHECK_TRUE((caller.read("get a")["result"]["rows"] == nlohmann::json { "1" }));
}

// Guards against fault injection that reports a lost answer as a request that did not run, or hangs new ones.
TEST(Connection, FaultsKeepTheirPromises)
{
    TestGroup group(1);
    auto& slot = group.slot(0);
    auto caller = group.connect(0, "h1");
    slot.control({ { "fault", "lose_answer" }, { "count", 1 } });
    caller.send("execute", { { "term", 1 }, { "kind", "write" }, { "statement", "append a 1" } });
    CHECK_TRUE(caller.receive(Milliseconds(100)).is_null());
    CHECK_TRUE((caller.read("get a")["result"]["rows"] == nlohmann::json { "1" }));

    slot.control({ { "fault", "cut" }, { "from", { "h1" } } });
    caller.send("execute", { { "term", 1 }, { "kind", "write" }, { "statement", "append a 2" } });
    CHECK_TRUE(caller.receive(Milliseconds(100)).is_null());
    LONGS_EQUAL(0, errorCode(group.connect(0, "h2").hello()));
    slot.control({ { "fault", "clear" } });
    CHECK_TRUE((caller.read("get a")["result"]["rows"] == nlohmann::json { "1" }));

    slot.control({ { "fault", "silence" } });
    caller.send("execute", { { "term", 1 }, { "kind", "write" }, { "statement", "append a 3" } });
    CHECK_TRUE(caller.receive(Milliseconds(100)).is_null());
    CHECK_TRUE((group.connect(0).read("get a")["result"]["rows"] == nlohmann::json { "1" }));
    CHECK_FALSE(slot.control({ { "fault", "unknown" } })["ok"].get<bool>());
}

// Guards against a frozen endpoint that answers, or that forgets the requests it received meanwhile.
TEST(Connection, FrozenEndpointRunsItsRequestsLate)
{
    TestGroup group(1);
    auto caller = group.connect(0);
    group.slot(0).control({ { "fault", "freeze" } });
    caller.send("execute", { { "term", 1 }, { "kind", "write" }, { "statement", "append a 1" } });
    CHECK_TRUE(caller.receive(Milliseconds(100)).is_null());
    LONGS_EQUAL(1, group.position(0));
    group.slot(0).control({ { "fault", "clear" } });
    LONGS_EQUAL(0, errorCode(caller.receive()));
    LONGS_EQUAL(2, group.position(0));
}
