#pragma once

#include "kumquatbank/core/BootClock.h"

#include <chrono>
#include <optional>

namespace kumquatbank {

/// Whether the primary of a service confirms commits, for services where replicas have to receive a commit before. While
/// none receives, each commit waits and holds a slot and a connection of the primary. Without network; time is passed in.
class CommitProgress {
public:
    /// Commits count as stalled if so many have no answer, and none had one, for this time.
    static constexpr int stallThreshold = 2;
    static constexpr std::chrono::milliseconds stallTime { 2000 };
    /// While commits are stalled, one at a time is sent after this interval and tells whether they are confirmed again.
    static constexpr std::chrono::milliseconds trialInterval { 1000 };
    /// Writes that were not sent, or refused without being run, count as a lack of confirmation after this time.
    static constexpr std::chrono::milliseconds refusalTime { 3000 };
    /// What is older than this without a commit in between says nothing about the present.
    static constexpr std::chrono::milliseconds retention { 10'000 };

    /// Records that a write or a COMMIT with writes was sent.
    void recordSent(BootTime now);
    /// Records that one was answered, or that its connection ended, as with the loss of the lead.
    void recordAnswered(BootTime now);
    /// Records that one has had no answer in its time.
    void recordUnanswered();
    /// Records that one was not run: the primary had no slot or no connection for it.
    /// @param wasSent  it had been recorded as sent.
    void recordRefused(BootTime now, bool wasSent);

    /// True if commits that were sent stay without an answer.
    bool isStalled(BootTime now) const { return m_unconfirmed >= stallThreshold && now - m_unconfirmedSince >= stallTime; }
    /// True if no write was confirmed for a while, also if none could be sent.
    bool lacksConfirmation(BootTime now) const;
    /// How long a new write has to wait because commits are stalled; empty if it may be sent.
    std::optional<std::chrono::milliseconds> wait(BootTime now) const;

private:
    int m_outstanding = 0; ///< Sent, and neither answered nor given up.
    int m_unconfirmed = 0; ///< Sent since the last answer, with those that were given up.
    BootTime m_unconfirmedSince {};
    BootTime m_lastSent {};
    int m_refused = 0; ///< Since the last answer.
    BootTime m_refusedSince {};
    BootTime m_lastRefused {};
};

} // namespace kumquatbank
