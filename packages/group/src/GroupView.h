#pragma once

#include "PositionHistory.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace kumquatbank {

/// Last reported state of a slot.
struct SlotView {
    bool isReachable = false; ///< The last probe was answered.
    bool isSuspect = false; ///< Two consecutive probes on new connections failed.
    bool isPrimary = false;
    bool isLeaving = false;
    Term promisedTerm = 0;
    LogPosition position;
    std::uint64_t claim = 0;
    std::string claimHost;
    Milliseconds primaryContactAge { 0 }; ///< Time since the replica's last contact with its primary.
    TimePoint statusAt {}; ///< Sending time of the last answered status call.
    TimePoint promotedAt {}; ///< Time at which this process recorded the slot's promotion.
    TimePoint reportedAt {}; ///< Sending time of the request that returned promisedTerm and position.
    std::optional<TimePoint> firstProbeFailure; ///< Time of the first failed probe since the last answered one.
    Milliseconds catchUpTime { 0 }; ///< Time from the primary's sample until this slot covered it, at the last report.
};

/// The primary of a term.
struct PrimaryView {
    std::size_t slot = 0;
    Term term = 0;

    bool operator==(const PrimaryView&) const = default;
};

/// Position of a slot as returned by one request.
struct PositionReport {
    Term promisedTerm = 0;
    LogPosition position;
    TimePoint sentAt {};
};

/// Recorded state of a group's slots, shared by probers, watchers, writers and promotion. Slots are indexed by their
/// position in the database definition. Thread-safe.
class GroupView {
public:
    /// @param majority slots needed for a promotion, a claim or, with the primary, a confirmation.
    GroupView(std::size_t slotCount, std::size_t majority);

    /// Applies the result of a `status` call; throws nlohmann::json::exception on a result of another shape.
    void applyStatus(std::size_t slot, const nlohmann::json& status, TimePoint sentAt, bool hasLeavingNotice);

    /// Applies a position report, unless a report of a greater term or position was applied before.
    void applyReport(std::size_t slot, const PositionReport& report);

    /// Records a granted promotion.
    void applyPromotion(std::size_t slot, const PositionReport& report);

    /// Records the log position of a change that the primary of @p term has run.
    void recordPrimaryPosition(Term term, const LogPosition& position, TimePoint sentAt);

    /// Applies the answer to a `claim` call.
    void applyClaim(std::size_t slot, std::uint64_t claim, const std::string& host, TimePoint sentAt);

    void recordProbeFailure(std::size_t slot, TimePoint at, bool isSuspect);

    /// Clears the failed probes of every slot; used after a pause of this process.
    void clearSuspicions();

    SlotView slot(std::size_t index) const;
    std::vector<SlotView> slots() const;
    std::size_t majority() const { return m_majority; }

    /// Primary of the greatest recorded term; empty before the first one.
    std::optional<PrimaryView> primary() const;

    /// Primary that can run and confirm writes now: it answers probes, a majority of slots is in its term, and writes
    /// are not paused.
    std::optional<PrimaryView> writablePrimary() const;

    /// Greatest term that any slot has promised.
    Term greatestTerm() const;

    std::size_t reachableCount() const;

    /// Number of slots whose recent status shows this claim.
    std::size_t claimCount(std::uint64_t claim, const std::string& host) const;

    /// Age of a slot's data; empty if unknown.
    std::optional<Milliseconds> age(std::size_t slot) const;
    std::optional<LogPosition> minimumPositionFor(Milliseconds maxAge) const;

    /// Expected time until the slot covers @p required, based on its last catch-up time.
    Milliseconds expectedCatchUpTime(std::size_t slot, const LogPosition& required) const;

    /// Pauses (true) or resumes the start of new writes during a planned change of primary.
    void pauseWrites(bool isPaused);

    /// Waits until @p condition returns true or the deadline passes; returns the condition's last value. The condition
    /// is called without the view's lock, at every change and at least every 50 ms.
    bool waitUntil(const Deadline& deadline, const std::function<bool()>& condition) const;

    /// Waits until @p needed slots other than the primary's report @p position or more in the primary's term, or until
    /// too few slots remain in that term for this to happen, or until the deadline. Returns true in the first case.
    /// Cheaper than waitUntil() when many writers wait at once.
    bool waitForReplicas(const PrimaryView& primary, const LogPosition& position, std::size_t needed,
        const Deadline& deadline) const;

    /// True if the slot's report shows that it holds @p position of the primary's term.
    static bool holdsPosition(const SlotView& slot, const PrimaryView& primary, const LogPosition& position);

    /// False once a greater term makes it impossible to confirm a change of @p primary.
    bool canConfirm(const PrimaryView& primary) const;

    /// Wakes all waiters.
    void wake();

private:
    void notify();
    bool canConfirmLocked(const PrimaryView& primary) const;
    void updatePrimary(std::size_t slot, Term term);
    void mergeReport(std::size_t slot, const PositionReport& report);

    const std::size_t m_majority;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::uint64_t m_version = 0;
    std::vector<SlotView> m_slots;
    std::optional<PrimaryView> m_primary;
    PositionHistory m_history;
    bool m_areWritesPaused = false;
};

} // namespace kumquatbank
