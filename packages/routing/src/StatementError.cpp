#include "kumquatbank/routing/StatementError.h"

#include <array>

namespace kumquatbank {

std::string_view errorCodeName(ErrorCode code)
{
    constexpr std::array<std::string_view, 15> names { "busy", "lagging", "read_only", "misrouted",
        "too_many_connections", "unknown_statement", "aborted", "failed", "timeout", "in_doubt", "unknown_database",
        "malformed", "too_large", "unauthorized", "other" };
    return names.at(static_cast<std::size_t>(code));
}

} // namespace kumquatbank
