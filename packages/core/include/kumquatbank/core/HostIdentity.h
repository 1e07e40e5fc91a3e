#pragma once

#include "kumquatbank/core/HostAddress.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace kumquatbank {

/// One run of a proxy process.
struct HostIdentity {
    HostAddress address; ///< Where its peers reach it.
    std::uint64_t incarnation = 0; ///< Grows with every start and every refuted suspicion.
    std::string place;

    bool operator==(const HostIdentity&) const = default;
};

void to_json(nlohmann::json& json, const HostIdentity& identity);
void from_json(const nlohmann::json& json, HostIdentity& identity); ///< Throws std::exception on bad input.

} // namespace kumquatbank
