#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

constexpr int hosts = 6;
/// Until every host has listed the others.
constexpr milliseconds hostDiscoveryTime { 2000 };

} // namespace

/// Many hosts in one data centre, and databases that accept fewer connections than there are hosts.
TEST_GROUP(ManyHosts) {
    static EmulatedPlatform::Shape shape(int maxConnections, milliseconds lag) {
        EmulatedPlatform::Shape shape;
shape.maxConnections = maxConnections;
shape.lag = lag;
return shape;
}
}
;

// Guards against hosts that each keep a connection of their own, so that the others are refused permanently.
TEST(ManyHosts, EveryHostServesWithFewerConnectionsThanHosts)
{
    PoolerFixture fixture(shape(4, milliseconds(5)), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        int remaining = hosts;
        int failed = 0;
        const auto work = [&](int host) -> Task<void> {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(host), primaryDb);
            for (int n = 0; n < 20; ++n) {
                const auto answer = co_await client.query("WRITE item x");
                failed += answer.isSuccess() ? 0 : 1;
                co_await f.sleep(milliseconds(50));
            }
            --remaining;
        };
        for (int n = 0; n < hosts; ++n)
            asio::co_spawn(f.io(), work(n), asio::detached);
        while (remaining > 0)
            co_await f.sleep(milliseconds(20));
        CHECK_TRUE_TEXT(failed <= hosts * 20 / 20, ("more than a twentieth of the writes failed: " + std::to_string(failed)).c_str());
    }(fixture));
}

// Guards against probes by every host: they took the connections that statements need, and a host that got none had no
// position and refused its reads.
TEST(ManyHosts, AHostWithoutAConnectionToThePrimaryReadsWithPeerSamples)
{
    PoolerFixture fixture(shape(4, milliseconds(5)), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        TestClient client(f.io());
        co_await client.start(f.clientAddress(hosts - 1), boundedDb);
        co_await client.query("READ item");
        // Enough for the sampling hosts, whose connections are open; no other host gets one.
        f.platform().database(0, 0).behaviour().maxConnections = 2;
        int failed = 0;
        for (int n = 0; n < 20; ++n) {
            const auto read = co_await client.query("READ item");
            failed += read.isSuccess() ? 0 : 1;
            co_await f.sleep(milliseconds(100));
        }
        LONGS_EQUAL(0, failed);
    }(fixture));
}

// Guards against positions whose recorded age omits the time of the transfer between hosts.
TEST(ManyHosts, ReadsWithPeerSamplesSeeCommitsOlderThanTheBound)
{
    PoolerFixture fixture(shape(20, milliseconds(4000)), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        TestClient writer(f.io());
        TestClient reader(f.io());
        co_await writer.start(f.clientAddress(0), primaryDb);
        co_await reader.start(f.clientAddress(hosts - 1), boundedDb);
        co_await reader.query("READ item");
        const auto written = co_await writer.query("WRITE item new");
        CHECK_TRUE(written.isSuccess());
        co_await f.sleep(milliseconds(1600));
        const auto read = co_await reader.query("READ item");
        CHECK_TRUE(read.isSuccess());
        STRCMP_EQUAL("new", read.rows.at(0).c_str());
    }(fixture));
}
