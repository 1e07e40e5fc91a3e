#pragma once

#include "kumquatbank/routing/LimitMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Formats and parses the lines between a host and a coordinator of limits. Formatted lines include the line end.
class LimitMessage {
public:
    /// Tells requests apart from those for loans, which arrive at the same address.
    static bool isRequest(std::string_view line);

    static std::string formatRequest(const LimitRequest& request);
    /// Returns nothing if the line is not a valid request.
    static std::optional<LimitRequest> parseRequest(std::string_view line);

    static std::string formatReply(const LimitReply& reply);
    /// Returns nothing if the line is not a valid reply.
    static std::optional<LimitReply> parseReply(std::string_view line);
};

} // namespace kumquatbank
