#pragma once

#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>

namespace kumquatbank {

/// Kind of a request between two proxy processes.
enum class PeerMessageType {
    Forward, ///< A caller's request for the holder.
    Exchange, ///< Membership gossip and catalogue revision.
    CataloguePush, ///< New catalogue changes.
    IndirectProbe, ///< Asks whether a third process answers.
    Snapshot, ///< Catalogue and members for a new process.
    Ping, ///< Answered at once.
    Inspect, ///< State dump or causes query of an operator.
};

/// A request between two proxy processes; the response is a JSON body alone.
struct PeerMessage {
    PeerMessageType type = PeerMessageType::Exchange;
    HostIdentity from;
    nlohmann::json body;
};

void to_json(nlohmann::json& json, const PeerMessage& message);
void from_json(const nlohmann::json& json, PeerMessage& message); ///< Throws std::exception on bad input.

} // namespace kumquatbank
