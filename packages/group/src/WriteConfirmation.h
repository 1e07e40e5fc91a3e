#pragma once

#include "EndpointControl.h"
#include "GroupView.h"

namespace kumquatbank {

/// Waits for confirmation that a change survives the loss of the primary. Thread-safe.
class WriteConfirmation {
public:
    WriteConfirmation(GroupView& view, std::vector<EndpointControl*> controls);

    /// Returns once enough replicas reported @p position or more in the primary's term, in reports that are at most 1 s
    /// old. Every failure is MayHaveRun: Timeout at the deadline, Unavailable as soon as a greater term makes the
    /// confirmation impossible.
    Result<void> confirm(const PrimaryView& primary, const LogPosition& position, const Deadline& deadline);

private:
    bool refreshReport(std::size_t slot, const PrimaryView& primary, const LogPosition& position,
        const Deadline& deadline);
    std::size_t countConfirmations(
        const PrimaryView& primary, const LogPosition& position, const Deadline& deadline);

    GroupView& m_view;
    const std::vector<EndpointControl*> m_controls;
};

} // namespace kumquatbank
