#include "kumquatbank/causes/causes.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

const CauseKey lookupKey { "lookup", "web-team", Rank::Background, "db", "lj-tivoli", Cause::RankQueue };
const CauseKey saveKey { "save", "court-team", Rank::Urgent, "db", "lj-tivoli", Cause::PrimaryFailover };

WallTime now() { return WallClock::now(); }

CauseReport reportAround() { return { now() - std::chrono::minutes(2), now() + std::chrono::minutes(2) }; }

} // namespace

TEST_GROUP(Causes)
{
    CauseLedger ledger;
};

// Guards against counting twice what a process has saved and still reports itself.
TEST(Causes, SavedAndLiveRowsOfOneRunCountOnce)
{
    ledger.recordRefusal(lookupKey, Milliseconds(30));
    const auto saved = ledger.unsavedHours();
    ledger.recordRefusal(lookupKey, Milliseconds(20));
    auto report = reportAround();
    report.add({ "host-1", saved.at(0).rows });
    report.add({ "host-1", ledger.rows(now() - std::chrono::minutes(2), now() + std::chrono::minutes(2)) });
    const auto totals = report.totals();
    LONGS_EQUAL(1, totals.size());
    LONGS_EQUAL(2, totals[0].refused);
    LONGS_EQUAL(50, totals[0].lost.count());
}

// Guards against losing the counts of a process that was restarted within the window.
TEST(Causes, TwoRunsOfOneHostAddUp)
{
    ledger.recordRefusal(lookupKey, Milliseconds(30));
    const auto rows = ledger.unsavedHours().at(0).rows;
    auto report = reportAround();
    report.add({ "host-1", rows });
    report.add({ "host-2", rows });
    LONGS_EQUAL(2, report.totals().at(0).refused);
}

// Guards against a fault hiding behind another one in the same minute.
TEST(Causes, OverlappingCausesStayApartMostTimeLostFirst)
{
    for (int n = 0; n < 100; ++n)
        ledger.recordRefusal(lookupKey, Milliseconds(1));
    ledger.recordDelay(saveKey, Milliseconds(1500));
    auto report = reportAround();
    report.add({ "host-1", ledger.unsavedHours().at(0).rows });
    const auto totals = report.totals();
    LONGS_EQUAL(2, totals.size());
    CHECK_TRUE(totals[0].key == saveKey);
    LONGS_EQUAL(1, totals[0].delayed);
    LONGS_EQUAL(100, totals[1].refused);
}

// Guards against rows outside the window being blamed for the bad hour.
TEST(Causes, RowsOutsideTheWindowAreLeftOut)
{
    ledger.recordRefusal(lookupKey, Milliseconds(30));
    CauseReport report(now() - std::chrono::hours(2), now() - std::chrono::hours(1));
    report.add({ "host-1", ledger.unsavedHours().at(0).rows });
    LONGS_EQUAL(0, report.totals().size());
}

// Guards against a change between reading and saving an hour being taken for saved.
TEST(Causes, ChangeDuringASaveStaysUnsaved)
{
    ledger.recordRefusal(lookupKey, Milliseconds(1));
    const auto read = ledger.unsavedHours().at(0);
    ledger.recordRefusal(lookupKey, Milliseconds(1));
    ledger.markSaved(read);
    LONGS_EQUAL(1, ledger.unsavedHours().size());
    ledger.markSaved(ledger.unsavedHours().at(0));
    LONGS_EQUAL(0, ledger.unsavedHours().size());
}

// Guards against a flood with many keys growing the ledger past what one platform object holds.
TEST(Causes, RowsOfAnHourAreBoundedAndNoCountIsLost)
{
    auto key = lookupKey;
    for (int n = 0; n < 5000; ++n) {
        key.entry = "entry-" + std::to_string(n);
        ledger.recordRefusal(key, Milliseconds(1));
    }
    std::size_t refused = 0;
    for (const auto& hour : ledger.unsavedHours()) {
        CHECK_TRUE(hour.rows.size() <= 3502);
        CHECK_TRUE(nlohmann::json(CauseSource { "run", hour.rows }).dump().size() < 1'000'000);
        for (const auto& row : hour.rows)
            refused += row.refused;
    }
    LONGS_EQUAL(5000, refused);
}

TEST(Causes, RowsSurviveTheirJson)
{
    ledger.recordDelay(saveKey, Milliseconds(1500));
    const CauseSource source { "run", ledger.unsavedHours().at(0).rows };
    const auto read = nlohmann::json(source).get<CauseSource>();
    CHECK_TRUE(read.rows.at(0).key == saveKey);
    LONGS_EQUAL(1500, read.rows.at(0).lost.count());
    CHECK_TRUE(read.rows.at(0).minute == source.rows.at(0).minute);
}
