#include "WriteConfirmation.h"

#include "Invariant.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // An older report may date from before a pause of this process, during which the primary was replaced.
    constexpr Milliseconds reportValidity { 1000 };
    constexpr Milliseconds refreshTimeout { 500 };

    // Pause after a refreshed report that did not confirm the position.
    constexpr Milliseconds refreshPause { 20 };

} // namespace

WriteConfirmation::WriteConfirmation(GroupView& view, std::vector<EndpointControl*> controls)
    : m_view(view)
    , m_controls(std::move(controls))
{
}

bool WriteConfirmation::refreshReport(
    std::size_t slot, const PrimaryView& primary, const LogPosition& position, const Deadline& deadline)
{
    const auto sentAt = Clock::now();
    const auto status
        = m_controls.at(slot)->call("status", nlohmann::json::object(), deadline.cappedTo(refreshTimeout));
    if (!status)
        return false;
    try {
        m_view.applyReport(slot,
            { status->at("promisedTerm").get<Term>(),
                { status->at("logTerm").get<Term>(), status->at("position").get<std::uint64_t>() }, sentAt });
    } catch (const nlohmann::json::exception&) {
        return false;
    }
    return GroupView::holdsPosition(m_view.slot(slot), primary, position);
}

std::size_t WriteConfirmation::countConfirmations(
    const PrimaryView& primary, const LogPosition& position, const Deadline& deadline)
{
    const std::size_t needed = m_view.majority() - 1;
    std::size_t confirmations = 0;
    const auto slots = m_view.slots();
    for (std::size_t n = 0; n < slots.size() && confirmations < needed; ++n) {
        if (n == primary.slot || !GroupView::holdsPosition(slots[n], primary, position))
            continue;
        const bool isStale = Clock::now() - slots[n].reportedAt > reportValidity;
        const bool hasGreaterTerm = m_view.greatestTerm() > primary.term;
        if ((isStale || hasGreaterTerm) && !refreshReport(n, primary, position, deadline))
            continue;
        const auto current = m_view.slot(n);
        if (!GroupView::holdsPosition(current, primary, position))
            continue; // The slot was fenced after the first check.
        invariant(current.position.position >= position.position && current.position.term == primary.term,
            "an acknowledged position is covered by the report that confirms it");
        ++confirmations;
    }
    return confirmations;
}

Result<void> WriteConfirmation::confirm(
    const PrimaryView& primary, const LogPosition& position, const Deadline& deadline)
{
    const std::size_t needed = m_view.majority() - 1;
    while (m_view.waitForReplicas(primary, position, needed, deadline)) {
        if (countConfirmations(primary, position, deadline) >= needed)
            return {};
        if (deadline.hasPassed())
            break;
        // A report could not be refreshed, because its slot is slow or unreachable.
        m_view.waitUntil(deadline.cappedTo(refreshPause), [] { return false; });
    }
    if (!m_view.canConfirm(primary))
        return mayHaveRun(FailureCode::Unavailable,
            "the primary was replaced before a replica confirmed the change", Cause::PrimaryFailover);
    return mayHaveRun(
        FailureCode::Timeout, "no replica confirmed the change before the deadline", Cause::ReplicaLag);
}

} // namespace kumquatbank
