#include "CauseView.h"
#include "CommandFailure.h"
#include "FleetView.h"
#include "RouteView.h"
#include "TimeArgument.h"
#include "kumquatbank/ctl/ctl.h"

#include <CppUTest/TestHarness.h>
#include <sstream>
#include <vector>

using namespace kumquatbank;

namespace {

ProxyAnswer answerOf(nlohmann::json body) { return { { HostAddress { "127.0.0.1", 7000 }, {} }, std::move(body) }; }

nlohmann::json makeGroup(const std::string& database, bool isHolder, std::uint64_t claim, const std::string& holder)
{
    return { { "database", database }, { "isHolder", isHolder }, { "holder", holder }, { "claim", claim },
        { "term", 3 }, { "mayPromote", isHolder },
        { "endpoints",
            { { { "slot", 0 }, { "address", "127.0.0.1:1" }, { "place", "dfw-a" }, { "isPrimary", true },
                { "isReachable", true }, { "isLeaving", false }, { "term", 3 }, { "position", 17 },
                { "lagMs", 0 } } } } };
}

ExitCode runTool(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "kumquatctl");
    std::ostringstream out;
    std::ostringstream err;
    return runCommandLine(static_cast<int>(arguments.size()), arguments.data(), out, err);
}

} // namespace

TEST_GROUP(Views) {};

// Guards against showing a superseded holder as the current one.
TEST(Views, GroupsComeFromTheHolderWithTheGreatestClaim)
{
    const std::vector<ProxyAnswer> states {
        answerOf({ { "groups", { makeGroup("db-1", true, 4, "old"), makeGroup("db-2", false, 9, "other") } } }),
        answerOf({ { "groups", { makeGroup("db-1", true, 5, "new"), makeGroup("db-2", false, 2, "x") } } }),
        { { HostAddress { "127.0.0.1", 7001 }, {} }, notRun(FailureCode::Unreachable, "refused") },
    };
    const auto groups = mergeGroups(states);
    CHECK_EQUAL(2, groups.size());
    std::ostringstream out;
    printGroups(groups, out);
    STRCMP_CONTAINS("new", out.str().c_str());
    STRCMP_CONTAINS("none known", out.str().c_str());
    CHECK_TRUE(out.str().find("old") == std::string::npos);
    STRCMP_CONTAINS("3/17", out.str().c_str());
}

// Guards against members that are left out of --all, or read as if they were the proxy that was asked.
TEST(Views, FindsMembersByCallerAddressOrThroughTheSeed)
{
    const HostAddress seed { "127.0.0.1", 7000 };
    const auto targets = memberTargets(seed,
        { { "members",
            { { { "host", "127.0.0.1:7101" }, { "callerAddress", "127.0.0.1:7001" }, { "state", "alive" } },
                { { "host", "127.0.0.1:7102" }, { "state", "suspect" } },
                { { "host", "127.0.0.1:7103" }, { "state", "dead" } } } } });
    CHECK_EQUAL(2, targets.size());
    STRCMP_EQUAL("127.0.0.1:7001", targets[0].address.toString().c_str());
    STRCMP_EQUAL("", targets[0].peer.c_str());
    STRCMP_EQUAL("127.0.0.1:7000", targets[1].address.toString().c_str());
    STRCMP_EQUAL("127.0.0.1:7102", targets[1].peer.c_str());
}

