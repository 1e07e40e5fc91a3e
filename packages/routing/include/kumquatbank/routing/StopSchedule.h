#pragma once

#include "kumquatbank/core/BootClock.h"

#include <chrono>
#include <optional>

namespace kumquatbank {

/// What a client asks of a process.
enum class RequestKind {
    Single, ///< A statement outside a transaction.
    Begin,
    InTransaction, ///< A statement of an open transaction, or its commit.
};

/// What a stopping process does with a client session next.
enum class SessionStep {
    Keep,
    AnnounceClose, ///< Refuse the client's next request ahead of time, so that it goes to another host.
    Close,
};

/// A client session of a stopping process that waits for its next request.
struct WaitingSession {
    bool isInTransaction = false;
    bool hasInput = false; ///< A part of a request, or a whole one, has arrived.
    bool hasRefused = false; ///< A request was refused since the stop.
    BootTime waitsSince {}; ///< When it began to wait.
    std::optional<BootTime> closeAnnouncedAt {};
    bool hasRefusedAfterAnnouncement = false;
};

/// Decides which requests a process still runs after it was told to stop, and when it ends its sessions, so that each
/// request that it has read gets a complete answer before it ends.
///
/// | Request                       | First half of the grace period | Second half                                  |
/// |-------------------------------|--------------------------------|----------------------------------------------|
/// | single statement              | runs                           | runs if its timeout ends before answersEnd() |
/// | beginning of a transaction    | is refused                     | is refused                                   |
/// | statement of an open one, end | runs                           | as a single statement, otherwise aborted     |
///
/// A transaction that begins now could not be known to end in time. A refused request has not run, so that the client can
/// repeat the operation on another host at once.
///
/// | Waiting session              | Before idleSessionsEnd()       | From then on                   |
/// |------------------------------|--------------------------------|--------------------------------|
/// | in a transaction             | is kept                        | is kept                        |
/// | input has arrived            | is kept                        | is kept                        |
/// | waits for less than quietTime| is kept                        | is kept                        |
/// | has refused since the stop   | is told of the close           | is told of the close           |
/// | others                       | is kept                        | is told of the close           |
/// | was told of the close        | is closed after closeNotice    | is closed after closeNotice    |
/// | ... and has refused a request| is closed                      | is closed                      |
///
/// Before idleSessionsEnd() the load balancer may still send new connections here, so that a client whose session ended could
/// come back to this host. A busy session is kept, because its next request would cross the announcement.
///
/// A client cannot be kept from sending while its connection is being closed. The announcement answers what it sends then;
/// without it, the client could not know whether the request has run.
class StopSchedule {
public:
    /// @param signalledAt  when the process was told to stop.
    /// @param grace  time from then to the forced end of the process.
    StopSchedule(BootTime signalledAt, std::chrono::milliseconds grace);

    /// Whether a request that was read at @p now is run.
    bool admits(RequestKind kind, BootTime now, std::chrono::milliseconds statementTimeout) const;

    /// Whether a new session is accepted at @p now. A later one would be closed before its first request.
    bool admitsSession(BootTime now) const { return now < idleSessionsEnd(); }
    /// What to do at @p now with a session that waits for a request.
    SessionStep nextStep(const WaitingSession& session, BootTime now) const;

    /// Time for which a session must have waited before its close is announced. Exceeds the round trip of a client that sends
    /// its next request as soon as it has an answer.
    static constexpr std::chrono::milliseconds quietTime { 50 };
    /// Time that a client has to close its session, or to send a request that is refused, after the announcement. Covers a
    /// round trip between regions and a client that is busy.
    static constexpr std::chrono::milliseconds closeNotice { 500 };

    /// Idle sessions without a transaction end from then on. Until then their clients may move of their own accord.
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
