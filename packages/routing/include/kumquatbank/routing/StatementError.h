#pragma once

#include <string_view>

namespace kumquatbank {

/// Why a statement got no result. Each client protocol has a code for each of them.
enum class ErrorCode {
    Busy, ///< Nothing ran: no capacity.
    Lagging, ///< Nothing ran: the endpoint lacks the required position.
    ReadOnly, ///< Nothing ran: the endpoint is not the primary.
    Misrouted, ///< Nothing ran: another endpoint answers at this address.
    TooManyConnections, ///< Nothing ran: the endpoint accepts no more connections.
    UnknownStatement, ///< Nothing ran: the connection lacks the prepared statement.
    Aborted, ///< The transaction was rolled back; nothing is kept.
    Failed, ///< It ran and failed.
    Timeout, ///< It may have run.
    InDoubt, ///< It may have run; the answer was lost.
    UnknownDatabase,
    Malformed,
    TooLarge,
    Unauthorized,
    Other, ///< A code that is not known here.
};

/// Name for logs and metrics, for example "in_doubt".
std::string_view errorCodeName(ErrorCode code);

/// True if the code promises that nothing of the client's attempt is kept.
constexpr bool guaranteesNoEffect(ErrorCode code)
{
    return code == ErrorCode::Busy || code == ErrorCode::Lagging || code == ErrorCode::ReadOnly
        || code == ErrorCode::Misrouted || code == ErrorCode::TooManyConnections || code == ErrorCode::Aborted;
}

} // namespace kumquatbank
