#include "GroupFixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <iostream>

using namespace kumquatbank;

TEST_GROUP(Connections) {};

// Guards against pooled connections that stay unresponsive while new connections work.
TEST(Connections, HungConnectionsAreReplaced)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    group.slot(0).control({ { "fault", "silence" } });
    const auto startedAt = Clock::now();
    holder.write("append k lost", Milliseconds(5000)); // The answer never arrives; the verdict is may_have_run.
    CHECK_TRUE(holder.write("append k next", Milliseconds(5000)).has_value());
    const auto duration = std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt);
    std::cout << " replaced after " << duration.count() << " ms ";
    CHECK_TRUE(duration < Milliseconds(2000));
    CHECK_EQUAL(0U, holder.group().state().at("primary").at("slot").get<unsigned>());
}

// Guards against a late answer that is delivered to the next request on the connection.
TEST(Connections, LateAnswerClosesTheConnection)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    CHECK_TRUE(holder.write("put a 1").has_value());
    for (int n = 0; n < 10; ++n) {
        const auto late = holder.read("sleep 60;get a", "", Milliseconds(40));
        CHECK_FALSE(late.has_value());
        const auto value = "b" + std::to_string(n);
        const auto written = holder.write("put b " + value);
        CHECK_TRUE(written.has_value());
        const auto read = holder.read("get b", written->session);
        CHECK_TRUE(read.has_value());
        CHECK_EQUAL(nlohmann::json::array({ value }), read->result.at("rows"));
    }
}

// Guards against reads that fail because one replica was killed, and against a killed replica that still receives load.
TEST(Connections, ReadsSucceedAfterAReplicaIsKilled)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    const auto written = holder.write("put a 1");
    for (int n = 0; n < 100; ++n) {
        if (n == 30)
            group.slot(1).kill();
        CHECK_TRUE(holder.read("get a", written->session).has_value());
        std::this_thread::sleep_for(Milliseconds(5));
    }
}

// Guards against more connections to an endpoint than its limit, and against callers that wait for each other's
// connection setup.
TEST(Connections, ManyCallersShareTheLimit)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    std::atomic<int> failures { 0 };
    std::vector<std::thread> callers;
    for (int n = 0; n < 40; ++n) {
        callers.emplace_back([&, n] {
            for (int m = 0; m < 25; ++m)
                failures += holder.write("append k" + std::to_string(n) + " v").has_value() ? 0 : 1;
        });
    }
    std::ranges::for_each(callers, [](std::thread& caller) { caller.join(); });
    CHECK_EQUAL(0, failures.load());
    CHECK_TRUE(group.status(0).at("connections").get<int>() <= 20);
}

// Guards against a refusal that the ledger records without its cause, entry and owner.
TEST(Connections, RefusalsRecordTheirCause)
{
    StandInGroup group;
    TestHolder holder(group);
    CHECK_TRUE(holder.waitUntilReady());
    group.slot(1).kill();
    group.slot(2).kill();
    const auto refused = holder.write("put a 1", Milliseconds(4000));
    CHECK_FALSE(refused.has_value());
    CHECK_TRUE(refused.error().code != FailureCode::NotHolder);
    CHECK_TRUE(refused.error().entry == "test-entry" && refused.error().owner == "tests");
    CHECK_TRUE(eventually([&] {
        const auto again = holder.write("put a 2", Milliseconds(1000));
        return !again && again.error().verdict == Verdict::NotRun && again.error().cause == Cause::EndpointDown;
    }));
    const auto now = WallClock::now();
    const auto recorded = holder.ledger().rows(now - std::chrono::minutes(2), now + std::chrono::minutes(1));
    CHECK_TRUE(std::ranges::any_of(recorded,
        [](const CauseRow& row) { return row.key.cause == Cause::EndpointDown && row.refused > 0; }));
    CHECK_TRUE(holder.read("get ready").has_value()); // The remaining slot still serves reads.
}
