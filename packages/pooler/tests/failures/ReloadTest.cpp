#include "PoolerFixture.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fmt/format.h>
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
};

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
