#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbank {

/// The newest decision to replace the primary of a service, as hosts store it. The stored object also gives out the
/// fencing tokens of the service.
struct PromotionDecision {
    /// Members of the stored object that are read.
    static constexpr std::array<std::string_view, 6> fields { "token", "era", "run", "holder", "lost", "endpoint" };

    std::uint64_t token = 0;
    std::uint64_t era = 0; ///< Era of the store in which the token was taken.
    std::uint64_t run = 0; ///< Identifies the process that decided.
    std::string holder; ///< Host of that process.
    std::string lost; ///< The endpoint that it replaces.
    std::string endpoint; ///< The endpoint that it promotes; empty if it is not stored.

    nlohmann::json toJson() const;

    /// Empty if the content has no token or a field of another type.
    /// @param era  taken for a decision of a build that stores none.
    static std::optional<PromotionDecision> parse(const nlohmann::json& content, std::uint64_t era);
};

} // namespace kumquatbank
