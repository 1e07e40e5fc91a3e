#include "kumquatbank/pooler/PoolerSettings.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

nlohmann::json example() { return nlohmann::json::parse(PoolerSettings::example(), nullptr, true, true); }

/// The error for the example with one key changed; empty if there is none.
std::string errorWith(const std::string& key, const nlohmann::json& value)
{
    auto json = example();
    json[key] = value;
    const auto settings = PoolerSettings::parse(json.dump(), "test");
    return settings ? std::string() : settings.error().message;
}

} // namespace

TEST_GROUP(PoolerSettings) {};

TEST(PoolerSettings, TheExampleIsValid)
{
    const auto settings = PoolerSettings::parse(PoolerSettings::example(), "example");
    CHECK_TRUE(settings.has_value());
    LONGS_EQUAL(1, settings->seeds.size());
    LONGS_EQUAL(7440, settings->seeds.front().port);
}

// Guards against an invalid value that is silently replaced by the default.
TEST(PoolerSettings, AWrongValueIsRefusedWithItsKey)
{
    for (const auto& [key, value] : std::vector<std::pair<std::string, nlohmann::json>> {
             { "host", "" }, { "host", 7 }, { "clientAddress", "127.0.0.1" }, { "peerAddress", "127.0.0.1:0" },
             { "seeds", "127.0.0.1:7440" }, { "seeds", { "127.0.0.1:7440", "nowhere" } }, { "seeds", { 7440 } },
             { "processorShare", 0 }, { "processorShare", "0.5" }, { "processorSpeed", 0 }, { "graceSeconds", 0 }, { "graceSeconds", "6" }, { "logLinesPerSecond", -1 }, { "endpointPacing", 1 }, { "endpointPacing", "true" }, { "memoryMb", 31 }, { "memoryMb", "160" }, { "maxDescriptors", 263 }, { "unknownKey", 1 } })
        STRCMP_CONTAINS(("key '" + key + "'").c_str(), errorWith(key, value).c_str());
}

// Without the limits of its machine, a process keeps to those of the smallest host and to what the system grants.
TEST(PoolerSettings, LimitsMayBeMissing)
{
    auto json = example();
    json.erase("memoryMb");
    json.erase("maxDescriptors");
    const auto settings = PoolerSettings::parse(json.dump(), "test");
    LONGS_EQUAL(160, settings->memoryMb);
    CHECK_FALSE(settings->maxDescriptors.has_value());
}

TEST(PoolerSettings, SeedsMayBeEmptyOrMissing)
{
    STRCMP_EQUAL("", errorWith("seeds", nlohmann::json::array()).c_str());
    auto json = example();
    json.erase("seeds");
    CHECK_TRUE(PoolerSettings::parse(json.dump(), "test").has_value());
}

// Guards against a promise to the operators that is read in another unit, or not at all.
TEST(PoolerSettings, LimitBoundIsRead)
{
    auto json = example();
    json["limitWindowSeconds"] = 7;
    json["limitOverage"] = 0.25;
    json["limitSlack"] = 0;
    const auto settings = PoolerSettings::parse(json.dump(), "test");
    const LimitBound expected { std::chrono::seconds(7), 0.25, 0 };
    CHECK_TRUE(settings && settings->limitBound == expected);
    json["limitOverage"] = -0.1;
    CHECK_FALSE(PoolerSettings::parse(json.dump(), "test").has_value());
}
