#include "GroupView.h"

#include "Invariant.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    // A status older than this does not count for a claim, because this process may have been paused. Four probe
    // intervals leave time for one failed probe and its repetition.
    constexpr Milliseconds statusValidity { 1500 };

    // Waiters evaluate their condition again at this interval, because some conditions depend on time alone.
    constexpr Milliseconds recheckInterval { 50 };

} // namespace

GroupView::GroupView(std::size_t slotCount, std::size_t majority)
    : m_majority(majority)
    , m_slots(slotCount)
{
}

void GroupView::applyStatus(
    std::size_t slot, const nlohmann::json& status, TimePoint sentAt, bool hasLeavingNotice)
{
    const PositionReport report { status.at("promisedTerm").get<Term>(),
        { status.at("logTerm").get<Term>(), status.at("position").get<std::uint64_t>() }, sentAt };
    const bool isPrimary = status.at("role").get<std::string>() == "primary";
    const auto claim = status.at("claim").get<std::uint64_t>();
    const auto claimHost = status.value("claimHost", std::string());
    const bool isLeaving = status.at("leaving").get<bool>();
    const Milliseconds contact { status.at("primaryContactMs").get<std::int64_t>() };

    const std::scoped_lock lock(m_mutex);
    auto& view = m_slots.at(slot);
    if (sentAt < view.statusAt)
        return;
    const bool isStale = report.promisedTerm < view.promisedTerm;
    mergeReport(slot, report);
    view.isReachable = true;
    view.isSuspect = false;
    view.firstProbeFailure.reset();
    view.statusAt = sentAt;
    view.isLeaving = isLeaving || hasLeavingNotice;
    view.primaryContactAge = contact;
    if (claim >= view.claim) {
        view.claim = claim;
        view.claimHost = claimHost;
    }
    // A status requested before a promotion reports the role that the slot had before it.
    if (!isStale && sentAt >= view.promotedAt) {
        view.isPrimary = isPrimary;
        if (isPrimary)
            updatePrimary(slot, report.promisedTerm);
        if (m_primary && m_primary->slot == slot && m_primary->term == report.promisedTerm && isPrimary)
            m_history.record(report.position, sentAt);
    }
    notify();
}

void GroupView::applyReport(std::size_t slot, const PositionReport& report)
{
    const std::scoped_lock lock(m_mutex);
    mergeReport(slot, report);
    const auto& view = m_slots.at(slot);
    if (view.isPrimary && m_primary && m_primary->slot == slot && m_primary->term == report.promisedTerm)
        m_history.record(report.position, report.sentAt);
    notify();
}

void GroupView::applyPromotion(std::size_t slot, const PositionReport& report)
{
    const std::scoped_lock lock(m_mutex);
    mergeReport(slot, report);
    auto& view = m_slots.at(slot);
    if (view.promisedTerm == report.promisedTerm) {
        view.isPrimary = true;
        view.promotedAt = Clock::now();
    }
    updatePrimary(slot, report.promisedTerm);
    notify();
}

void GroupView::recordPrimaryPosition(Term term, const LogPosition& position, TimePoint sentAt)
{
    const std::scoped_lock lock(m_mutex);
    if (m_primary && m_primary->term == term)
        m_history.record(position, sentAt);
}

void GroupView::mergeReport(std::size_t slot, const PositionReport& report)
{
    auto& view = m_slots.at(slot);
    if (report.promisedTerm < view.promisedTerm)
        return;
    if (report.promisedTerm > view.promisedTerm)
        view.isPrimary = false; // Promising a greater term ends a slot's primary role.
    const bool isNewer = report.promisedTerm > view.promisedTerm || report.position >= view.position;
    if (isNewer && report.position > view.position) {
        if (const auto at = m_history.firstSampleCovering(report.position))
            view.catchUpTime = std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(Clock::now() - *at));
    }
    view.promisedTerm = report.promisedTerm;
    if (!isNewer)
        return;
    view.position = report.position;
    view.reportedAt = std::max(view.reportedAt, report.sentAt);
}

void GroupView::updatePrimary(std::size_t slot, Term term)
{
    if (m_primary && term < m_primary->term)
        return;
    invariant(!m_primary || m_primary->term != term || m_primary->slot == slot,
        "a term has only one primary");
    invariant(!m_primary || term >= m_primary->term, "the accepted term never decreases");
    m_primary = PrimaryView { slot, term };
}

void GroupView::applyClaim(std::size_t slot, std::uint64_t claim, const std::string& host, TimePoint sentAt)
{
    const std::scoped_lock lock(m_mutex);
    auto& view = m_slots.at(slot);
    if (claim < view.claim)
        return;
    view.claim = claim;
    view.claimHost = host;
    view.isReachable = true;
    view.statusAt = std::max(view.statusAt, sentAt);
    notify();
}

void GroupView::recordProbeFailure(std::size_t slot, TimePoint at, bool isSuspect)
{
    const std::scoped_lock lock(m_mutex);
    auto& view = m_slots.at(slot);
    view.isReachable = false;
    view.isSuspect = isSuspect;
    if (!view.firstProbeFailure)
        view.firstProbeFailure = at;
    notify();
}

void GroupView::clearSuspicions()
{
    const std::scoped_lock lock(m_mutex);
    for (auto& view : m_slots) {
        view.isSuspect = false;
        view.firstProbeFailure.reset();
    }
    notify();
}

