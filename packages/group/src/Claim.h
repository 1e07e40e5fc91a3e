#pragma once

#include "GroupView.h"
#include "ParallelCalls.h"

#include <functional>
#include <random>

namespace kumquatbank {

/// This process's claim on a group: a fencing token that a majority of the slots enforces, so that only one process
/// uses the group's connections. tick() is called by a single thread; the other functions are thread-safe.
class Claim {
public:
    /// @param number the claim that new connections send in `hello`. @param host name by which slots identify this
    /// process. @param onChange called on the thread of tick() when the claim is obtained, raised or superseded.
    Claim(GroupView& view, std::vector<EndpointControl*> controls, ClaimNumber& number, std::string host,
        std::function<void(bool isActive)> onChange);

    /// Makes a claim when one is due, and compares the claim with the last reports of the slots.
    void tick();

    /// True while recent status reports show the claim at a majority of slots.
    bool isHeld() const;

    /// True if reads may be served: isHeld(), or too few slots are reachable for any process to hold the group
    /// and every reachable one shows this claim. The slots refuse statements of a superseded claim themselves.
    bool allowsReads() const;

    /// True from the time the claim is superseded until a new one is allowed.
    bool isSuperseded() const;

    /// Requests a claim, which tick() makes once the pause after a superseded claim has passed.
    void request();

    /// Ends the pause after a superseded claim, for callers that have detected the failure of the new holder.
    void endBackoff();

    /// Makes no further claims.
    void stop();

    /// Host whose claim superseded this one; empty if none is known.
    std::string knownHolder() const;

private:
    void acquire();
    void checkCompetingClaims(const std::vector<SlotView>& slots);
    void recordLoss(const std::string& holder);
    void sendClaimToStaleSlots(const std::vector<SlotView>& slots);
    bool isStopped() const;
    bool isCompetingClaim(const SlotView& slot) const;
    Milliseconds randomDelay(Milliseconds minimum, Milliseconds maximum);

    GroupView& m_view;
    const std::vector<EndpointControl*> m_controls;
    ClaimNumber& m_number;
    const std::string m_host;
    const std::function<void(bool)> m_onChange;

    mutable std::mutex m_mutex;
    bool m_isRequested = true;
    bool m_isStopped = false;
    bool m_isActive = false; ///< The claim was obtained and has not been superseded.
    std::string m_knownHolder;
    TimePoint m_nextAttempt {};
    TimePoint m_activeSince {};
    bool m_isSuperseded = false;
    unsigned m_consecutiveLosses = 0;
    unsigned m_failedAttempts = 0;
    std::optional<TimePoint> m_competingSince; ///< Start of a minority's greater claim, plus a random delay.
    std::minstd_rand m_random;
};

} // namespace kumquatbank
