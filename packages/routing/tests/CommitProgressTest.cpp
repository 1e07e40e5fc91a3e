#include "kumquatbank/routing/CommitProgress.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const BootTime start { std::chrono::hours(1) };

BootTime at(int ms) { return start + milliseconds(ms); }

/// Two commits without an answer.
CommitProgress stalled()
{
    CommitProgress progress;
    progress.recordSent(at(0));
    progress.recordSent(at(10));
    return progress;
}

} // namespace

TEST_GROUP(CommitProgress) {};

TEST(CommitProgress, CommitsStallOnceNoneWasAnsweredForAWhile)
{
    auto progress = stalled();
    CHECK_FALSE(progress.isStalled(at(1999)));
    CHECK_TRUE(progress.isStalled(at(2000)));
    progress.recordAnswered(at(2100));
    CHECK_FALSE(progress.isStalled(at(2100)));
    CHECK_FALSE(progress.wait(at(9000)).has_value());
    CommitProgress single;
    single.recordSent(at(0));
    CHECK_FALSE(single.isStalled(at(60'000)));
}

// Guards against a write that is taken for answered because the primary had no slot for it: it kept the stall from being noticed.
TEST(CommitProgress, ARefusedWriteIsNoAnswer)
{
    auto progress = stalled();
    for (int ms = 100; ms < 4000; ms += 100) {
        progress.recordSent(at(ms));
        progress.recordRefused(at(ms + 10), true);
    }
    CHECK_TRUE(progress.isStalled(at(4000)));
}

// Guards against a primary whose stalled commits leave no connection to send another one: nobody would notice them.
TEST(CommitProgress, WritesThatCannotBeSentCountAsLackOfConfirmation)
{
    CommitProgress progress;
    for (int ms = 0; ms < 3000; ms += 500) {
        CHECK_FALSE(progress.lacksConfirmation(at(ms)));
        progress.recordRefused(at(ms), false);
    }
    CHECK_TRUE(progress.lacksConfirmation(at(3000)));
    // Writes are still sent, because nothing shows that they would not be confirmed.
    CHECK_FALSE(progress.wait(at(3000)).has_value());
    CHECK_FALSE(progress.lacksConfirmation(at(3000 + 10'001)));
    progress.recordSent(at(3100));
    progress.recordAnswered(at(3200));
    CHECK_FALSE(progress.lacksConfirmation(at(3200)));
}

// Guards against writes that wait for their time-out while it is known that nobody confirms them, and against a stall that is
// never found to be over.
TEST(CommitProgress, WhileCommitsAreStalledOneAtATimeIsTried)
{
    auto progress = stalled();
    CHECK_TRUE(progress.wait(at(2000)).has_value());
    progress.recordUnanswered();
    progress.recordUnanswered();
    CHECK_FALSE(progress.wait(at(2000)).has_value());
    progress.recordSent(at(2000));
    LONGS_EQUAL(600, progress.wait(at(2400))->count());
    // The trial is under way for as long as it has no answer.
    LONGS_EQUAL(100, progress.wait(at(3500))->count());
    progress.recordUnanswered();
    CHECK_FALSE(progress.wait(at(3500)).has_value());
    progress.recordSent(at(3500));
    progress.recordAnswered(at(3600));
    CHECK_FALSE(progress.wait(at(3600)).has_value());
}

// Guards against a commit of long ago that makes the next one look stalled.
TEST(CommitProgress, OldCommitsSayNothingAboutThePresent)
{
    CommitProgress progress;
    progress.recordSent(at(0));
    progress.recordUnanswered();
    progress.recordSent(at(60'000));
    CHECK_FALSE(progress.isStalled(at(60'001)));
}
