#include "kumquatbank/routing/ReadFloor.h"
#include "kumquatbank/core/BootClock.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

using Floor = ReadFloor<BootClock>;

namespace {

BootTime at(int ms) { return BootTime(std::chrono::seconds(1000)) + milliseconds(ms); }

constexpr milliseconds maxStaleness { 1500 };

} // namespace

TEST_GROUP(ReadFloor)
{
    Floor floor;
};

// Without a recent sample, newer commits may exist that no sample covers, so no position is safe.
TEST(ReadFloor, IsEmptyWithoutARecentSample)
{
    CHECK_FALSE(floor.floorAt(at(0), maxStaleness).has_value());
    floor.addSample({ 1, 10 }, at(0));
    CHECK_TRUE(floor.floorAt(at(1500), maxStaleness).has_value());
    CHECK_FALSE(floor.floorAt(at(1501), maxStaleness).has_value());
}

// The oldest sample within the bound requires the smallest position of the replicas.
TEST(ReadFloor, ReturnsTheOldestSampleWithinTheBound)
{
    floor.addSample({ 1, 10 }, at(0));
    floor.addSample({ 1, 20 }, at(1000));
    floor.addSample({ 1, 30 }, at(2000));
    LONGS_EQUAL(10, floor.floorAt(at(1500), maxStaleness)->position);
    LONGS_EQUAL(20, floor.floorAt(at(1600), maxStaleness)->position);
    LONGS_EQUAL(30, floor.floorAt(at(2600), maxStaleness)->position);
}

TEST(ReadFloor, UnchangedPositionIsRefreshedByANewSample)
{
    floor.addSample({ 1, 10 }, at(0));
    floor.addSample({ 1, 10 }, at(3000));
    LONGS_EQUAL(10, floor.floorAt(at(4500), maxStaleness)->position);
}

TEST(ReadFloor, IncludesTheSessionsCommit)
{
    floor.addSample({ 1, 10 }, at(0));
    LONGS_EQUAL(25, floor.floorAt(at(100), maxStaleness, { { 1, 25 }, at(50) })->position);
    LONGS_EQUAL(10, floor.floorAt(at(100), maxStaleness, { { 1, 5 }, at(50) })->position);
}

// No endpoint ever has a commit that a change of primary rolled back; all later reads of a session that still required
// it would fail.
TEST(ReadFloor, IgnoresARolledBackSessionCommit)
{
    floor.addSample({ 1, 30 }, at(0));
    const Floor::SessionCommit sessionCommit { { 1, 35 }, at(100) };
    LONGS_EQUAL(35, floor.floorAt(at(150), maxStaleness, sessionCommit)->position);
    floor.addSample({ 1, 33 }, at(2000));
    LONGS_EQUAL(33, floor.floorAt(at(2100), maxStaleness, sessionCommit)->position);
}

TEST(ReadFloor, DropsSamplesFromBeforeARollback)
{
    floor.addSample({ 1, 30 }, at(0));
    floor.addSample({ 1, 28 }, at(1000));
    LONGS_EQUAL(28, floor.floorAt(at(1100), maxStaleness)->position);
}

TEST(ReadFloor, DropsSamplesOfAnOlderTerm)
{
    floor.addSample({ 1, 30 }, at(0));
    floor.addSample({ 2, 25 }, at(1000));
    const auto position = floor.floorAt(at(1100), maxStaleness);
    LONGS_EQUAL(2, position->term);
    LONGS_EQUAL(25, position->position);
}

// An answer that arrives late must not replace the sample of a later request.
TEST(ReadFloor, IgnoresAnswersToOlderRequests)
{
    floor.addSample({ 1, 30 }, at(1000));
    floor.addSample({ 1, 20 }, at(500));
    LONGS_EQUAL(30, floor.floorAt(at(1100), maxStaleness)->position);
}

TEST(ReadFloor, KeepsABoundedNumberOfSamplesOverLongTime)
{
    for (int n = 0; n < 100'000; ++n)
        floor.addSample({ 1, static_cast<std::uint64_t>(n) }, at(n * 2));
    const auto position = floor.floorAt(at(200'000), maxStaleness);
    CHECK_TRUE(position->position <= 99'999);
    CHECK_TRUE(position->position >= (200'000 - 1500) / 2);
    CHECK_TRUE(position->position < (200'000 - 1500) / 2 + 100);
}
