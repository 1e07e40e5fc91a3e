#include "kumquatbank/routing/StopSchedule.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const BootTime signalledAt(std::chrono::hours(1));
constexpr milliseconds grace { 6000 };

bool admits(RequestKind kind, milliseconds after, milliseconds timeout) { return StopSchedule(signalledAt, grace).admits(kind, signalledAt + after, timeout); }

} // namespace

TEST_GROUP(StopSchedule) {};

// Guards against transactions that begin while the process stops and are cut at its end.
TEST(StopSchedule, NoTransactionBegins)
{
    for (const milliseconds after : { milliseconds(0), milliseconds(1500), milliseconds(5000) })
        CHECK_FALSE(admits(RequestKind::Begin, after, milliseconds(100)));
}

// Guards against statements in flight at the end of the process.
TEST(StopSchedule, StatementsRunIfTheirAnswerComesInTime)
{
    for (const auto kind : { RequestKind::Single, RequestKind::InTransaction }) {
        CHECK_TRUE(admits(kind, milliseconds(0), milliseconds(800)));
        CHECK_TRUE(admits(kind, milliseconds(2999), milliseconds(8000)));
        CHECK_FALSE(admits(kind, milliseconds(3001), milliseconds(8000)));
        CHECK_TRUE(admits(kind, milliseconds(4000), milliseconds(800)));
        CHECK_FALSE(admits(kind, milliseconds(5000), milliseconds(800)));
    }
}

// Guards against a final answer after the end of the process, also for short grace periods.
TEST(StopSchedule, StepsComeInOrder)
{
    for (const milliseconds period : { milliseconds(1000), milliseconds(3000), milliseconds(6000), milliseconds(60'000) }) {
        const StopSchedule schedule(signalledAt, period);
        const std::array<BootTime, 5> steps { signalledAt, schedule.idleSessionsEnd(), schedule.answersEnd(), schedule.finalAnswers(), signalledAt + period };
        CHECK_TRUE(std::ranges::is_sorted(steps));
        CHECK_TRUE(schedule.answersEnd() < schedule.finalAnswers());
        CHECK_TRUE(schedule.finalAnswers() < signalledAt + period);
    }
}

// Guards against sessions that are closed while a request of theirs is on its way or unanswered, and against ones that are
// never closed. Each row of the table, before and after the end of idle sessions.
TEST(StopSchedule, ClosesAreAnnounced)
{
    struct Row {
        WaitingSession session;
        SessionStep early; ///< Before the end of idle sessions.
        SessionStep late; ///< After it.
    };
    const StopSchedule schedule(signalledAt, grace);
    constexpr milliseconds early { 1000 };
    constexpr milliseconds late { 2500 };
    const auto justAnnounced = signalledAt + early - milliseconds(100);
    const std::array<Row, 8> table { {
        { {}, SessionStep::Keep, SessionStep::AnnounceClose },
        { { .hasRefused = true }, SessionStep::AnnounceClose, SessionStep::AnnounceClose },
        { { .isInTransaction = true, .hasRefused = true }, SessionStep::Keep, SessionStep::Keep },
        { { .hasInput = true, .hasRefused = true }, SessionStep::Keep, SessionStep::Keep },
        { { .closeAnnouncedAt = justAnnounced }, SessionStep::Keep, SessionStep::Close },
        { { .hasInput = true, .closeAnnouncedAt = justAnnounced }, SessionStep::Keep, SessionStep::Keep },
        { { .closeAnnouncedAt = justAnnounced, .hasRefusedAfterAnnouncement = true }, SessionStep::Close, SessionStep::Close },
        { { .hasInput = true, .closeAnnouncedAt = justAnnounced, .hasRefusedAfterAnnouncement = true }, SessionStep::Keep, SessionStep::Keep },
    } };
    for (const auto& row : table) {
        CHECK_TRUE(schedule.nextStep(row.session, signalledAt + early) == row.early);
        CHECK_TRUE(schedule.nextStep(row.session, signalledAt + late) == row.late);
    }
}

// Guards against an announcement that crosses the next request of a client that sends without a pause.
TEST(StopSchedule, OnlyAQuietSessionIsToldOfItsClose)
{
    const StopSchedule schedule(signalledAt, grace);
    const auto late = signalledAt + milliseconds(2500);
    for (const bool hasRefused : { false, true }) {
        CHECK_TRUE(schedule.nextStep({ .hasRefused = hasRefused, .waitsSince = late - StopSchedule::quietTime + milliseconds(1) }, late) == SessionStep::Keep);
        CHECK_TRUE(schedule.nextStep({ .hasRefused = hasRefused, .waitsSince = late - StopSchedule::quietTime }, late) == SessionStep::AnnounceClose);
    }
}

// Guards against a session that is closed before its client can have read the announcement.
TEST(StopSchedule, AClientHasTheNoticeTimeToClose)
{
    const StopSchedule schedule(signalledAt, grace);
    const WaitingSession session { .closeAnnouncedAt = signalledAt };
    CHECK_TRUE(schedule.nextStep(session, signalledAt + StopSchedule::closeNotice - milliseconds(1)) == SessionStep::Keep);
    CHECK_TRUE(schedule.nextStep(session, signalledAt + StopSchedule::closeNotice) == SessionStep::Close);
}

// Guards against a session that is accepted and then closed before its first request.
TEST(StopSchedule, NoSessionBeginsOnceIdleOnesEnd)
{
    const StopSchedule schedule(signalledAt, grace);
    CHECK_TRUE(schedule.admitsSession(signalledAt + milliseconds(1999)));
    CHECK_FALSE(schedule.admitsSession(signalledAt + milliseconds(2000)));
}
