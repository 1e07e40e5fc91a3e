#include "LimitMessage.h"
#include "PoolerFixture.h"
#include "kumquatbank/engine/MemoryBudget.h"
#include "kumquatbank/routing/SessionState.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string database = EmulatedPlatform::databaseName(0, ReadPolicy::ReadYourWrites);

/// Fills the memory budget of the process, as answers that no client reads do.
class FullBudget {
public:
    FullBudget()
        : m_bytes(MemoryBudget::ofProcess().available(MemoryUse::Answer))
    {
        MemoryBudget::ofProcess().reserve(nullptr, MemoryUse::Answer, m_bytes, BootClock::now());
    }
    ~FullBudget() { MemoryBudget::ofProcess().release(nullptr, m_bytes); }
    FullBudget(const FullBudget&) = delete;
    FullBudget& operator=(const FullBudget&) = delete;

private:
    std::size_t m_bytes;
};

const std::string longWrite = "WRITE item " + std::string(6000, 'x');

} // namespace

TEST_GROUP(ClientLimits) {
    static PoolerFixture & makeFixture(std::function<void(PoolerSettings&)> adjust = {}, bool lends = false) { return *new PoolerFixture({}, 1, 1, lends, 1, std::move(adjust));
}
}
;

// Guards against a session without a bound, and against one that goes on for ever against its refusals.
TEST(ClientLimits, ASessionOverItsBoundIsRefusedAndThenClosed)
{
    auto& fixture = makeFixture();
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.waitUntilReady(0);
        TestClient client(f.io());
        co_await client.start(f.clientAddress(0), database);
        for (std::size_t n = 0; n < SessionState::maxNames; ++n) {
            auto text = fmt::format("SET name{} value", n);
            const auto set = co_await client.query(std::move(text));
            CHECK_TRUE(set.isSuccess());
        }
        const auto refused = co_await client.query("SET another value");
        STRCMP_EQUAL("TOOBIG", refused.code().c_str());
        const auto replaced = co_await client.query("SET name1 other");
        CHECK_TRUE(replaced.isSuccess());
        auto last = refused;
        int refusals = 0;
        while (!last.ready.empty() && refusals < 20) {
            last = co_await client.query("SET another value");
            ++refusals;
        }
        LONGS_EQUAL(17, refusals); // The answers to 16, and the end of the connection.
    }(fixture));
}

// Guards against a transaction that is committed without a statement that was refused for memory, and against a refusal that
// lasts longer than the shortage.
TEST(ClientLimits, ALongMessageWithoutRoomIsRefusedAndEndsItsTransaction)
{
    auto& fixture = makeFixture();
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.waitUntilReady(0);
        TestClient single(f.io());
        TestClient transaction(f.io());
        co_await single.start(f.clientAddress(0), database);
        co_await transaction.start(f.clientAddress(0), database);
        // Long values raise the memory that each later message needs, while they are read within the input buffer.
        const std::string value = "SET name " + std::string(5000, 'x');
        auto first = value;
        co_await single.query(std::move(first));
        auto second = value;
        co_await transaction.query(std::move(second));
        co_await transaction.query("BEGIN");
        co_await transaction.query("WRITE item x");
        {
            const FullBudget full;
            const auto busy = co_await single.query("WRITE other x");
            STRCMP_EQUAL("BUSY", busy.code().c_str());
            const auto aborted = co_await transaction.query("WRITE item y");
            STRCMP_EQUAL("ABORTED", aborted.code().c_str());
            BYTES_EQUAL('E', aborted.state());
        }
        const auto commit = co_await transaction.query("COMMIT");
        STRCMP_EQUAL("ABORTED", commit.code().c_str());
        auto text = longWrite;
        const auto served = co_await single.query(std::move(text));
        CHECK_TRUE(served.isSuccess());
    }(fixture));
}

// Guards against new connections that take the descriptors of the process, or the place of sessions that wait.
TEST(ClientLimits, SessionsThatWaitKeepTheirPlaceAndNewOnesAreRefused)
{
    auto& fixture = makeFixture([](PoolerSettings& settings) { settings.maxDescriptors = 264; });
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.waitUntilReady(0);
        std::vector<std::unique_ptr<TestClient>> sessions;
        TestClient::Answer started;
        while (sessions.size() < 100) {
            auto client = std::make_unique<TestClient>(f.io());
            started = co_await client->start(f.clientAddress(0), database);
            if (started.ready.empty())
                break;
            sessions.push_back(std::move(client));
        }
        LONGS_EQUAL(40, sessions.size());
        co_await f.sleep(milliseconds(1200));
        for (const auto& session : sessions) {
            const auto answer = co_await session->query("READ item");
            CHECK_TRUE(answer.isSuccess());
        }
        sessions.pop_back();
        co_await f.sleep(milliseconds(50));
        TestClient next(f.io());
        started = co_await next.start(f.clientAddress(0), database);
        CHECK_FALSE(started.ready.empty());
    }(fixture));
}

