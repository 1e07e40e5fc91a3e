#include "PoolerFixture.h"
#include "kumquatbank/adapter/StoreCodec.h"
#include "kumquatbank/engine/HttpClient.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);
const std::string boundedDb = EmulatedPlatform::databaseName(0, ReadPolicy::Bounded);

using AccountKeys = std::map<std::string, std::set<std::string>>;

/// Time in which a version written to the store takes effect.
constexpr milliseconds applyTime { 200 };

Task<void> put(PoolerFixture& f, AccountKeys keys)
{
    f.platform().accountKeys() = std::move(keys);
    f.platform().putConfig();
    co_await f.sleep(applyTime);
}

/// Two accounts; the bounded route is public.
Task<void> setUp(PoolerFixture& f)
{
    f.platform().config().routes.at(boundedDb).isPublic = true;
    AccountKeys keys;
    keys["acme"] = { "key-a", "key-a2" };
    keys["bolt"] = { "key-b" };
    co_await put(f, std::move(keys));
}

std::string accountThatRan(PoolerFixture& f, const std::string& id)
{
    const auto ran = f.platform().ran();
    const auto it = std::ranges::find(ran, id, &RanStatement::id);
    return it == ran.end() ? "" : it->account;
}

Task<std::string> peerText(PoolerFixture& f, int host, std::string path)
{
    HttpClient client(f.io(), f.peerAddress(host));
    HttpCall call;
    call.target = std::move(path);
    const auto reply = co_await client.call(std::move(call), milliseconds(500));
    co_return reply.body;
}

} // namespace

TEST_GROUP(ClientAccount) {};

TEST(ClientAccount, DatabasesAreToldTheAccountOfTheKey)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await setUp(f);
        struct Case {
            std::string database;
            std::string key;
            std::string account; ///< Empty: refused.
        };
        const std::vector<Case> cases { { primaryDb, "key-a", "acme" }, { primaryDb, "key-a2", "acme" }, { primaryDb, "key-b", "bolt" }, { primaryDb, "unknown", "" }, { primaryDb, "", "" }, { primaryDb, "acme", "" }, { boundedDb, "key-b", "bolt" }, { boundedDb, "unknown", "host-0" }, { boundedDb, "", "host-0" } };
        for (const auto& [database, key, account] : cases) {
            TestClient client(f.io());
            const auto started = co_await client.start(f.clientAddress(), database, key);
            STRCMP_EQUAL_TEXT(account.empty() ? "NOAUTH" : "", started.code().c_str(), key.c_str());
            const auto answer = co_await client.query("READ item");
            CHECK_EQUAL_TEXT(!account.empty(), answer.isSuccess(), key.c_str());
            STRCMP_EQUAL_TEXT(account.c_str(), accountThatRan(f, client.lastId()).c_str(), key.c_str());
        }
        const auto state = co_await peerText(f, 0, "/v1/state");
        CHECK_TRUE(state.find("acme") != std::string::npos);
        CHECK_TRUE(state.find("key-a") == std::string::npos);
    }(fixture));
}

TEST(ClientAccount, AnOpenSessionOfAWithdrawnKeyIsRefusedAtItsNextOperationAndClosed)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await setUp(f);
        const AccountKeys withdrawn { { "acme", { "key-a2" } } };
        const AccountKeys givenBack { { "acme", { "key-a", "key-a2" } } };
        const std::vector<std::string> texts { "READ item", "BEGIN", "SET name value", "ROLLBACK" };
        for (const auto& text : texts) {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(), primaryDb, "key-a");
            co_await client.query("READ item");
            co_await put(f, withdrawn);
            const auto refused = co_await client.query(text);
            STRCMP_EQUAL_TEXT("NOAUTH", refused.code().c_str(), text.c_str());
            const auto closed = co_await client.query("READ item");
            STRCMP_EQUAL_TEXT("", closed.ready.c_str(), text.c_str());
            co_await put(f, givenBack);
        }
    }(fixture));
}

TEST(ClientAccount, ATransactionOfAWithdrawnKeyGoesOnForTwoSeconds)
{
    // A host that has not listed the hosts yet opens one connection to each database, so that each client has its own.
    EmulatedPlatform::Shape shape;
    shape.services = 2;
    PoolerFixture fixture(shape);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await setUp(f);
        TestClient quick(f.io());
        TestClient slow(f.io());
        co_await quick.start(f.clientAddress(), primaryDb, "key-a");
        co_await slow.start(f.clientAddress(), EmulatedPlatform::databaseName(1, ReadPolicy::Primary), "key-a");
        const std::vector<TestClient*> clients { &quick, &slow };
        for (auto* client : clients) {
            co_await client->query("BEGIN");
            const auto written = co_await client->query("WRITE item x");
            CHECK_TRUE(written.isSuccess());
        }
        const AccountKeys withdrawn { { "acme", { "key-a2" } } };
        co_await put(f, withdrawn);
        const auto written = co_await quick.query("WRITE item y");
        CHECK_TRUE(written.isSuccess());
        STRCMP_EQUAL("acme", accountThatRan(f, quick.lastId()).c_str());
        const auto committed = co_await quick.query("COMMIT");
        CHECK_TRUE(committed.isSuccess());
        const auto refused = co_await quick.query("READ item");
        STRCMP_EQUAL("NOAUTH", refused.code().c_str());
        co_await f.sleep(milliseconds(1000));
        const auto stillOpen = co_await slow.query("WRITE other z");
        CHECK_TRUE(stillOpen.isSuccess());
        co_await f.sleep(milliseconds(1000));
        // The connection is free again before the client sends anything.
        const auto state = co_await f.state(0);
        for (const auto& endpoint : state.at("services").at("service-1").at("endpoints"))
            LONGS_EQUAL(0, endpoint.at("inUse").get<int>());
        const auto aborted = co_await slow.query("WRITE other z");
        STRCMP_EQUAL("ABORTED", aborted.code().c_str());
        CHECK_EQUAL('E', aborted.state());
        const auto rolledBack = co_await slow.query("ROLLBACK");
        CHECK_TRUE(rolledBack.isSuccess());
        const auto ended = co_await slow.query("BEGIN");
        STRCMP_EQUAL("NOAUTH", ended.code().c_str());
    }(fixture));
    fixture.checkTransactions();
}

