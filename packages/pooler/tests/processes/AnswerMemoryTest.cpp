#include "HostProcess.h"
#include "OddEntries.h"
#include "PoolerFixture.h"
#include "kumquatbank/adapter/StoreCodec.h"
#include "kumquatbank/engine/MemoryBudget.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);

constexpr std::size_t longEntryBytes = 1'000'000;

Task<std::string> get(PoolerFixture& f, HostAddress address, std::string target)
{
    HttpClient client(f.io(), address);
    HttpCall call;
    call.target = std::move(target);
    const auto reply = co_await client.call(std::move(call), milliseconds(500));
    co_return reply.isSuccess() ? reply.body : std::string();
}

/// Waits until the host serves writes; fails the test by its time limit otherwise.
Task<void> awaitService(PoolerFixture& f, const HostProcess& host)
{
    while (true) {
        TestClient client(f.io());
        const auto started = co_await client.start(host.clientAddress(), primaryDb);
        if (!started.ready.empty()) {
            const auto answer = co_await client.query("WRITE item x");
            if (answer.isSuccess())
                co_return;
        }
        co_await f.sleep(milliseconds(50));
    }
}

/// Puts @p count entries of another writer beside the databases, each with a spec from @p specs in turn.
void putEntries(PoolerFixture& f, const std::string& kind, int count, const std::vector<OddEntry>& specs)
{
    for (int n = 0; n < count; ++n)
        f.platform().store().putText(kind, fmt::format("x-note-{:06}", n), specs[static_cast<std::size_t>(n) % specs.size()].spec);
}

/// Peak memory of a host that starts beside @p count entries of another writer, and lists them again later, in MB.
double measure(int count, std::size_t bytes)
{
    PoolerFixture fixture({}, 0);
    putEntries(fixture, std::string(StoreCodec::endpointKind), count, longEntries("service-0", bytes));
    const HostProcess host(fixture.platform());
    fixture.run([](PoolerFixture& f, const HostProcess& measured) -> Task<void> {
        co_await awaitService(f, measured);
        f.platform().store().forgetHistory();
        co_await f.sleep(milliseconds(1500));
        co_await awaitService(f, measured);
    }(fixture, host),
        std::chrono::seconds(30));
    return host.peakMb();
}

} // namespace

TEST_GROUP(AnswerMemory) {};

