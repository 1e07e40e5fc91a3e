#pragma once

#include <string_view>

namespace kumquatbank {

/// Reason why a statement has no result. Each client protocol maps every value to a code of its own.
enum class ErrorCode {
    Busy, ///< Nothing ran: no capacity.
    Lagging, ///< Nothing ran: the endpoint has not applied the required position.
    ReadOnly, ///< Nothing ran: the endpoint is not the primary.
    Misrouted, ///< Nothing ran: another endpoint answered at this address.
    TooManyConnections, ///< Nothing ran: the endpoint accepts no more connections.
    UnknownStatement, ///< Nothing ran: the statement is not prepared on the connection.
    Aborted, ///< The transaction was rolled back and has no effect.
    Failed, ///< The statement ran and failed.
    Timeout, ///< The statement may have run.
    InDoubt, ///< The statement may have run; its answer was lost.
    UnknownDatabase,
    Malformed,
    TooLarge,
    Unauthorized,
    Other, ///< A code that is not in this list.
};

/// Returns the name for logs and metrics, for example "in_doubt".
std::string_view errorCodeName(ErrorCode code);

/// True if the code guarantees that the client's attempt has no lasting effect.
constexpr bool guaranteesNoEffect(ErrorCode code)
{
    return code == ErrorCode::Busy || code == ErrorCode::Lagging || code == ErrorCode::ReadOnly
        || code == ErrorCode::Misrouted || code == ErrorCode::TooManyConnections || code == ErrorCode::Aborted;
}

/// True if a database that answers with the code may have run the command.
constexpr bool mayHaveRun(ErrorCode code)
{
    return code == ErrorCode::Failed || code == ErrorCode::Timeout || code == ErrorCode::InDoubt || code == ErrorCode::Other;
}

} // namespace kumquatbank
