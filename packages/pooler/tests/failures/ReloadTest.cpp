#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string primaryDb = EmulatedPlatform::databaseName(0, ReadPolicy::Primary);

/// Interval at which a host looks for changed settings, and time for the calls to the former address to end.
constexpr milliseconds reloadTime { 4000 };

} // namespace

TEST_GROUP(Reload)
{
    std::filesystem::path folder = std::filesystem::temp_directory_path() / fmt::format("kumquatbank-reload-{}", getpid());

    void setup() override { std::filesystem::create_directory(folder); }
    void teardown() override { std::filesystem::remove_all(folder); }

    std::filesystem::path file(int host) const { return folder / fmt::format("host-{}.json", host); }
};

namespace {

/// Port offset of an address at which no store listens.
constexpr std::uint16_t unusedPortOffset = 100;

/// Host 1 has no other source than the store, at an address where nothing listens.
void useUnreachableStore(PoolerSettings& settings)
{
    if (settings.host != "host-1")
        return;
    settings.seeds.clear();
    settings.storeAddress.port += unusedPortOffset;
}

HostAddress unreachableStore(PoolerFixture& fixture)
{
    auto address = fixture.platform().storeAddress();
    address.port += unusedPortOffset;
    return address;
}

/// Changes a file without a change of its modification time, as by two writes in one tick of the file system's clock.
void changeWithinOneTick(const std::filesystem::path& file, const std::function<void()>& change)
{
    const auto time = std::filesystem::last_write_time(file);
    change();
    std::filesystem::last_write_time(file, time);
}

std::string readFile(const std::filesystem::path& file)
{
    std::ifstream in(file);
    return std::string(std::istreambuf_iterator<char>(in), {});
}

Task<void> expectReadyAfter(PoolerFixture& fixture, std::function<void()> change)
{
    co_await fixture.sleep(milliseconds(1500));
    const int before = co_await fixture.ready(1);
    CHECK_EQUAL(503, before);
    change();
    co_await fixture.sleep(reloadTime);
    const int after = co_await fixture.ready(1);
    CHECK_EQUAL(200, after);
}

} // namespace

// Guards against a process that ends with requests under way, because the client of the store was destroyed during its
// calls when the settings named another address.
TEST(Reload, AChangedStoreAddressLeavesCallsUnderWayAlone)
{
    PoolerFixture fixture;
    const HostAddress original = fixture.platform().storeAddress();
    const HostAddress further { original.ip, static_cast<std::uint16_t>(original.port + 100) };
    fixture.platform().store().listenAlso(further);
    fixture.useSettingsFiles(folder.string());
    fixture.writeSettings(1, original);
    fixture.startHost(1);
    fixture.run([](PoolerFixture& f, HostAddress first, HostAddress second) -> Task<void> {
        co_await f.waitUntilReady(1);
        for (int n = 0; n < 3; ++n) {
            f.writeSettings(1, n % 2 == 0 ? second : first);
            const auto until = BootClock::now() + reloadTime;
            while (BootClock::now() < until) {
                co_await f.writeUntilSuccess(primaryDb, "WRITE item x", 1);
                co_await f.sleep(milliseconds(20));
            }
            // The list is followed at the new address.
            f.platform().announce(f.platform().database(0, 2), n % 2 == 0);
            co_await f.sleep(milliseconds(1000));
            const auto state = co_await f.state(1);
            CHECK_EQUAL(n % 2 == 0, state.at("services").at("service-0").at("endpoints").at("i-0-2").at("draining").get<bool>());
        }
    }(fixture, original, further),
        std::chrono::seconds(40));
}

// Guards against a change that is never read, because the file has the same time and size as before.
TEST(Reload, AChangeWithTheSameTimeAndSizeIsRead)
{
    PoolerFixture fixture({}, 1, 3, true, 1, useUnreachableStore);
    fixture.useSettingsFiles(folder.string());
    fixture.writeSettings(1, unreachableStore(fixture));
    fixture.startHost(1);
    fixture.run(expectReadyAfter(fixture, [&] {
        changeWithinOneTick(file(1), [&] { fixture.writeSettings(1, fixture.platform().storeAddress()); });
    }));
}

// Guards against a file that is read half-written and not again once it is complete, because its time is the same.
TEST(Reload, AFileThatWasReadHalfWrittenIsReadAgain)
{
    PoolerFixture fixture({}, 1, 3, true, 1, useUnreachableStore);
    fixture.useSettingsFiles(folder.string());
    fixture.writeSettings(1, fixture.platform().storeAddress());
    const auto text = readFile(file(1));
    fixture.writeSettings(1, unreachableStore(fixture));
    fixture.startHost(1);
    fixture.run([](PoolerFixture& f, std::filesystem::path path, std::string whole) -> Task<void> {
        co_await f.sleep(milliseconds(200));
        std::ofstream(path) << whole.substr(0, whole.size() / 2);
        std::function<void()> complete = [path, whole] { changeWithinOneTick(path, [&] { std::ofstream(path) << whole; }); };
        co_await expectReadyAfter(f, complete);
    }(fixture, file(1), text));
}

// Guards against a change, or a SIGHUP, that is lost between the first reading of the file and the start of its checks.
TEST(Reload, AChangeDuringTheStartIsRead)
{
    PoolerFixture fixture({}, 1, 3, true, 1, useUnreachableStore);
    fixture.useSettingsFiles(folder.string());
    fixture.writeSettings(1, fixture.platform().storeAddress());
    // Starts with the settings that the file held before.
    fixture.startHost(1);
    fixture.run([](PoolerFixture& f) -> Task<void> {
        co_await f.sleep(reloadTime);
        const int status = co_await f.ready(1);
        CHECK_EQUAL(200, status);
    }(fixture));
}
