#include "SettingsFile.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace kumquatbank;

TEST_GROUP(SettingsFile)
{
    std::filesystem::path path = std::filesystem::temp_directory_path() / fmt::format("kumquatbank-settings-{}.json", getpid());
    SettingsFile file { path.string() };

    void setup() override { write(PoolerSettings::example()); }
    void teardown() override { std::filesystem::remove(path); }

    void write(const std::string& text) const { std::ofstream(path) << text; }

    /// '-' if the file counts as unchanged, 'v' for valid settings, 'f' for a failure.
    char check()
    {
        const auto loaded = file.loadIfChanged();
        return !loaded ? '-' : *loaded ? 'v'
                                       : 'f';
    }
};

// Guards against a failure that is logged with each check, and against one after which the file is not read again.
TEST(SettingsFile, EachVersionIsReportedOnceValidOrNot)
{
    const auto text = PoolerSettings::example();
    CHECK_EQUAL('v', check());
    CHECK_EQUAL('-', check());
    write(text.substr(0, text.size() / 2));
    CHECK_EQUAL('f', check());
    CHECK_EQUAL('-', check());
    std::filesystem::remove(path);
    CHECK_EQUAL('f', check());
    CHECK_EQUAL('-', check());
    write(text);
    CHECK_EQUAL('v', check());
    CHECK_EQUAL('-', check());
}

// Guards against a SIGHUP that does not read an unchanged file, and against a second reload of what it has read.
TEST(SettingsFile, LoadAlwaysReadsAndCountsAsACheck)
{
    CHECK_TRUE(file.load().has_value());
    CHECK_TRUE(file.load().has_value());
    CHECK_EQUAL('-', check());
}

// Guards against a process that hangs because its settings came from a pipe, as in --settings <(command).
TEST(SettingsFile, APipeIsNotReadAgain)
{
    std::filesystem::remove(path);
    CHECK_EQUAL(0, mkfifo(path.c_str(), S_IRUSR | S_IWUSR));
    CHECK_EQUAL('-', check());
}