// Guards against sessions that keep the memory of the process for good, by many values and a transaction that has failed.
TEST(ClientLimits, ASessionWithAFailedTransactionIsClosedForMemory)
{
    auto& fixture = makeFixture();
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.waitUntilReady(0);
        TestClient failed(f.io());
        TestClient open(f.io());
        for (auto* client : { &failed, &open }) {
            co_await client->start(f.clientAddress(0), database);
            for (int n = 0; n < 10; ++n) {
                auto text = fmt::format("SET name{} {}", n, std::string(5000, 'x'));
                co_await client->query(std::move(text));
            }
            co_await client->query("BEGIN");
        }
        {
            const FullBudget full;
            const auto aborted = co_await failed.query("WRITE item y");
            STRCMP_EQUAL("ABORTED", aborted.code().c_str());
            TestClient next(f.io());
            co_await next.start(f.clientAddress(0), database);
        }
        const auto closed = co_await failed.query("ROLLBACK");
        CHECK_TRUE(closed.ready.empty());
        const auto kept = co_await open.query("WRITE item x");
        CHECK_TRUE(kept.isSuccess());
    }(fixture));
}

// Guards against a session that is closed for another connection inside a transaction, while its client sends a long statement,
// although a client outside one owes a message as well.
TEST(ClientLimits, ASessionInATransactionIsTheLastToMakeRoom)
{
    auto& fixture = makeFixture([](PoolerSettings& settings) { settings.maxDescriptors = 264; });
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.waitUntilReady(0);
        const auto until = BootClock::now() + milliseconds(10'000);
        std::vector<LineChannel> halves; // Clients that owe the rest of a message, the first one inside a transaction.
        std::string_view line;
        for (const std::string_view begin : { "QUERY 1 BEGIN\r\n", "" }) {
            auto channel = co_await LineChannel::connect(f.io(), f.clientAddress(0), WireDialect::maxMessageBytes, milliseconds(1000), milliseconds(3000));
            const auto text = fmt::format("START {} client\r\n{}QUERY 2 WRITE item x", database, begin);
            co_await channel->write(text, until);
            co_await channel->readLine(line, until);
            halves.push_back(std::move(*channel));
            co_await f.sleep(milliseconds(20));
        }
        std::vector<std::unique_ptr<TestClient>> sessions;
        while (sessions.size() < 38) {
            sessions.push_back(std::make_unique<TestClient>(f.io()));
            co_await sessions.back()->start(f.clientAddress(0), database);
        }
        co_await f.sleep(milliseconds(1200));
        TestClient next(f.io());
        const auto started = co_await next.start(f.clientAddress(0), database);
        CHECK_FALSE(started.ready.empty());
        const std::string rest = "\r\n";
        co_await halves.front().write(rest, until);
        for (const std::string_view expected : { "DONE", "READY", "DONE", "READY" }) {
            const auto status = co_await halves.front().readLine(line, until);
            CHECK_TRUE(status == ChannelStatus::Ok && line.starts_with(expected));
        }
        CHECK_TRUE(halves.back().peerState() != PeerState::Open);
    }(fixture));
}

// Guards against the close of a channel that carries limits all the time, as the one that has waited longest for a loan.
TEST(ClientLimits, AChannelInUseForLimitsKeepsItsPlaceAtTheLoanAddress)
{
    auto& fixture = makeFixture([](PoolerSettings& settings) { settings.maxDescriptors = 264; }, true);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.waitUntilReady(0);
        const auto until = BootClock::now() + milliseconds(10'000);
        std::vector<LineChannel> channels;
        std::string_view line;
        LimitRequest request;
        request.host = "other";
        const auto text = LimitMessage::formatRequest(request);
        for (int n = 0; n < 10; ++n) {
            auto channel = co_await LineChannel::connect(f.io(), f.loanAddress(0), WireDialect::maxMessageBytes, milliseconds(1000), milliseconds(3000));
            channels.push_back(std::move(*channel));
            co_await f.sleep(milliseconds(20));
            co_await channels.front().write(text, until);
            const auto status = co_await channels.front().readLine(line, until);
            CHECK_TRUE_TEXT(status == ChannelStatus::Ok, std::to_string(n).c_str());
        }
        CHECK_TRUE(channels.at(1).peerState() == PeerState::Ended);
    }(fixture));
}

// Guards against a request of 1 MiB between hosts, whose parsed form may take 80 MB.
TEST(ClientLimits, ALongRequestAtTheLoanAddressIsNotParsed)
{
    auto& fixture = makeFixture({}, true);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.waitUntilReady(0);
        const auto until = BootClock::now() + milliseconds(10'000);
        for (const std::size_t bytes : { 10'000, 200'000 }) {
            auto channel = co_await LineChannel::connect(f.io(), f.loanAddress(0), WireDialect::maxMessageBytes, milliseconds(1000), milliseconds(3000));
            LimitRequest request;
            request.host = std::string(bytes, 'x');
            const auto text = LimitMessage::formatRequest(request);
            co_await channel->write(text, until);
            std::string_view line;
            const auto status = co_await channel->readLine(line, until);
            CHECK_TRUE(status == (bytes == 10'000 ? ChannelStatus::Ok : ChannelStatus::Closed));
        }
    }(fixture));
}