SlotView GroupView::slot(std::size_t index) const
{
    const std::scoped_lock lock(m_mutex);
    return m_slots.at(index);
}

std::vector<SlotView> GroupView::slots() const
{
    const std::scoped_lock lock(m_mutex);
    return m_slots;
}

std::optional<PrimaryView> GroupView::primary() const
{
    const std::scoped_lock lock(m_mutex);
    return m_primary;
}

std::optional<PrimaryView> GroupView::writablePrimary() const
{
    const std::scoped_lock lock(m_mutex);
    if (!m_primary || m_areWritesPaused)
        return std::nullopt;
    const auto& view = m_slots[m_primary->slot];
    if (!view.isPrimary || view.isSuspect || view.firstProbeFailure)
        return std::nullopt;
    const auto slotsInTerm = std::ranges::count_if(m_slots, [&](const SlotView& other) {
        return other.promisedTerm == m_primary->term && !other.isSuspect && other.statusAt != TimePoint {};
    });
    if (static_cast<std::size_t>(slotsInTerm) < m_majority)
        return std::nullopt;
    return m_primary;
}

Term GroupView::greatestTerm() const
{
    const std::scoped_lock lock(m_mutex);
    return std::ranges::max(m_slots, {}, &SlotView::promisedTerm).promisedTerm;
}

std::size_t GroupView::reachableCount() const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::size_t>(std::ranges::count_if(m_slots, &SlotView::isReachable));
}

std::size_t GroupView::claimCount(std::uint64_t claim, const std::string& host) const
{
    const std::scoped_lock lock(m_mutex);
    const auto now = Clock::now();
    return static_cast<std::size_t>(std::ranges::count_if(m_slots, [&](const SlotView& view) {
        return view.claim == claim && view.claimHost == host && now - view.statusAt < statusValidity
            && view.statusAt != TimePoint {};
    }));
}

std::optional<Milliseconds> GroupView::age(std::size_t slot) const
{
    const std::scoped_lock lock(m_mutex);
    return m_history.age(m_slots.at(slot).position, Clock::now());
}

std::optional<LogPosition> GroupView::minimumPositionFor(Milliseconds maxAge) const
{
    const std::scoped_lock lock(m_mutex);
    return m_history.minimumPositionFor(maxAge, Clock::now());
}

Milliseconds GroupView::expectedCatchUpTime(std::size_t slot, const LogPosition& required) const
{
    const std::scoped_lock lock(m_mutex);
    const auto& view = m_slots.at(slot);
    if (view.position.covers(required))
        return Milliseconds(0);
    const auto writtenAt = m_history.firstSampleCovering(required);
    if (!writtenAt)
        return view.catchUpTime;
    const auto waited = std::chrono::duration_cast<Milliseconds>(Clock::now() - *writtenAt);
    // A replica that is already later than usual is expected to need the same time again.
    return waited < view.catchUpTime ? view.catchUpTime - waited : waited;
}

void GroupView::pauseWrites(bool isPaused)
{
    const std::scoped_lock lock(m_mutex);
    m_areWritesPaused = isPaused;
    notify();
}

bool GroupView::waitUntil(const Deadline& deadline, const std::function<bool()>& condition) const
{
    for (;;) {
        std::uint64_t version = 0;
        {
            const std::scoped_lock lock(m_mutex);
            version = m_version;
        }
        if (condition())
            return true;
        std::unique_lock lock(m_mutex);
        if (deadline.hasPassed())
            return false;
        m_changed.wait_until(lock, deadline.cappedTo(recheckInterval).at(), [&] { return m_version != version; });
    }
}

bool GroupView::holdsPosition(const SlotView& slot, const PrimaryView& primary, const LogPosition& position)
{
    return slot.promisedTerm == primary.term && slot.position.term == primary.term
        && slot.position.position >= position.position;
}

bool GroupView::canConfirmLocked(const PrimaryView& primary) const
{
    if (m_primary && m_primary->term > primary.term)
        return false;
    const auto usable = std::ranges::count_if(
        m_slots, [&](const SlotView& slot) { return slot.promisedTerm <= primary.term; });
    return static_cast<std::size_t>(usable) >= m_majority;
}

bool GroupView::canConfirm(const PrimaryView& primary) const
{
    const std::scoped_lock lock(m_mutex);
    return canConfirmLocked(primary);
}

bool GroupView::waitForReplicas(const PrimaryView& primary, const LogPosition& position, std::size_t needed,
    const Deadline& deadline) const
{
    std::unique_lock lock(m_mutex);
    bool isConfirmed = false;
    m_changed.wait_until(lock, deadline.at(), [&] {
        std::size_t confirmations = 0;
        for (std::size_t n = 0; n < m_slots.size(); ++n)
            confirmations += n != primary.slot && holdsPosition(m_slots[n], primary, position) ? 1 : 0;
        isConfirmed = confirmations >= needed;
        return isConfirmed || !canConfirmLocked(primary);
    });
    return isConfirmed;
}

void GroupView::wake()
{
    const std::scoped_lock lock(m_mutex);
    notify();
}

void GroupView::notify()
{
    ++m_version;
    m_changed.notify_all();
}

} // namespace kumquatbank
