#include "PoolerFixture.h"
#include "kumquatbank/engine/HttpClient.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

TEST_GROUP(AccountQueue) {};

// Guards against a lender or a session that queues the requests of accounts without their account, which would order them as
// before and count nothing.
TEST(AccountQueue, RequestsReachTheQueueOfTheLenderWithTheirAccount)
{
    constexpr int hosts = 6;
    EmulatedPlatform::Shape shape;
    shape.maxConnections = 4;
    PoolerFixture fixture(shape, hosts, 1);
    auto& config = fixture.platform().config();
    config.hasAccounts = true;
    config.addAccount({ "account", 1, RateLimit { 100, 100 }, { KeyDigest::of("client") } });
    fixture.platform().putConfig();
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(milliseconds(2500)); // Until every host has listed the others.
        const auto database = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
        const int lender = f.holder(f.platform().database(0, 0).entry().service, hosts, f.region(0));
        co_await f.writeUntilSuccess(database, "WRITE item x", (lender + 1) % hosts);
        auto metricsAddress = f.peerAddress(lender);
        ++metricsAddress.port;
        HttpClient client(f.io(), metricsAddress);
        HttpCall call;
        call.target = "/metrics";
        const auto reply = co_await client.call(std::move(call), milliseconds(500));
        CHECK_TRUE(reply.body.find("kumquatbank_queue_answers_total{") != std::string::npos);
        CHECK_TRUE(reply.body.find("group=\"within_share\"") != std::string::npos);
    }(fixture));
}
