#include "kumquatbank/core/ArrivalBound.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

TEST_GROUP(ArrivalBound) {};

// Guards against an answer that waited while the process was suspended and counts as true at the moment of waking up.
TEST(ArrivalBound, WhatWaitedDuringASuspensionIsDatedBeforeIt)
{
    const BootTime start { std::chrono::hours(1) };
    ArrivalBound bound;
    CHECK_TRUE(bound.at(start) == start);
    for (int ms = 100; ms <= 1000; ms += 100)
        bound.recordTick(start + milliseconds(ms));
    // In a loop that runs, an answer is at most two intervals younger than its date.
    CHECK_TRUE(bound.at(start) == start + milliseconds(900));
    // Suspended for 4 s; the first tick runs before the answer is handled, or after it.
    CHECK_TRUE(bound.at(start) <= start + milliseconds(1000));
    bound.recordTick(start + milliseconds(5000));
    CHECK_TRUE(bound.at(start) == start + milliseconds(1000));
    // A request that was sent later than that is answered later.
    CHECK_TRUE(bound.at(start + milliseconds(4990)) == start + milliseconds(4990));
}
