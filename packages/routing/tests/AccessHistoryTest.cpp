#include "kumquatbank/routing/routing.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

using Keys = std::vector<const char*>;

std::shared_ptr<const RoutingConfig> config(const std::map<std::string, Keys>& accounts, bool isPublic = false, bool hasRoute = true)
{
    RoutingConfig config;
    Route route;
    route.database = "db";
    route.isPublic = isPublic;
    if (hasRoute)
        config.routes.emplace(route.database, route);
    config.hasAccounts = true;
    for (const auto& [name, keys] : accounts) {
        ClientAccount account;
        account.name = name;
        for (const auto* key : keys)
            account.keys.push_back(KeyDigest::of(key));
        config.addAccount(std::move(account));
    }
    return std::make_shared<const RoutingConfig>(std::move(config));
}

const BootTime start { std::chrono::seconds(100) };

} // namespace

TEST_GROUP(AccessHistory)
{
    void add(int atMs, std::shared_ptr<const RoutingConfig> version) { history.add(std::move(version), start + milliseconds(atMs)); }
    bool mayContinue(int atMs, const ClientGrant& grant) const { return history.mayContinue(grant, start + milliseconds(atMs)); }

    AccessHistory history;
    const ClientGrant ofA { "db", KeyDigest::of("ka"), "a" };
    const ClientGrant withoutAccount { "db", std::nullopt, "" };
};

// Guards against transactions that go on for longer, or end earlier, than the grace period after each kind of change.
TEST(AccessHistory, ATransactionGoesOnForTheGracePeriodAfterItsAccessWasWithdrawn)
{
    struct Case {
        const char* what;
        ClientGrant grant;
        std::shared_ptr<const RoutingConfig> before;
        std::shared_ptr<const RoutingConfig> after;
        bool isWithdrawn;
    };
    const auto both = config({ { "a", { "ka" } }, { "b", { "kb" } } });
    for (const auto& [what, grant, before, after, isWithdrawn] : {
             Case { "unchanged", ofA, both, both, false },
             Case { "another account is gone", ofA, both, config({ { "a", { "ka" } } }), false },
             Case { "the route is gone", ofA, both, config({ { "a", { "ka" } } }, false, false), false },
             Case { "the key is gone", ofA, both, config({ { "a", { "other" } }, { "b", { "kb" } } }), true },
             Case { "the account is gone", ofA, both, config({ { "b", { "kb" } } }), true },
             Case { "the key belongs to another account", ofA, both, config({ { "a", { "other" } }, { "b", { "kb", "ka" } } }), true },
             Case { "the key belongs to two accounts", ofA, both, config({ { "a", { "ka" } }, { "b", { "ka" } } }), true },
             Case { "there are no accounts any more", ofA, both, std::make_shared<const RoutingConfig>(), true },
             Case { "still public", withoutAccount, config({}, true), config({ { "b", { "kb" } } }, true), false },
             Case { "no longer public", withoutAccount, config({}, true), config({}), true },
             Case { "the public route is gone", withoutAccount, config({}, true), config({}, true, false), false },
         }) {
        history = {};
        add(0, before);
        add(10'000, after);
        CHECK_TRUE_TEXT(mayContinue(11'999, grant), what);
        CHECK_EQUAL_TEXT(!isWithdrawn, mayContinue(12'000, grant), what);
    }
}

// Guards against a grace period that starts anew with each further version.
TEST(AccessHistory, FurtherVersionsDoNotProlongTheGracePeriod)
{
    add(0, config({ { "a", { "ka" } } }));
    for (int n = 0; n < 40; ++n) {
        add(1000 + 100 * n, config({}));
        CHECK_EQUAL(1000 + 100 * n < 3000, mayContinue(1000 + 100 * n, ofA));
    }
}

TEST(AccessHistory, MoreVersionsThanAreKeptNeverProlongTheGracePeriod)
{
    add(0, config({ { "a", { "ka" } } }));
    for (int atMs = 1000; atMs < 4000; atMs += 10) {
        add(atMs, config({}));
        CHECK_EQUAL(atMs < 3000, mayContinue(atMs, ofA));
    }
    for (int atMs = 4000; atMs < 6000; atMs += 10) {
        add(atMs, config({ { "a", { "ka" } } }));
        CHECK_TRUE(mayContinue(atMs, ofA));
    }
}

TEST(AccessHistory, AKeyThatIsGivenBackInTimeChangesNothing)
{
    add(0, config({ { "a", { "ka" } } }));
    add(1000, config({}));
    add(2000, config({ { "a", { "ka" } } }));
    CHECK_TRUE(mayContinue(3500, ofA));
    add(4000, config({}));
    CHECK_TRUE(mayContinue(5999, ofA));
    CHECK_FALSE(mayContinue(6000, ofA));
}