// Guards against a report without the facts a manager needs, and against rows outside the asked time.
TEST(Views, CausesNameEntryOwnerAndLostTime)
{
    const auto minute = std::chrono::floor<std::chrono::minutes>(WallClock::now());
    const CauseKey key { "proof", "portal", Rank::Normal, "db-1", "dfw-a", Cause::EntryLimit };
    const HostIdentity process { HostAddress { "127.0.0.1", 7100 }, 1, "dfw-a" };
    const CauseBatch batch { process,
        { { key, minute, 3, 1, Milliseconds(2500) },
            { key, minute - std::chrono::hours(5), 100, 0, Milliseconds(90'000) } },
        0 };
    PlatformObject object;
    object.name = causeObjectName(std::chrono::floor<std::chrono::hours>(minute), process);
    object.value = batch;
    CauseReport report;
    const auto from = minute - std::chrono::hours(1);
    const auto to = minute + std::chrono::minutes(1);
    CHECK_EQUAL(0, addObjects(report, { object }, from, to));
    CHECK_EQUAL(1, addProxies(report, { answerOf(batch), answerOf({ { "rows", 7 } }) }, from, to));
    std::ostringstream out;
    printCauses(report, out);
    for (const auto* text : { "proof", "portal", "db-1", "dfw-a", "entry_limit", "2.5 s", "1 process runs" })
        STRCMP_CONTAINS(text, out.str().c_str());
}

// Guards against a wrong hour being reported because a time was misread.
TEST(Views, ReadsTimes)
{
    const WallTime now { std::chrono::seconds(1'796'353'200) }; // 2026-12-04T03:00:00Z
    CHECK_TRUE(parseTimeArgument("2026-12-04T03:00:00Z", now) == now);
    CHECK_TRUE(parseTimeArgument("2026-12-04T02:30", now) == now - std::chrono::minutes(30));
    CHECK_TRUE(parseTimeArgument("-1h", now) == now - std::chrono::hours(1));
    CHECK_TRUE(parseTimeArgument("now", now) == now);
    STRCMP_EQUAL("2026-12-04T03:00Z", formatMinute(std::chrono::floor<std::chrono::seconds>(now)).c_str());
    for (const auto* text : { "", "-", "-1", "-1y", "-h", "yesterday", "2026-13-04", "03:00" })
        CHECK_THROWS(CommandFailure, parseTimeArgument(text, now));
}

// Guards against exit codes that mislead scripts.
TEST(Views, ExitCodesFollowTheHelpText)
{
    CHECK_TRUE(runTool({ "--help" }) == ExitCode::Ok);
    CHECK_TRUE(runTool({ "--version" }) == ExitCode::Ok);
    CHECK_TRUE(runTool({}) == ExitCode::Usage);
    CHECK_TRUE(runTool({ "--unknown" }) == ExitCode::Usage);
    CHECK_TRUE(runTool({ "dance" }) == ExitCode::Usage);
    CHECK_TRUE(runTool({ "state", "--host", "nowhere" }) == ExitCode::Usage);
    CHECK_TRUE(runTool({ "causes", "--from", "tomorrow" }) == ExitCode::Usage);
    CHECK_TRUE(runTool({ "state", "--host", "127.0.0.1:1" }) == ExitCode::Unreachable);
    CHECK_TRUE(runTool({ "entry", "list", "--platform", "127.0.0.1:1" }) == ExitCode::Unreachable);
}

// Guards against an answer of another build, with fields missing, that ends the tool, and against a kind that is sent to
// the proxy unchecked.
TEST(Views, RoutesShowTheReasonOfEachCandidate)
{
    std::ostringstream out;
    printRoute({ { "outcome", "sent" }, { "route", { { "service", "s-3" } } }, { "expectedWaitMs", nullptr }, { "candidates", { { { "endpoint", "i-7" }, { "reason", "it is leaving" } } } } }, out);
    STRCMP_CONTAINS("outcome: sent", out.str().c_str());
    STRCMP_CONTAINS("route service: s-3", out.str().c_str());
    STRCMP_CONTAINS("i-7", out.str().c_str());
    STRCMP_CONTAINS("it is leaving", out.str().c_str());
    CHECK_TRUE(ExitCode::Usage == runTool({ "route", "db", "delete", "--host", "127.0.0.1:1" }));
    CHECK_TRUE(ExitCode::Unreachable == runTool({ "route", "db", "read", "--host", "127.0.0.1:1" }));
}
