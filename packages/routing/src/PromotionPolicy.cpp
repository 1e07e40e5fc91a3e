#include "kumquatbank/routing/PromotionPolicy.h"

#include <algorithm>

namespace kumquatbank {

std::optional<EndpointStatus> choosePromotionCandidate(const std::vector<EndpointStatus>& statuses, std::size_t knownEndpoints)
{
    if (statuses.size() * 2 < knownEndpoints)
        return std::nullopt;
    const auto it = std::ranges::max_element(statuses, [](const EndpointStatus& left, const EndpointStatus& right) {
        if (left.isDraining != right.isDraining)
            return left.isDraining;
        return left.received < right.received;
    });
    return it == statuses.end() ? std::nullopt : std::optional(*it);
}

bool isPrimaryLost(const std::vector<PeerReport>& reports, bool decideWithoutPeers)
{
    const auto answered = std::ranges::count_if(reports, &PeerReport::answered);
    if (answered == 0)
        return reports.empty() || decideWithoutPeers;
    const auto reaching = std::ranges::count_if(reports, [](const PeerReport& report) { return report.answered && report.reachesPrimary; });
    return 2 * reaching < answered + 1;
}

} // namespace kumquatbank
