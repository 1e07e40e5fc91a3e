#pragma once

#include "kumquatbank/core/Deadline.h"
#include "kumquatbank/core/Failure.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace kumquatbank {

/// What a caller asks of a database.
enum class RequestKind {
    Read,
    Write,
    Begin, ///< Opens a transaction.
    Commit,
    Rollback,
};

/// Name on the wire: "read", "write", "begin", "commit" or "rollback".
std::string_view requestKindName(RequestKind kind);
std::optional<RequestKind> parseRequestKind(std::string_view name);

/// One checked request of a caller.
struct CallerRequest {
    std::string requestId;
    std::string entry; ///< Name of the catalogue entry.
    std::string database;
    RequestKind kind = RequestKind::Read;
    std::string statement; ///< Opaque to the proxy; empty for begin, commit and rollback.
    std::string session; ///< Encoded session token; empty for a new session.
    Deadline deadline = Deadline::after(Milliseconds(0));
    std::string idempotencyKey; ///< Empty when the caller gave none.
    std::string transaction; ///< Id of the open transaction; empty outside one.
};

/// Where a statement ran.
enum class ServedBy {
    Primary,
    Replica,
};

/// The answer to a request that ran.
struct CallerAnswer {
    std::string requestId;
    nlohmann::json result; ///< What the database returned.
    std::string session; ///< Token for the session's next request.
    ServedBy servedBy = ServedBy::Primary;
    bool repeated = false; ///< True when the idempotency key was known and the stored result is returned.
    std::string transaction; ///< Id of the transaction that begin opened; else empty.
};

/// The deadline travels as the remaining milliseconds in "deadlineMs".
void to_json(nlohmann::json& json, const CallerRequest& request);

/// Reads and checks a request; NotRun/BadRequest names the field that is missing, unknown, mistyped or too
/// long, NotRun/DeadlinePassed when no time is left.
Result<CallerRequest> parseCallerRequest(const nlohmann::json& json);

void to_json(nlohmann::json& json, const CallerAnswer& answer);
void from_json(const nlohmann::json& json, CallerAnswer& answer);

} // namespace kumquatbank
