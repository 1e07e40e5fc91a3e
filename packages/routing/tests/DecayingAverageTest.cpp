#include "kumquatbank/routing/DecayingAverage.h"
#include "kumquatbank/core/BootClock.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

BootTime at(int ms) { return BootTime(std::chrono::seconds(1000)) + milliseconds(ms); }

double ms(DecayingAverage<BootClock>::Duration duration) { return duration.count() / 1000; }

} // namespace

TEST_GROUP(DecayingAverage)
{
    DecayingAverage<BootClock> average;
};

TEST(DecayingAverage, FollowsItsSamples)
{
    for (int n = 0; n < 100; ++n)
        average.add(milliseconds(40), at(n * 10));
    DOUBLES_EQUAL(40, ms(average.at(at(990))), 3);
}

// Guards against an endpoint that is avoided permanently because it was slow once.
TEST(DecayingAverage, DecaysWithoutSamples)
{
    average.add(milliseconds(400), at(0));
    DOUBLES_EQUAL(400, ms(average.at(at(0))), 1);
    DOUBLES_EQUAL(200, ms(average.at(at(1000))), 1);
    CHECK_TRUE(ms(average.at(at(10'000))) < 1);
}

// Guards against an outdated average that hides the present response time of an endpoint.
TEST(DecayingAverage, FirstSampleAfterAPauseHasFullWeight)
{
    average.add(milliseconds(10), at(0));
    average.add(milliseconds(300), at(20'000));
    DOUBLES_EQUAL(300, ms(average.at(at(20'000))), 1);
}
