#include "kumquatbank/routing/PromotionPolicy.h"

#include <algorithm>

namespace kumquatbank {

std::optional<EndpointStatus> choosePromotionCandidate(const std::vector<EndpointStatus>& statuses, std::size_t known)
{
    if (statuses.size() * 2 < known)
        return std::nullopt;
    const auto it = std::ranges::max_element(statuses, [](const EndpointStatus& left, const EndpointStatus& right) {
        if (left.isDraining != right.isDraining)
            return left.isDraining;
        return left.received < right.received;
    });
    return it == statuses.end() ? std::nullopt : std::optional(*it);
}

bool isPrimaryLost(const std::vector<PeerOpinion>& opinions, bool alone)
{
    const auto answered = std::ranges::count_if(opinions, &PeerOpinion::answered);
    if (answered == 0)
        return opinions.empty() || alone;
    const auto seeing = std::ranges::count_if(opinions, [](const PeerOpinion& opinion) { return opinion.answered && opinion.seesPrimary; });
    return 2 * seeing < answered + 1;
}

} // namespace kumquatbank
