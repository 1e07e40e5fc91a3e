#pragma once

#include "GroupView.h"

#include <optional>
#include <string>

namespace kumquatbank {

/// Decides whether a group's primary must be replaced. Not thread-safe.
class PromotionTrigger {
public:
    /// @param forcedPromotionDelay time after the first failed probe from which replicas that are in contact with the
    /// primary no longer prevent its replacement.
    PromotionTrigger(const GroupView& view, Milliseconds forcedPromotionDelay);

    struct Decision {
        std::string reason;
        std::optional<std::size_t> excluded; ///< Slot that must not be promoted although it answers.
    };

    /// Reason for a promotion now; empty if there is none or no majority of slots is reachable.
    std::optional<Decision> check();

    /// True when a planned change is due: the primary is leaving and another slot can replace it.
    bool isChangePlanned() const;

private:
    std::optional<Decision> evaluateSuspect(const std::vector<SlotView>& slots, std::size_t primary) const;
    bool hasReplicaContact(const std::vector<SlotView>& slots, std::size_t primary) const;
    bool isIsolated(const std::vector<SlotView>& slots, std::size_t primary) const;
    /// Starts the times anew, because a new primary must not be judged by what its predecessor did.
    void resetTimes();
    bool hasHeldFor(std::optional<TimePoint>& since, bool holds, Milliseconds limit);

    const GroupView& m_view;
    const Milliseconds m_forcedPromotionDelay;
    std::optional<PrimaryView> m_primary; ///< The primary to which the times below refer.
    std::optional<TimePoint> m_noPrimarySince;
    std::optional<TimePoint> m_demotedSince;
    std::optional<TimePoint> m_greaterTermSince;
    std::optional<TimePoint> m_isolatedSince;
};

} // namespace kumquatbank
