#pragma once

#include "kumquatbank/core/BootClock.h"

#include <chrono>

namespace kumquatbank {

/// What a client asks of a process.
enum class RequestKind {
    Single, ///< A statement outside a transaction.
    Begin,
    InTransaction, ///< A statement of an open transaction, or its commit.
};

/// Decides which requests a process still runs after it was told to stop, so that each request that it has read gets a
/// complete answer before it ends.
///
/// | Request                       | First half of the grace period | Second half                                  |
/// |-------------------------------|--------------------------------|----------------------------------------------|
/// | single statement              | runs                           | runs if its timeout ends before answersEnd() |
/// | beginning of a transaction    | is refused                     | is refused                                   |
/// | statement of an open one, end | runs                           | as a single statement, otherwise aborted     |
///
/// A transaction that begins now could not be known to end in time. A refused request has not run, so that the client can
/// repeat the operation on another host at once.
class StopSchedule {
public:
    /// @param signalledAt  when the process was told to stop.
    /// @param grace  time from then to the forced end of the process.
    StopSchedule(BootTime signalledAt, std::chrono::milliseconds grace);

    /// Whether a request that was read at @p now is run.
    bool admits(RequestKind kind, BootTime now, std::chrono::milliseconds statementTimeout) const;

    /// Idle sessions without a transaction are closed from then on. Until then their clients may move of their own accord.
    BootTime idleSessionsEnd() const { return m_signalledAt + m_grace / 3; }
    /// Every request that was run has its result by then.
    BootTime answersEnd() const;
    /// Requests that have no result by then get the answer that their outcome is not known, and the process ends.
    BootTime finalAnswers() const;

private:
    /// Time before the end of the grace period, or the given part of a short one.
    BootTime before(std::chrono::milliseconds margin) const;

    BootTime m_signalledAt;
    std::chrono::milliseconds m_grace;
};

} // namespace kumquatbank
