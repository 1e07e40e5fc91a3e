#include "kumquatbank/routing/EndpointTable.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t firstEra = 1;
constexpr std::uint64_t secondEra = 2;

EndpointEntry entry(std::int64_t startedAtMs, std::int64_t sequence, bool isDraining = false)
{
    EndpointEntry entry;
    entry.id = "i-1";
    entry.startedAtMs = startedAtMs;
    entry.sequence = sequence;
    entry.isDraining = isDraining;
    return entry;
}

EndpointTable::Entries listing(const EndpointEntry& entry) { return { { entry.id, entry } }; }

BootTime at(seconds sinceStart) { return BootTime {} + std::chrono::hours(1) + sinceStart; }

} // namespace

TEST_GROUP(EndpointTable) {};

// Guards against a draining endpoint that is ready again because the store has come back from an older copy.
TEST(EndpointTable, AnOlderEntryOfACopyIsHeldBackUntilTheEndpointWrites)
{
    EndpointTable table;
    table.replace(listing(entry(100, 4)), firstEra, at(seconds(0)));
    table.set(entry(100, 7, true));
    LONGS_EQUAL(1, table.replace(listing(entry(100, 4)), secondEra, at(seconds(10))).size());
    CHECK_TRUE(table.entries().at("i-1").isDraining);
    table.set(entry(100, 9, false));
    CHECK_FALSE(table.entries().at("i-1").isDraining);
}

// Guards against an endpoint that had left and is used again.
TEST(EndpointTable, ARemovedEntryDoesNotComeBackWithACopy)
{
    EndpointTable table;
    table.replace(listing(entry(100, 4)), firstEra, at(seconds(0)));
    table.remove("i-1", at(seconds(5)));
    LONGS_EQUAL(1, table.replace(listing(entry(100, 4)), secondEra, at(seconds(10))).size());
    CHECK_TRUE(table.entries().empty());
    table.set(entry(200, 1));
    LONGS_EQUAL(1, table.entries().size());
}

// Guards against a table that contradicts the store for good: an endpoint whose entry did not change otherwise writes
// nothing that a watch reports.
TEST(EndpointTable, TheStoresEntryCountsAfterTheConfirmationTime)
{
    EndpointTable table;
    table.replace(listing(entry(100, 7, true)), firstEra, at(seconds(0)));
    table.replace(listing(entry(100, 4)), secondEra, at(seconds(10)));
    CHECK_FALSE(table.isConfirmationDue(at(seconds(14))));
    CHECK_TRUE(table.isConfirmationDue(at(seconds(15))));
    CHECK_TRUE(table.replace(listing(entry(100, 4)), secondEra, at(seconds(15))).empty());
    CHECK_FALSE(table.entries().at("i-1").isDraining);
    CHECK_FALSE(table.isConfirmationDue(at(seconds(60))));
}

// Guards against newer entries that are taken for older ones: a later start counts from 1 again.
TEST(EndpointTable, AnEntryOfALaterStartIsNewer)
{
    EndpointTable table;
    table.replace(listing(entry(100, 50)), firstEra, at(seconds(0)));
    CHECK_TRUE(table.replace(listing(entry(200, 1)), secondEra, at(seconds(10))).empty());
    LONGS_EQUAL(200, table.entries().at("i-1").startedAtMs);
}

// Guards against a return soon after another one, before the endpoints have written again.
TEST(EndpointTable, AnOlderEntryIsHeldBackAtASecondReturn)
{
    EndpointTable table;
    table.replace(listing(entry(100, 7, true)), firstEra, at(seconds(0)));
    table.replace(listing(entry(100, 4)), secondEra, at(seconds(10)));
    LONGS_EQUAL(1, table.replace(listing(entry(100, 3)), secondEra + 1, at(seconds(12))).size());
    CHECK_TRUE(table.entries().at("i-1").isDraining);
    CHECK_FALSE(table.isConfirmationDue(at(seconds(16))));
}

// Guards against a living endpoint that is held back at a second return because the first copy was from before its
// registration.
TEST(EndpointTable, AbsenceFromACopyIsNoRemoval)
{
    EndpointTable table;
    table.replace(listing(entry(100, 7)), firstEra, at(seconds(0)));
    table.replace({}, secondEra, at(seconds(10)));
    CHECK_TRUE(table.entries().empty());
    CHECK_TRUE(table.replace(listing(entry(100, 7)), secondEra + 1, at(seconds(12))).empty());
    LONGS_EQUAL(1, table.entries().size());
}

// Within an era the store's own order counts, whatever clocks of restarted endpoints say.
TEST(EndpointTable, AListingOfTheSameEraReplacesEverything)
{
    EndpointTable table;
    table.replace(listing(entry(200, 7)), firstEra, at(seconds(0)));
    CHECK_TRUE(table.replace(listing(entry(100, 1)), firstEra, at(seconds(10))).empty());
    LONGS_EQUAL(100, table.entries().at("i-1").startedAtMs);
}
