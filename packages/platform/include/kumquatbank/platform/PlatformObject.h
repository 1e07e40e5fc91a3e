#pragma once

#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank {

/// One object of the platform's store, or its removal.
struct PlatformObject {
    std::string kind; ///< "entry", "database" or "causes".
    std::string name;
    std::uint64_t version = 0; ///< Version of this object, for conditional updates.
    std::uint64_t revision = 0; ///< Revision of the whole store at which this version appeared.
    bool isDeleted = false;
    nlohmann::json value;
};

void to_json(nlohmann::json& json, const PlatformObject& object);
void from_json(const nlohmann::json& json, PlatformObject& object); ///< Throws std::exception on bad input.

/// Changes after a revision, in the order of their revisions.
struct WatchResult {
    std::uint64_t revision = 0;
    std::vector<PlatformObject> changes;
    bool isCompacted = false; ///< The changes are no longer known: list the kinds instead.
};

/// All objects of one kind at one revision.
struct ObjectList {
    std::uint64_t revision = 0;
    std::vector<PlatformObject> objects;
};

/// What the platform's lagging host list says of one host.
struct HostNotice {
    HostAddress address;
    std::string place;
    bool isLeaving = false;
    bool isEndpoint = false; ///< An endpoint host; else a proxy host.
};

/// The platform's lagging host list at one revision.
struct HostList {
    std::uint64_t revision = 0; ///< Orders lists that several relays read.
    std::vector<HostNotice> hosts;
};

} // namespace kumquatbank
