#pragma once

#include "kumquatbank/core/HostAddress.h"

#include <cstdint>
#include <string>

namespace kumquatbank {

enum class EndpointRole {
    Replica,
    Primary,
};

/// What an endpoint says of itself in the store. The role is a hint: the endpoint itself decides what it accepts.
struct EndpointEntry {
    std::string id;
    std::string service;
    HostAddress address;
    std::string dataCentre;
    int slots = 1; ///< Statements that run at the same time.
    bool isDraining = false;
    EndpointRole role = EndpointRole::Replica;
    std::int64_t startedAtMs = 0; ///< Unix time of its start. Under the same id, another start knows nothing of before.

    bool operator==(const EndpointEntry&) const = default;
};

} // namespace kumquatbank
