#pragma once

#include "kumquatbank/core/HostAddress.h"

#include <cstdint>
#include <string>

namespace kumquatbank {

enum class EndpointRole {
    Replica,
    Primary,
};

/// An endpoint's own entry in the store. The role is a hint: the endpoint itself decides which statements it accepts.
struct EndpointEntry {
    std::string id;
    std::string service;
    HostAddress address;
    std::string dataCentre;
    int slots = 1; ///< Maximum number of concurrent statements.
    bool isDraining = false;
    EndpointRole role = EndpointRole::Replica;
    std::int64_t sequence = 0; ///< Counts what the endpoint has written since its start; as of the last change of the entry.
    std::int64_t startedAtMs = 0; ///< Unix time of its start. After a restart under the same id, earlier state is lost.

    bool operator==(const EndpointEntry&) const = default;
};

} // namespace kumquatbank