// Guards against a statement that runs although its client's key or account changed while it was queued.
TEST(ClientAccount, AQueuedStatementOfAChangedKeyDoesNotRun)
{
    for (const bool isMoved : { false, true }) {
        EmulatedPlatform::Shape shape;
        shape.slots = 1;
        shape.maxConnections = 1;
        shape.work = milliseconds(600);
        PoolerFixture fixture(shape);
        fixture.run([](PoolerFixture& f, bool moved) -> Task<void> {
            co_await setUp(f);
            f.platform().config().routes.at(primaryDb).targetLatency = milliseconds(3000);
            f.platform().config().routes.at(primaryDb).statementTimeout = milliseconds(3000);
            f.platform().putConfig();
            co_await f.sleep(applyTime);
            TestClient holder(f.io());
            TestClient queued(f.io());
            co_await holder.start(f.clientAddress(), primaryDb, "key-b");
            co_await queued.start(f.clientAddress(), primaryDb, "key-a");
            asio::co_spawn(f.io(), holder.query("WRITE item x"), asio::detached);
            co_await f.sleep(milliseconds(100));
            std::optional<TestClient::Answer> answer;
            asio::co_spawn(f.io(), queued.query("WRITE other x"), [&answer](std::exception_ptr, TestClient::Answer result) { answer = std::move(result); });
            co_await f.sleep(milliseconds(50));
            AccountKeys keys;
            keys["bolt"] = { "key-b" };
            if (moved)
                keys["bolt"].insert("key-a");
            co_await put(f, std::move(keys));
            while (!answer)
                co_await f.sleep(milliseconds(20));
            STRCMP_EQUAL(moved ? "BUSY" : "NOAUTH", answer->code().c_str());
            STRCMP_EQUAL("", accountThatRan(f, queued.lastId()).c_str());
            const auto next = co_await queued.query("WRITE other y");
            STRCMP_EQUAL(moved ? "bolt" : "", accountThatRan(f, queued.lastId()).c_str());
        }(fixture, isMoved));
    }
}

// A host that cannot reach the store decides as the others, and sees no key.
TEST(ClientAccount, AHostThatKnowsTheConfigurationFromAPeerOnly)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await setUp(f);
        const auto shared = co_await peerText(f, 0, "/v1/known?config=0");
        CHECK_TRUE(shared.find("acme") != std::string::npos);
        CHECK_TRUE(shared.find("key-") == std::string::npos);
        f.platform().store().behaviour().isDown = true;
        f.startHost(1);
        co_await f.waitUntilReady(1);
        TestClient client(f.io());
        co_await client.start(f.clientAddress(1), primaryDb, "key-a");
        const auto written = co_await client.query("WRITE item x");
        CHECK_TRUE(written.isSuccess());
        STRCMP_EQUAL("acme", accountThatRan(f, client.lastId()).c_str());
        TestClient unknown(f.io());
        const auto refused = co_await unknown.start(f.clientAddress(1), primaryDb, "key-c");
        STRCMP_EQUAL("NOAUTH", refused.code().c_str());
    }(fixture));
}

// The most severe fault there is: two accounts on one database connection, here on connections that one host lends.
TEST(ClientAccount, LentConnectionsBelongToOneAccount)
{
    EmulatedPlatform::Shape shape;
    shape.maxConnections = 5;
    PoolerFixture fixture(shape, 8);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await setUp(f);
        co_await f.sleep(milliseconds(500));
        const std::vector<std::pair<std::string, std::string>> clients { { "key-a", "acme" }, { "key-b", "bolt" }, { "unknown", "" } };
        for (int n = 0; n < 48; ++n) {
            const auto& [key, account] = clients[static_cast<std::size_t>(n) % clients.size()];
            const int host = n % 8;
            TestClient client(f.io());
            co_await client.start(f.clientAddress(host), boundedDb, key);
            const auto answer = co_await client.query("READ item");
            CHECK_TRUE(answer.isSuccess());
            const auto told = accountThatRan(f, client.lastId());
            CHECK_TRUE_TEXT(account.empty() ? told.starts_with("host-") : told == account, told.c_str());
        }
        std::map<std::pair<std::string, std::uint64_t>, std::string> owners;
        for (const auto& ran : f.platform().ran()) {
            const auto owner = owners.try_emplace({ ran.database, ran.connection }, ran.account).first->second;
            STRCMP_EQUAL(owner.c_str(), ran.account.c_str());
        }
    }(fixture));
}
