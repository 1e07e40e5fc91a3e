#include "kumquatbank/causes/causes.h"
#include "CauseObjectWriter.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace kumquatbank;

namespace {

using std::chrono::hours;
using std::chrono::minutes;

const auto hour = std::chrono::floor<hours>(WallClock::now()) - hours(3);

CauseKey makeKey(const std::string& entry, Cause cause)
{
    return { entry, entry + "-owner", Rank::Normal, "db-1", "dfw-a", cause };
}

HostIdentity makeProcess(std::uint64_t incarnation)
{
    return { HostAddress { "127.0.0.1", 7100 }, incarnation, "dfw-a" };
}

/// Conditional updates of the platform's store, with its failures.
class FakeStore {
public:
    bool isDown = false;
    int answersToLose = 0;
    std::map<std::string, PlatformObject> objects;

    Result<PlatformObject> get(const std::string& kind, const std::string& name)
    {
        if (isDown)
            return notRun(FailureCode::Unavailable, "down");
        const auto it = objects.find(kind + "/" + name);
        if (it == objects.end())
            return notRun(FailureCode::NotFound, name);
        return it->second;
    }

    Result<PlatformObject> put(
        const std::string& kind, const std::string& name, const nlohmann::json& value, std::uint64_t expected)
    {
        if (isDown)
            return notRun(FailureCode::Unavailable, "down");
        auto& object = objects[kind + "/" + name];
        if (object.version != expected)
            return notRun(FailureCode::Conflict, name);
        object.version += 1;
        object.value = value;
        if (answersToLose > 0) {
            --answersToLose;
            return mayHaveRun(FailureCode::ConnectionLost, "lost");
        }
        return object;
    }

    CauseReport report() const
    {
        CauseReport result;
        for (const auto& [name, object] : objects)
            result.add(object.value.get<CauseBatch>(), hour, hour + hours(9));
        return result;
    }
};

using Writer = CauseObjectWriter<FakeStore>;

} // namespace

TEST_GROUP(Causes)
{
    FakeStore store;
    CauseLedger ledger;
    CauseKey key = makeKey("proof", Cause::RankQueue);
};

// Guards against counts that are lost with a restart, or counted twice because object and live process overlap.
TEST(Causes, RestartsAndLiveCopiesCountOnce)
{
    Writer firstRun(ledger, store, makeProcess(1));
    ledger.recordRefusal(key, Milliseconds(100), hour);
    CHECK_TRUE(firstRun.flush(hour + minutes(1)));
    ledger.recordRefusal(key, Milliseconds(100), hour + minutes(1));
    CHECK_TRUE(firstRun.flush(hour + minutes(2)));
    CHECK_EQUAL(1, store.objects.size());

    CauseLedger secondLedger;
    Writer secondRun(secondLedger, store, makeProcess(2));
    secondLedger.recordDelay(key, Milliseconds(50), hour + minutes(1));
    CHECK_TRUE(secondRun.flush(hour + minutes(2)));
    secondLedger.recordDelay(key, Milliseconds(50), hour + minutes(1)); // not written yet

    auto report = store.report();
    report.add({ makeProcess(2), secondLedger.rows(hour, hour + hours(1)), 0 }, hour, hour + hours(1));
    CHECK_EQUAL(2, report.processCount());
    const auto totals = report.totals();
    CHECK_EQUAL(1, totals.size());
    CHECK_EQUAL(2, totals.front().refused);
    CHECK_EQUAL(2, totals.front().delayed);
    CHECK_EQUAL(300, totals.front().lost.count());
}

// Guards against one fault hiding another that overlaps it: each keeps its own cause, entry and lost time.
TEST(Causes, OverlappingFaultsKeepTheirTrueCauses)
{
    Writer writer(ledger, store, makeProcess(1));
    for (int n = 0; n < 10; ++n) {
        const auto at = hour + minutes(n);
        ledger.recordRefusal(makeKey("save", Cause::PrimaryFailover), Milliseconds(2000), at);
        ledger.recordRefusal(makeKey("lookup", Cause::RankQueue), Milliseconds(10), at);
        ledger.recordDelay(makeKey("lookup", Cause::PrimaryFailover), Milliseconds(300), at);
    }
    CHECK_TRUE(writer.flush(hour + minutes(10)));
    const auto totals = store.report().totals();
    CHECK_EQUAL(3, totals.size());
    CHECK_TRUE(totals[0].key == makeKey("save", Cause::PrimaryFailover));
    CHECK_TRUE(totals[1].key == makeKey("lookup", Cause::PrimaryFailover));
    CHECK_EQUAL(10, totals[1].delayed);
    CHECK_TRUE(totals[2].key == makeKey("lookup", Cause::RankQueue));
    CHECK_EQUAL(10, totals[2].refused);
}

// Guards against a writer that never gets past a write whose answer was lost.
TEST(Causes, ContinuesAfterALostAnswer)
{
    Writer writer(ledger, store, makeProcess(1));
    for (int n = 0; n < 3; ++n) {
        store.answersToLose = 1;
        ledger.recordRefusal(key, Milliseconds(10), hour + minutes(n));
        CHECK_TRUE(writer.flush(hour + minutes(n + 1)));
    }
    const auto totals = store.report().totals();
    CHECK_EQUAL(3, totals.front().refused);
    CHECK_EQUAL(30, totals.front().lost.count());
}

// Guards against causes of a platform outage that are missing after it, over the change of an hour.
TEST(Causes, BuffersWhileThePlatformIsDown)
{
    Writer writer(ledger, store, makeProcess(1));
    store.isDown = true;
    for (int n = 0; n < 90; ++n) {
        ledger.recordRefusal(key, Milliseconds(1), hour + minutes(n));
        CHECK_FALSE(writer.flush(hour + minutes(n + 1)));
    }
    store.isDown = false;
    CHECK_TRUE(writer.flush(hour + minutes(91)));
    CHECK_EQUAL(2, store.objects.size());
    CHECK_EQUAL(90, store.report().totals().front().refused);
}

// Guards against unbounded memory, and against a full ledger that erases rows already saved in the object.
TEST(Causes, FullLedgerDropsSavedMinutesAndKeepsThemInTheObject)
{
    CauseLedger small(3);
    Writer writer(small, store, makeProcess(1));
    for (int n = 0; n < 30; ++n) {
        small.recordRefusal(key, Milliseconds(1), hour + minutes(n));
        CHECK_TRUE(writer.flush(hour + minutes(n + 1)));
        CHECK_TRUE(small.rows(hour, hour + hours(1)).size() <= 3);
    }
    CHECK_EQUAL(0, small.lostCount());
    CHECK_EQUAL(30, store.report().totals().front().refused);
}

// Guards against invalid rows that turn into wrong totals.
TEST(Causes, RefusesInvalidRows)
{
    nlohmann::json json = CauseRow { key, hour, 1, 2, Milliseconds(3) };
    const auto row = json.get<CauseRow>();
    CHECK_TRUE(row.key == key && row.minute == hour && row.refused == 1 && row.delayed == 2);
    json["rank"] = 4;
    CHECK_THROWS(std::exception, json.get<CauseRow>());
    json["rank"] = 1;
    json["cause"] = "weather";
    CHECK_THROWS(std::exception, json.get<CauseRow>());
}
