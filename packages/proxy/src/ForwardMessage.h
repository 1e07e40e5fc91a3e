#pragma once

#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank {

/// A caller's request, forwarded to the holder.
struct ForwardMessage {
    CallerRequest request;
    unsigned hopCount = 0;
    std::vector<HostAddress> unreachable; ///< Higher-ranked candidates that could not be reached.
    std::vector<HostAddress> declined; ///< Higher-ranked candidates that cannot claim the database.
};

/// The response to a ForwardMessage.
struct ForwardReply {
    Result<CallerAnswer> answer;
    bool hasDeclined = false; ///< The sender of this reply cannot claim the database; try the next candidate.
    bool isLinkFailure = false; ///< Set locally if the peer did not reply; not sent.
};

/// True if the request of this reply may have run.
bool isUncertain(const ForwardReply& reply);

nlohmann::json encodeForward(const ForwardMessage& message);

/// NotRun/BadRequest for a message that cannot be decoded.
Result<ForwardMessage> decodeForward(const nlohmann::json& json);

nlohmann::json encodeReply(const ForwardReply& reply);

/// MayHaveRun/Internal for a reply that cannot be decoded.
ForwardReply decodeReply(const nlohmann::json& json);

} // namespace kumquatbank
