#include "kumquatbank/duties/HostLiveness.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds expiry { 90'000 };
constexpr HostRenewal fifth { 17, 5 };

BootTime at(milliseconds sinceStart) { return BootTime {} + milliseconds(1'000'000) + sinceStart; }

} // namespace

TEST_GROUP(HostLiveness) {};

TEST(HostLiveness, ARenewalThatWasNotSeenBeforeIsASignOfLife)
{
    HostLiveness liveness;
    liveness.record("host-1", fifth, at(milliseconds(0)));
    liveness.record("host-1", { 17, 6 }, at(milliseconds(80'000)));
    CHECK_FALSE(liveness.hasExpired("host-1", at(expiry), expiry));
    liveness.record("host-1", { 18, 1 }, at(milliseconds(160'000)));
    CHECK_FALSE(liveness.hasExpired("host-1", at(milliseconds(240'000)), expiry));
    CHECK_TRUE(liveness.hasExpired("host-1", at(milliseconds(250'000)), expiry));
}

// Guards against a host that has left and counts as alive again, because a copy of the store has its entry.
TEST(HostLiveness, AnEntryThatComesBackWithACopyIsNoSignOfLife)
{
    HostLiveness liveness;
    liveness.record("host-1", fifth, at(milliseconds(0)));
    liveness.forgetUnlisted(at(milliseconds(100'000)), milliseconds(600'000));
    liveness.record("host-1", { 17, 4 }, at(milliseconds(110'000)));
    liveness.record("host-1", fifth, at(milliseconds(111'000)));
    CHECK_TRUE(liveness.hasExpired("host-1", at(milliseconds(111'000)), expiry));
}

TEST(HostLiveness, AHostThatWasNeverListedHasNotExpired)
{
    const HostLiveness liveness;
    CHECK_FALSE(liveness.hasExpired("host-1", at(expiry), expiry));
    LONGS_EQUAL(0, liveness.sinceRenewal("host-1", at(expiry)).count());
}

// Guards against memory that grows with each host that ever was.
TEST(HostLiveness, HostsThatAreNotListedAreForgotten)
{
    HostLiveness liveness;
    liveness.record("host-1", fifth, at(milliseconds(0)));
    liveness.forgetUnlisted(at(milliseconds(600'000)), milliseconds(600'000));
    liveness.record("host-1", fifth, at(milliseconds(700'000)));
    CHECK_FALSE(liveness.hasExpired("host-1", at(milliseconds(700'000)), expiry));
}
