#pragma once

#include "GroupView.h"
#include "ParallelCalls.h"

#include <functional>
#include <random>

namespace kumquatbank {

/// This process's claim on a group: a fencing token that a majority of the slots enforces, so that one process
/// owns the group's connections. tick() is called by one thread; everything else is thread-safe.
class Claim {
public:
    /// @param number the claim that new connections announce. @param host name under which slots know this
    /// process. @param onChange called on the ticking thread when the claim is obtained, raised or lost.
    Claim(GroupView& view, std::vector<EndpointControl*> controls, ClaimNumber& number, std::string host,
        std::function<void(bool isActive)> onChange);

    /// Claims when it is due, and compares the claim with what the slots last reported.
    void tick();

    /// True while the last probe round showed the claim at a majority of slots.
    bool isHeld() const;

    /// True if reads may be served: isHeld(), or too few slots are reachable for any process to hold the group
    /// and every reachable one shows this claim. The slots refuse statements of a superseded claim themselves.
    bool allowsReads() const;

    /// True from the loss of the claim until a new one is allowed.
    bool isSuperseded() const;

    /// Asks for the group; honoured at the next tick once the pause after a lost claim has passed.
    void request();

    /// Ends the pause after a lost claim; for an owner that knows the new holder to be dead.
    void endBackoff();

    /// Gives up claiming.
    void stop();

    /// Host that superseded this claim; empty if none is known.
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
    bool m_isActive = false; ///< The claim was obtained and not superseded.
    std::string m_knownHolder;
    TimePoint m_nextAttempt {};
    TimePoint m_activeSince {};
    bool m_isSuperseded = false;
    unsigned m_consecutiveLosses = 0;
    unsigned m_failedAttempts = 0;
    std::optional<TimePoint> m_competingSince; ///< A minority of slots shows a greater claim since then.
    std::minstd_rand m_random;
};

} // namespace kumquatbank
