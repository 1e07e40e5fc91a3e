#include "kumquatbank/routing/StopSchedule.h"

#include <algorithm>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Margins before the end of the grace period. The differences cover an answer that is late, and its transmission.
    constexpr milliseconds answerMargin { 700 };
    constexpr milliseconds finalAnswerMargin { 450 };
    /// A margin takes at most this part of the grace period.
    constexpr int minGraceDivisor = 4;

} // namespace

StopSchedule::StopSchedule(BootTime signalledAt, milliseconds grace)
    : m_signalledAt(signalledAt)
    , m_grace(grace)
{
}

BootTime StopSchedule::before(milliseconds margin) const
{
    return m_signalledAt + m_grace - std::min(margin, m_grace / minGraceDivisor * margin.count() / answerMargin.count());
}

BootTime StopSchedule::answersEnd() const { return before(answerMargin); }

BootTime StopSchedule::finalAnswers() const { return before(finalAnswerMargin); }

bool StopSchedule::admits(RequestKind kind, BootTime now, milliseconds statementTimeout) const
{
    if (kind == RequestKind::Begin)
        return false;
    // Statements usually end long before their timeout; in the first half one that does not gets its answer at
    // answersEnd().
    const bool isFirstHalf = now < m_signalledAt + m_grace / 2;
    return isFirstHalf || now + statementTimeout <= answersEnd();
}

SessionStep StopSchedule::nextStep(const WaitingSession& session, BootTime now) const
{
    if (session.isInTransaction || session.hasInput)
        return SessionStep::Keep;
    if (session.closeAnnouncedAt) {
        const bool isOver = session.hasRefusedAfterAnnouncement || now >= *session.closeAnnouncedAt + closeNotice;
        return isOver ? SessionStep::Close : SessionStep::Keep;
    }
    const bool isDue = session.hasRefused || now >= idleSessionsEnd();
    return isDue && now >= session.waitsSince + quietTime ? SessionStep::AnnounceClose : SessionStep::Keep;
}

} // namespace kumquatbank
