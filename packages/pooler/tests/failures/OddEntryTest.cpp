#include "OddEntries.h"
#include "PoolerFixture.h"
#include "kumquatbank/adapter/StoreCodec.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);

constexpr int hosts = 3;
/// Time in which a host follows a change of the store.
constexpr milliseconds followTime { 3000 };

/// Waits until every host has the state of the database; fails the test if one does not follow the store any more.
Task<void> checkFollowed(PoolerFixture& f, int count, std::string id, bool isDraining, std::string cause)
{
    const auto until = BootClock::now() + followTime;
    for (int n = 0; n < count; ++n) {
        bool isFollowed = false;
        while (!isFollowed && BootClock::now() < until) {
            const auto state = co_await f.state(n);
            const auto& endpoints = state.at("services").at("service-0").at("endpoints");
            isFollowed = endpoints.contains(id) && endpoints.at(id).at("draining") == isDraining;
            if (!isFollowed)
                co_await f.sleep(milliseconds(20));
        }
        CHECK_TRUE_TEXT(isFollowed, fmt::format("host {} no longer follows the databases after: {}", n, cause).c_str());
    }
}

} // namespace

TEST_GROUP(OddEntry) {};

// Guards against an entry of another writer that ends the hosts, or hides the later changes of all other entries.
TEST(OddEntry, CostsOnlyItself)
{
    PoolerFixture fixture({}, hosts);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        bool isDraining = false;
        const auto entries = oddEntries("service-0");
        for (const auto& odd : entries) {
            f.platform().store().putText(std::string(StoreCodec::endpointKind), "x-other", odd.spec);
            isDraining = !isDraining;
            f.platform().announce(f.platform().database(0, 2), isDraining);
            co_await checkFollowed(f, hosts, "i-0-2", isDraining, odd.description);
        }
        const auto state = co_await f.state(0);
        LONGS_EQUAL(3, state.at("services").at("service-0").at("endpoints").size());
        LONGS_EQUAL(1, state.at("services").size());
    }(fixture),
        std::chrono::seconds(60));
}

// Guards against a host that does not become ready, because the first listing has entries of other writers.
TEST(OddEntry, AHostStartsBesideThem)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        int n = 0;
        for (const auto& odd : oddEntries("service-0")) {
            f.platform().store().putText(std::string(StoreCodec::endpointKind), fmt::format("x-other-{}", n++), odd.spec);
            f.platform().store().putText("kumquatbank-hosts", fmt::format("x-host-{}", n), odd.spec);
            f.platform().store().putText(std::string(StoreCodec::configKind), fmt::format("x-config-{}", n), odd.spec);
        }
        f.startHost(1);
        co_await f.waitUntilReady(1);
        co_await f.writeUntilSuccess(primaryDb, "WRITE item x", 1);
        f.platform().store().forgetHistory();
        f.platform().announce(f.platform().database(0, 2), true);
        co_await checkFollowed(f, 2, "i-0-2", true, "a new listing");
    }(fixture));
}

// Guards against a service whose primary is never replaced, because another writer has left something unreadable in place
// of the newest decision.
TEST(OddEntry, AnUnreadableDecisionDoesNotPreventPromotions)
{
    for (const auto* decision : { "[[1]]", R"({"token":1e400})", R"({"token":18446744073709551615})", R"({"token":"x"})" }) {
        PoolerFixture fixture;
        fixture.run([](PoolerFixture& f, std::string text) -> Task<void> {
            co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
            f.platform().store().putText("kumquatbank-promotions", "service-0", text);
            f.platform().primary(0).crash();
            co_await f.writeUntilSuccess(primaryDb, "WRITE item after");
        }(fixture, decision));
        LONGS_EQUAL(1, std::ranges::count(fixture.platform().promotions(), 200, &OrderedPromotion::status));
    }
}

// Guards against a statement that is smuggled in the text of another one behind a line feed.
TEST(OddEntry, ALineFeedInsideATextIsRefused)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.writeUntilSuccess(primaryDb, "WRITE item before");
        TestClient client(f.io());
        co_await client.start(f.clientAddress(), primaryDb);
        const auto before = f.platform().ran().size();
        for (const auto* bytes : { "QUERY a1 WRITE item x\nQUERY a2 WRITE item y\r\n", "QUERY a3 WRITE item x\rQUERY a4 WRITE item y\r\n" }) {
            const auto answer = co_await client.sendRaw(bytes);
            STRCMP_EQUAL("MALFORMED", answer.code().c_str());
        }
        const auto after = co_await client.query("READ item");
        STRCMP_EQUAL("before", after.rows.at(0).c_str());
        LONGS_EQUAL(before + 1, f.platform().ran().size());
    }(fixture));
}
