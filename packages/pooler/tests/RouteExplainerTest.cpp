#include "RouteExplainer.h"
#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

/// Time in which a crash is noticed by the connects of reads.
constexpr milliseconds noticeTime { 500 };

Task<nlohmann::json> explain(PoolerFixture& fixture, std::string database, std::string kind)
{
    const auto target = "/route?account=&database=" + database + "&kind=" + kind;
    co_return co_await fixture.document(0, target);
}

std::string reasonFor(const nlohmann::json& explained, const std::string& endpoint)
{
    for (const auto& candidate : explained.at("candidates")) {
        if (candidate.at("endpoint") == endpoint)
            return candidate.at("reason");
    }
    return {};
}

std::string chosen(const nlohmann::json& explained)
{
    for (const auto& candidate : explained.at("candidates")) {
        if (candidate.at("chosen") == true)
            return candidate.at("endpoint");
    }
    return {};
}

Task<void> expectExplanations(PoolerFixture& fixture)
{
    auto& platform = fixture.platform();
    const auto primary = platform.primary(0).entry().id;
    const auto write = co_await explain(fixture, boundedDb, "write");
    STRCMP_EQUAL(primary.c_str(), chosen(write).c_str());
    STRCMP_EQUAL("it is not the primary", reasonFor(write, platform.database(0, 1).entry().id).c_str());
    const auto read = co_await explain(fixture, boundedDb, "read");
    CHECK_TRUE(chosen(read) != primary);
    CHECK_TRUE(read.contains("position"));
    const auto unknown = co_await explain(fixture, "nowhere", "read");
    CHECK_TRUE(unknown.at("outcome") == "refused");
    LONGS_EQUAL(0, platform.ran().size());

    const auto crashed = chosen(read);
    for (int n = 0; n < 3; ++n) {
        if (platform.database(0, n).entry().id == crashed)
            platform.database(0, n).crash();
    }
    TestClient client(fixture.io());
    co_await client.start(fixture.clientAddress(), boundedDb);
    std::string reason;
    for (const auto until = BootClock::now() + noticeTime; reason.empty() && BootClock::now() < until;) {
        co_await client.query("READ k");
        const auto afterwards = co_await explain(fixture, boundedDb, "read");
        if (chosen(afterwards) != crashed)
            reason = reasonFor(afterwards, crashed);
    }
    STRCMP_CONTAINS("no connection could be opened", reason.c_str());
}

} // namespace

TEST_GROUP(RouteExplainer) {};

// Guards against an explanation that differs from what the scheduler does, and against one that runs a statement.
TEST(RouteExplainer, NamesTheEndpointAndTheReasonsAgainstTheOthers)
{
    PoolerFixture fixture;
    fixture.run(expectExplanations(fixture));
}

// Guards against a query with a missing or unknown part that is answered as if it were another one.
TEST(RouteExplainer, RefusesIncompleteQueries)
{
    CHECK_TRUE(RouteQuery::parse("/route?database=db&kind=transaction")->kind == RouteQuery::Kind::Transaction);
    for (const auto* target : { "/route", "/route?database=db", "/route?database=db&kind=drop", "/route?kind=read", "/other?database=db&kind=read" })
        CHECK_FALSE(RouteQuery::parse(target).has_value());
}
