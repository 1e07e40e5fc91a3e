#include "Promotion.h"

#include "Invariant.h"

#include <algorithm>
#include <numeric>

namespace kumquatbank {

namespace {

    constexpr Milliseconds callTimeout { 500 };

    // Interval at which `follow` is repeated for a slot, because the previous message may have been lost.
    constexpr Milliseconds followInterval { 1000 };

    // A replica in the primary's term that had no contact with the primary for this time does not follow it.
    constexpr Milliseconds primaryContactTimeout { 1500 };

    // Number of promotions listed in the state dump.
    constexpr std::size_t maxRecentPromotions = 20;

    LogPosition positionOf(const nlohmann::json& reply)
    {
        return { reply.at("logTerm").get<Term>(), reply.at("position").get<std::uint64_t>() };
    }

} // namespace

Promotion::Promotion(GroupView& view, std::vector<EndpointControl*> controls, std::vector<HostAddress> addresses,
    std::string proposer)
    : m_view(view)
    , m_controls(std::move(controls))
    , m_addresses(std::move(addresses))
    , m_proposer(std::move(proposer))
    , m_lastFollowAt(m_controls.size())
{
}

Result<PrimaryView> Promotion::attempt(const std::string& reason, std::optional<std::size_t> excluded)
{
    const auto startedAt = Clock::now();
    const Term term = std::max(m_view.greatestTerm(), m_lastTerm) + 1;
    invariant(term > m_lastTerm, "a promoter proposes each term at most once");
    m_lastTerm = term;

    std::vector<std::size_t> all(m_controls.size());
    std::iota(all.begin(), all.end(), 0);
    if (excluded)
        std::erase(all, *excluded);
    ParallelCalls fenceCalls(m_controls, all, "fence", { { "term", term }, { "proposer", m_proposer } },
        Deadline::after(callTimeout));
    const auto replies = fenceCalls.wait(m_view.majority(), isGranted);
    std::vector<ParallelCalls::Reply> granted;
    try {
        for (const auto& reply : replies) {
            if (!reply.result)
                continue;
            m_view.applyReport(reply.slot,
                { reply.result->at("promisedTerm").get<Term>(), positionOf(*reply.result), reply.sentAt });
            if (isGranted(reply))
                granted.push_back(reply);
        }
    } catch (const nlohmann::json::exception& problem) {
        return notRun(FailureCode::Internal, std::string("malformed reply to fence: ") + problem.what());
    }

    auto primary = promote(granted, term);
    const auto duration = std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt);
    if (!primary) {
        LOG4CXX_INFO(partLogger("promotion"), "term " + std::to_string(term) + ": " + primary.error().message);
        const std::scoped_lock lock(m_mutex);
        ++m_failures;
        return primary;
    }
    LOG4CXX_INFO(partLogger("promotion"),
        "slot " + std::to_string(primary->slot) + " is primary of term " + std::to_string(term) + " after "
            + std::to_string(duration.count()) + " ms: " + reason);
    {
        const std::scoped_lock lock(m_mutex);
        ++m_count;
        m_recent.push_back(
            { { "term", term }, { "slot", primary->slot }, { "tookMs", duration.count() }, { "reason", reason } });
        if (m_recent.size() > maxRecentPromotions)
            m_recent.erase(m_recent.begin());
    }
    std::erase(all, primary->slot);
    follow(*primary, all);
    return primary;
}

Result<PrimaryView> Promotion::promote(const std::vector<ParallelCalls::Reply>& granted, Term term)
{
    if (granted.size() < m_view.majority()) {
        if (m_view.greatestTerm() > term)
            return notRun(FailureCode::Conflict, "a slot has promised a greater term to another promoter");
        return notRun(FailureCode::Unavailable, "the term was not granted by a majority of slots");
    }
    const auto current = m_view.primary();
    const auto preference = [&](const ParallelCalls::Reply& reply) {
        const bool isStaying = !m_view.slot(reply.slot).isLeaving;
        const bool isCurrent = current && current->slot == reply.slot;
        return std::tuple(positionOf(*reply.result), isStaying, isCurrent);
    };
    const auto best = std::ranges::max_element(granted, {}, preference);
    const auto sentAt = Clock::now();
    const auto reply = m_controls.at(best->slot)
                           ->call("promote", { { "term", term }, { "proposer", m_proposer } },
                               Deadline::after(callTimeout));
    if (!reply)
        return tl::unexpected(reply.error());
    if (!reply->value("granted", false))
        return notRun(FailureCode::Conflict, "another promoter fenced the slot before its promotion");
    const PositionReport report { term, positionOf(*reply), sentAt };
    invariant(report.position.position >= positionOf(*best->result).position,
        "a promoted slot keeps all records of its log");
    m_view.applyPromotion(best->slot, report);
    return PrimaryView { best->slot, term };
}

void Promotion::follow(const PrimaryView& primary, const std::vector<std::size_t>& slots)
{
    ParallelCalls calls(m_controls, slots, "follow",
        { { "term", primary.term }, { "primary", m_addresses.at(primary.slot).toString() } },
        Deadline::after(callTimeout));
    for (const auto& reply : calls.wait(slots.size(), isGranted)) {
        if (isGranted(reply))
            m_lastFollowAt[reply.slot] = Clock::now();
    }
}

void Promotion::reattachReplicas()
{
    const auto primary = m_view.primary();
    if (!primary)
        return;
    const auto slots = m_view.slots();
    for (std::size_t n = 0; n < slots.size(); ++n) {
        const auto& slot = slots[n];
        const bool isInLowerTerm = slot.promisedTerm < primary->term;
        const bool isDetached = slot.promisedTerm == primary->term && slot.primaryContactAge > primaryContactTimeout
            && slots[primary->slot].isReachable;
        if (n == primary->slot || !slot.isReachable || !(isInLowerTerm || isDetached))
            continue;
        if (Clock::now() - m_lastFollowAt[n] < followInterval)
            continue;
        m_lastFollowAt[n] = Clock::now();
        if (isInLowerTerm) {
            const auto sentAt = Clock::now();
            const auto reply = m_controls[n]->call("fence",
                { { "term", primary->term }, { "proposer", m_proposer } }, Deadline::after(callTimeout));
            if (!reply || !reply->value("granted", false))
                continue;
            m_view.applyReport(n, { primary->term, positionOf(*reply), sentAt });
        }
        LOG4CXX_INFO(partLogger("promotion"),
            "slot " + std::to_string(n) + " receives a request to follow slot " + std::to_string(primary->slot));
        follow(*primary, { n });
    }
}

nlohmann::json Promotion::state() const
{
    const std::scoped_lock lock(m_mutex);
    return { { "count", m_count }, { "lost", m_failures }, { "recent", m_recent } };
}

} // namespace kumquatbank
