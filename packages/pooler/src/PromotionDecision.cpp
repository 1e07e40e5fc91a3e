#include "PromotionDecision.h"

#include "kumquatbank/routing/FencingToken.h"

namespace kumquatbank {

nlohmann::json PromotionDecision::toJson() const
{
    return { { "token", token }, { "era", era }, { "holder", holder }, { "run", run }, { "lost", lost }, { "endpoint", endpoint } };
}

std::optional<PromotionDecision> PromotionDecision::parse(const nlohmann::json& content, std::uint64_t era)
{
    if (!content.is_object() || !content.value("token", nlohmann::json()).is_number_unsigned())
        return std::nullopt;
    try {
        PromotionDecision decision;
        decision.token = content.at("token").get<std::uint64_t>();
        if (decision.token > FencingToken::maxToken)
            return std::nullopt;
        decision.era = content.value("era", era);
        decision.run = content.value("run", std::uint64_t(0));
        decision.holder = content.value("holder", "");
        decision.lost = content.value("lost", "");
        decision.endpoint = content.value("endpoint", "");
        return decision;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace kumquatbank
