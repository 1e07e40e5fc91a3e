#include "kumquatbank/routing/PromotionPolicy.h"

#include <algorithm>
#include <array>

namespace kumquatbank {

namespace {

    /// Time from granting a connection to the arrival of the request: opening a connection, and the interval at which
    /// the grants are renewed.
    constexpr std::chrono::milliseconds requestTransitTime { 1000 };

    bool isOlderOrLeaving(const EndpointStatus& left, const EndpointStatus& right)
    {
        if (left.received != right.received)
            return left.received < right.received;
        return left.isDraining && !right.isDraining;
    }

    PromotionBlock findBlock(const PromotionSituation& situation)
    {
        const auto answered = situation.answered.size();
        if (situation.syncReplicas == 0)
            return answered == 0 || answered * 2 < situation.listedEndpoints ? PromotionBlock::TooFewAnswered : PromotionBlock::None;
        if (!situation.areMembersKnown)
            return PromotionBlock::MembersUnknown;
        const auto synchronous = static_cast<std::size_t>(situation.syncReplicas);
        const auto required = situation.members > synchronous ? situation.members - synchronous : 1;
        if (answered < required)
            return PromotionBlock::TooFewAnswered;
        const auto stopped = std::ranges::count_if(situation.answered, &EndpointStatus::isStopped);
        return static_cast<std::size_t>(stopped) < required ? PromotionBlock::NotStopped : PromotionBlock::None;
    }

} // namespace

std::string_view promotionBlockName(PromotionBlock block)
{
    constexpr std::array<std::string_view, 5> names { "none", "members_unknown", "too_few_answered", "not_stopped", "leaving" };
    return names.at(static_cast<std::size_t>(block));
}

PromotionChoice choosePromotionCandidate(const PromotionSituation& situation)
{
    if (const auto block = findBlock(situation); block != PromotionBlock::None)
        return { std::nullopt, block };
    // What an endpoint that is not stopped has received is no proof, because it may receive more.
    auto candidates = situation.answered;
    if (situation.syncReplicas > 0)
        std::erase_if(candidates, [](const EndpointStatus& status) { return !status.isStopped; });
    const auto& newest = *std::ranges::max_element(candidates, isOlderOrLeaving);
    const bool canServe = !newest.isDraining || newest.servingTime >= minServingTime;
    if (canServe || std::ranges::any_of(situation.answered, [](const EndpointStatus& status) { return !status.isDraining; }))
        return { newest, PromotionBlock::None };
    return { std::nullopt, PromotionBlock::Leaving };
}

PromotionChoice previewPromotionCandidate(PromotionSituation situation)
{
    for (auto& status : situation.answered)
        status.isStopped = true;
    return choosePromotionCandidate(situation);
}

std::optional<EndpointStatus> chooseSuccessor(const std::vector<EndpointStatus>& answered)
{
    auto staying = answered;
    std::erase_if(staying, &EndpointStatus::isDraining);
    const auto it = std::ranges::max_element(staying, {}, &EndpointStatus::received);
    return it == staying.end() ? std::nullopt : std::optional(*it);
}

bool hasWholeLog(const EndpointStatus& candidate, const LogPosition& finalPosition) { return candidate.received >= finalPosition; }

bool isPrimaryLost(const std::vector<PeerReport>& reports, bool decideWithoutPeers)
{
    const auto answered = std::ranges::count_if(reports, &PeerReport::answered);
    if (answered == 0)
        return reports.empty() || decideWithoutPeers;
    const auto reaching = std::ranges::count_if(reports, [](const PeerReport& report) { return report.answered && report.reachesPrimary; });
    return 2 * reaching < answered + 1;
}

BootTime drainingServiceEnd(std::optional<BootTime> knownReadyAt, std::chrono::milliseconds drainTime, BootTime now)
{
    // An endpoint that was first seen draining may have reported it at any time before.
    return knownReadyAt ? *knownReadyAt + drainTime - requestTransitTime : now;
}

} // namespace kumquatbank
