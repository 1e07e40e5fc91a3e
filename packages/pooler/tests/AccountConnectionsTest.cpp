#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string ownWritesDb = EmulatedPlatform::databaseName(0, ReadPolicy::ReadYourWrites);

constexpr int hosts = 6;
constexpr int connectionLimit = 4;
/// Twice the connections that the lender has.
constexpr int accounts = 6;
constexpr int statementsPerClient = 15;
/// Time until every host has listed the others and has the accounts.
constexpr milliseconds discoveryTime { 2500 };

std::string accountName(int n) { return "account-" + std::to_string(n); }
std::string keyOf(int account) { return "key-" + std::to_string(account); }

void addAccounts(EmulatedPlatform& platform)
{
    platform.config().hasAccounts = true;
    for (int n = 0; n < accounts; ++n)
        platform.config().addAccount({ accountName(n), 0, std::nullopt, { KeyDigest::of(keyOf(n)) } });
    platform.putConfig();
}

EmulatedPlatform::Shape scarceShape()
{
    EmulatedPlatform::Shape shape;
    shape.maxConnections = connectionLimit;
    return shape;
}

} // namespace

/// One host lends three connections to each database, and each connection belongs to one of six accounts.
TEST_GROUP(AccountConnections) {};

// Load: clients of more accounts than there are connections, on all hosts at once. Guards against a statement that runs on
// a connection of another account, and against more connections than the endpoint accepts while idle ones are replaced.
TEST(AccountConnections, StatementsRunOnConnectionsOfTheirAccount)
{
    PoolerFixture fixture(scarceShape(), hosts, 1);
    std::map<std::string, std::string> accountOf; // By id of the statement.
    int succeeded = 0;
    fixture.run([](PoolerFixture& f, std::map<std::string, std::string>& expected, int& succeeded) -> Task<void> {
        addAccounts(f.platform());
        co_await f.sleep(discoveryTime);
        int left = 0;
        const auto work = [&](int host, int account) -> Task<void> {
            TestClient client(f.io());
            const std::string database = account % 2 == 0 ? primaryDb : ownWritesDb;
            const auto key = keyOf(account);
            co_await client.start(f.clientAddress(host), database, key);
            for (int n = 0; n < statementsPerClient; ++n) {
                const std::string text = n % 3 == 0 ? "READ item" : "WRITE item x";
                const auto answer = co_await client.query(text);
                expected[client.lastId()] = accountName(account);
                succeeded += answer.isSuccess() ? 1 : 0;
                co_await f.sleep(milliseconds(5 + account));
            }
            --left;
        };
        for (int host = 0; host < hosts; ++host) {
            for (int account = 0; account < accounts; ++account, ++left)
                asio::co_spawn(f.io(), work(host, account), asio::detached);
        }
        while (left > 0)
            co_await f.sleep(milliseconds(20));
    }(fixture, accountOf, succeeded));
    int checked = 0;
    std::map<std::pair<std::string, std::uint64_t>, std::string> accountOfConnection;
    for (const auto& ran : fixture.platform().ran()) {
        const auto expected = accountOf.find(ran.id);
        if (expected == accountOf.end())
            continue;
        STRCMP_EQUAL(expected->second.c_str(), ran.account.c_str());
        const auto [it, isNew] = accountOfConnection.try_emplace({ ran.database, ran.connection }, expected->second);
        STRCMP_EQUAL(it->second.c_str(), expected->second.c_str());
        ++checked;
    }
    CHECK_TRUE(checked >= succeeded);
    CHECK_TRUE(succeeded > hosts * accounts * statementsPerClient / 2);
    for (int n = 0; n < 3; ++n)
        CHECK_TRUE(fixture.platform().database(0, n).mostConnections() <= connectionLimit);
}

// Guards against lent connections that are closed, or given to nobody, after their return: two accounts that take turns on
// all hosts need one connection each.
TEST(AccountConnections, LentConnectionsReturnToTheirAccount)
{
    PoolerFixture fixture(scarceShape(), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        addAccounts(f.platform());
        co_await f.sleep(discoveryTime);
        std::vector<std::unique_ptr<TestClient>> clients;
        for (int n = 0; n < hosts; ++n) {
            clients.push_back(std::make_unique<TestClient>(f.io()));
            const auto key = keyOf(n % 2);
            co_await clients.back()->start(f.clientAddress(n), primaryDb, key);
        }
        const auto openedBefore = f.platform().primary(0).openedConnections();
        for (int round = 0; round < 5; ++round) {
            for (auto& client : clients) {
                const auto answer = co_await client->query("WRITE item x");
                CHECK_TRUE_TEXT(answer.isSuccess(), answer.result.c_str());
            }
        }
        CHECK_TRUE(f.platform().primary(0).openedConnections() - openedBefore <= 2);
    }(fixture));
}

// Guards against a lender that is taken for lost while it opens a connection of another account: its borrowers would leave it
// for a second, and open connections beyond its share.
TEST(AccountConnections, LenderMayTakeLongToOpenAConnection)
{
    PoolerFixture fixture(scarceShape(), hosts, 1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().config().routes.at(primaryDb).targetLatency = milliseconds(1000);
        addAccounts(f.platform());
        co_await f.sleep(discoveryTime);
        const int holder = f.holder(f.platform().database(0, 0).entry().service, hosts, f.region(0));
        TestClient client(f.io());
        const auto key = keyOf(0);
        co_await client.start(f.clientAddress((holder + 1) % hosts), primaryDb, key);
        const auto openedBefore = f.platform().primary(0).openedConnections();
        f.platform().primary(0).behaviour().connect = milliseconds(350);
        const auto answer = co_await client.query("WRITE item x");
        CHECK_TRUE_TEXT(answer.isSuccess(), answer.result.c_str());
        LONGS_EQUAL(1, f.platform().primary(0).openedConnections() - openedBefore);
    }(fixture));
}