// Guards against entries of another writer that take more memory than a host has, whatever their number, length and form: the
// process was ended while it listed the databases, as often as it was started.
TEST(AnswerMemory, EntriesOfAnotherWriterFitIntoTheSmallestHost)
{
    const auto base = measure(0, 0);
    for (const auto& [count, bytes] : { std::pair(7, longEntryBytes), std::pair(42, longEntryBytes), std::pair(700, std::size_t { 10'000 }), std::pair(7000, std::size_t { 300 }) }) {
        const auto peak = measure(count, bytes);
        UT_PRINT(fmt::format("{} entries of {} bytes: peak {:.1f} MB, {:.1f} MB without", count, bytes, peak, base).c_str());
        CHECK_TRUE_TEXT(peak < HostProcess::memoryMb, fmt::format("{:.1f} MB for {} entries of {} bytes", peak, count, bytes).c_str());
    }
}

// Guards against readable entries of services that nobody uses, which would take memory without a bound.
TEST(AnswerMemory, ReadableEntriesOfUnknownServicesAreBounded)
{
    PoolerFixture fixture({}, 0);
    const auto entry = StoreCodec::formatEndpoint({ "", "service-of-others", { "127.0.0.9", 9 }, "dc-0", 1, false, EndpointRole::Replica, 1, 1 }).dump();
    putEntries(fixture, std::string(StoreCodec::endpointKind), 60'000, { { "", entry } });
    const HostProcess host(fixture.platform());
    fixture.run([](PoolerFixture& f, const HostProcess& measured) -> Task<void> {
        co_await awaitService(f, measured);
    }(fixture, host),
        std::chrono::seconds(60));
    UT_PRINT(fmt::format("60,000 entries: peak {:.1f} MB", host.peakMb()).c_str());
    CHECK_TRUE(host.peakMb() < HostProcess::memoryMb);
}

// Guards against a database that is not used, because its entry is long.
TEST(AnswerMemory, ALongEntryOfADatabaseIsUsed)
{
    PoolerFixture fixture;
    fixture.run([](PoolerFixture& f) -> Task<void> {
        f.platform().store().putText(std::string(StoreCodec::endpointKind), "i-0-9", entryWithLongNote("service-0", longEntryBytes));
        const auto until = BootClock::now() + milliseconds(3000);
        bool isUsed = false;
        while (!isUsed && BootClock::now() < until) {
            co_await f.sleep(milliseconds(50));
            const auto state = co_await f.state(0);
            isUsed = state.at("services").at("service-0").at("endpoints").contains("i-0-9");
        }
        CHECK_TRUE(isUsed);
    }(fixture));
}

// Guards against long objects beside what other readers read: hosts, the configuration, and decisions about promotions.
TEST(AnswerMemory, LongObjectsOfOtherKindsFitIntoTheSmallestHost)
{
    PoolerFixture fixture({}, 0);
    const auto entries = longEntries("service-0", longEntryBytes);
    for (const auto* kind : { "kumquatbank-hosts", "config" })
        putEntries(fixture, kind, 21, entries);
    fixture.platform().store().putText("kumquatbank-promotions", "service-0", entries.front().spec);
    const HostProcess host(fixture.platform());
    fixture.run([](PoolerFixture& f, const HostProcess& measured) -> Task<void> {
        co_await awaitService(f, measured);
        f.platform().primary(0).crash();
        co_await awaitService(f, measured);
    }(fixture, host),
        std::chrono::seconds(30));
    UT_PRINT(fmt::format("hosts, configuration and decisions: peak {:.1f} MB", host.peakMb()).c_str());
    CHECK_TRUE(host.peakMb() < HostProcess::memoryMb);
}

// Guards against a watch that brings more than there is memory for, again and again: the changes are then read as a listing.
TEST(AnswerMemory, AWatchWithoutRoomIsReplacedByAListing)
{
    PoolerFixture fixture({}, 0);
    const HostProcess host(fixture.platform());
    fixture.run([](PoolerFixture& f, const HostProcess& measured) -> Task<void> {
        co_await awaitService(f, measured);
        // 110 MB of changes in one answer. The emulated store counts it in the budget of this process.
        MemoryBudget::ofProcess().setProcessMemory(1024);
        putEntries(f, std::string(StoreCodec::endpointKind), 110, longEntries("service-0", longEntryBytes));
        f.platform().announce(f.platform().database(0, 2), true);
        bool isFollowed = false;
        while (!isFollowed) {
            co_await f.sleep(milliseconds(100));
            const auto text = co_await get(f, measured.metricsAddress(), "/state");
            const auto state = nlohmann::json::parse(text, nullptr, false);
            isFollowed = state.is_object() && state.at("services").at("service-0").at("endpoints").at("i-0-2").at("draining") == true;
        }
        const auto metrics = co_await get(f, measured.metricsAddress(), "/metrics");
        CHECK_TRUE(metrics.find("kumquatbank_answers_without_room_total{reader=\"endpoints\"}") != std::string::npos);
        CHECK_TRUE(metrics.find("kumquatbank_answers_without_room_total{reader=\"endpoints\"} 0") == std::string::npos);
        co_await awaitService(f, measured);
    }(fixture, host),
        std::chrono::seconds(30));
    UT_PRINT(fmt::format("a watch of 110 MB: peak {:.1f} MB", host.peakMb()).c_str());
    CHECK_TRUE(host.peakMb() < HostProcess::memoryMb);
}

// Guards against a peer whose answer takes more memory than a host has.
TEST(AnswerMemory, AnAnswerOfAPeerFitsIntoTheSmallestHost)
{
    PoolerFixture fixture({}, 0);
    const auto ip = fixture.platform().storeAddress().ip;
    const HostAddress peer { ip, 39500 };
    const auto body = R"({"known":{"endpointRevision":99,"storeEra":1,"endpoints":)" + longEntries("service-0", 8 * longEntryBytes).front().spec + "}}";
    int answered = 0;
    const HttpListener listener(fixture.io(), peer, [&](HttpRequest) -> Task<HttpResponse> {
        ++answered;
        co_return HttpResponse { 200, body };
    });
    fixture.platform().store().put("kumquatbank-hosts", "long-peer", { { "peerAddress", peer.toString() }, { "dataCentre", "dc-0" }, { "region", "region" } });
    const HostProcess host(fixture.platform());
    fixture.run([](PoolerFixture& f, const HostProcess& measured, const int& answers) -> Task<void> {
        co_await awaitService(f, measured);
        // Until the host has listed the hosts.
        co_await f.sleep(milliseconds(2500));
        f.platform().store().behaviour().isDown = true;
        while (answers < 3)
            co_await f.sleep(milliseconds(50));
        co_await awaitService(f, measured);
    }(fixture, host, answered),
        std::chrono::seconds(30));
    UT_PRINT(fmt::format("answers of a peer: peak {:.1f} MB", host.peakMb()).c_str());
    CHECK_TRUE(host.peakMb() < HostProcess::memoryMb);
}
