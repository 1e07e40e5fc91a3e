#include "PoolerFixture.h"
#include "kumquatbank/engine/HttpClient.h"
#include "kumquatbank/engine/HttpListener.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

constexpr int hosts = 10;
/// Until every host has listed the others and the watches of followers have ended.
constexpr milliseconds hostDiscoveryTime { 4500 };
/// After the third listing of the hosts, well before the fourth.
constexpr milliseconds betweenListings { 6500 };

} // namespace

/// Ten hosts in one region, of which two watch the store and send changes to the others.
TEST_GROUP(StoreFollowing) {};

// The store's rate limits grow more slowly than the fleet, and every waiting watch counts as a call.
TEST(StoreFollowing, MostHostsMakeNoWatches)
{
    PoolerFixture fixture({}, hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(betweenListings);
        const auto before = f.platform().store().calls();
        co_await f.sleep(milliseconds(3000));
        const auto calls = f.platform().store().calls() - before;
        // Two watches of ten hosts, each of two seconds, would be 30.
        CHECK_TRUE_TEXT(calls <= 20, (std::to_string(calls) + " calls").c_str());
    }(fixture));
}

// The store's revision rises with every renewal of every host, while endpoints change a few times an hour. Guards
// against followers that send all endpoints to all hosts each time.
TEST(StoreFollowing, UnchangedEndpointsAreNotSentAgain)
{
    PoolerFixture fixture({}, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        HttpClient client(f.io(), f.peerAddress(0));
        const auto fetchUpdates = [&](std::uint64_t known) -> Task<nlohmann::json> {
            HttpCall call;
            call.target = "/v1/news?config=0&endpoints=" + std::to_string(known);
            const auto reply = co_await client.call(std::move(call), milliseconds(500));
            co_return nlohmann::json::parse(reply.body).at("known");
        };
        const auto all = co_await fetchUpdates(0);
        CHECK_TRUE(all.contains("endpoints"));
        f.platform().store().put("kumquatbank-hosts", "host-9", { { "peerAddress", "127.0.0.1:9" } });
        co_await f.sleep(milliseconds(2500));
        const auto updates = co_await fetchUpdates(all.at("endpointRevision"));
        CHECK_FALSE(updates.contains("endpoints"));
        CHECK_TRUE(updates.at("endpointRevision") > all.at("endpointRevision"));
    }(fixture));
}

// Guards against a configuration that does not reach the hosts that make no watches.
TEST(StoreFollowing, AChangeReachesHostsThatDoNotWatch)
{
    PoolerFixture fixture({}, hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(hostDiscoveryTime);
        f.platform().config().routes.erase(boundedDb);
        f.platform().putConfig();
        co_await f.sleep(milliseconds(800));
        const int changed = co_await f.hostsWithoutRoute(boundedDb, hosts);
        LONGS_EQUAL(hosts, changed);
    }(fixture));
}

// Guards against hosts that rely on followers which have lost the store themselves.
TEST(StoreFollowing, HostsWatchWhileTheFollowersHaveLostTheStore)
{
    PoolerFixture fixture({}, hosts, 1);
    const HostAddress address { fixture.clientAddress(0).ip, 32'500 };
    int queries = 0;
    const auto answer = [&queries](HttpRequest) -> Task<HttpResponse> {
        ++queries;
        co_return HttpResponse { 200, R"({"samples":{},"known":{},"storeSilenceMs":60000})" };
    };
    const HttpListener listener(fixture.io(), address, answer);
    fixture.run([](PoolerFixture& f, HostAddress at) -> Task<void> {
        // Their weight ranks them first, so that every host polls them.
        for (const char* name : { "a-1", "a-2" })
            f.platform().store().put("kumquatbank-hosts", name, { { "peerAddress", at.toString() }, { "dataCentre", "dc-0" }, { "region", "region" }, { "weight", 1e9 } });
        co_await f.sleep(milliseconds(6500));
        f.platform().config().routes.erase(boundedDb);
        f.platform().putConfig();
        co_await f.sleep(milliseconds(800));
        const int changed = co_await f.hostsWithoutRoute(boundedDb, hosts);
        LONGS_EQUAL(hosts, changed);
    }(fixture, address));
    CHECK_TRUE(queries > 0);
}
