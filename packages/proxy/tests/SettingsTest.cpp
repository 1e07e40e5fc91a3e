#include "kumquatbank/proxy/Settings.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace kumquatbank;

namespace {

nlohmann::json validSettings()
{
    return { { "deployment", "stenozapis" }, { "place", "lj-tivoli" }, { "callerAddress", "127.0.0.1:7100" },
        { "peerAddress", "127.0.0.1:7200" }, { "metricsAddress", "127.0.0.1:7300" },
        { "platformAddress", "127.0.0.1:7000" } };
}

void checkMessage(const nlohmann::json& settings, const std::string& expected)
{
    const auto parsed = Settings::parse(settings.dump(), "file.json");
    CHECK_FALSE(parsed.has_value());
    STRCMP_EQUAL(expected.c_str(), parsed.error().message.c_str());
}

nlohmann::json withKey(const std::string& key, const nlohmann::json& value)
{
    auto settings = validSettings();
    settings[key] = value;
    return settings;
}

} // namespace

TEST_GROUP(Settings) {};

// Guards against --print-defaults printing settings that the program rejects.
TEST(Settings, ExampleIsValid) { CHECK_TRUE(Settings::parse(Settings::example(), "example").has_value()); }

TEST(Settings, ReadsValues)
{
    auto json = withKey("seeds", { "127.0.0.1:7201" });
    json["callerThreads"] = 64;
    const auto settings = Settings::parse(json.dump(), "file.json");
    CHECK_TRUE(settings.has_value());
    LONGS_EQUAL(64, settings->callerThreads);
    STRCMP_EQUAL("127.0.0.1:7201", settings->seeds.at(0).toString().c_str());
}

// Guards against an invalid setting being ignored, or reported without file, key, value and allowed values.
TEST(Settings, NamesFileKeyValueAndWhatIsAllowed)
{
    checkMessage(withKey("extra", 1),
        "file.json: key 'extra', value 1: unknown key; allowed are the keys shown by --print-defaults");
    checkMessage(withKey("callerThreads", 1),
        "file.json: key 'callerThreads', value 1: must be a whole number from 32 to 4096");
    checkMessage(withKey("callerThreads", "many"),
        "file.json: key 'callerThreads', value \"many\": must be a whole number from 32 to 4096");
    checkMessage(withKey("seeds", { "127.0.0.1:7200", 5 }),
        "file.json: key 'seeds[1]', value 5: must be an address of the form ip:port");
    checkMessage(withKey("logLevels", { { "router", "loud" } }),
        "file.json: key 'logLevels.router', value \"loud\": must be trace, debug, info, warn, error or off");
    checkMessage(withKey("peerAddress", "host:7200"),
        "file.json: key 'peerAddress', value \"host:7200\": must be an address of the form ip:port, port 1 to 65535");
    auto missing = validSettings();
    missing.erase("place");
    checkMessage(missing, "file.json: key 'place', value (missing): must be a name of 1 to 64 characters");
}

TEST(Settings, RefusesTextThatIsNotJson)
{
    const auto parsed = Settings::parse("{", "file.json");
    STRCMP_EQUAL("file.json: not valid JSON", parsed.error().message.c_str());
}
