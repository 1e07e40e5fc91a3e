#pragma once

#include "kumquatbank/core/Cause.h"
#include "kumquatbank/core/Clock.h"
#include "kumquatbank/core/Verdict.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace kumquatbank {

/// Machine-readable reason of a failure; the name on the wire is failureCodeName().
enum class FailureCode {
    BadRequest,
    UnknownEntry,
    UnknownDatabase,
    UnknownTransaction,
    ForeignToken, ///< The session token belongs to another deployment.
    Refused, ///< Refused by admission control.
    DeadlinePassed,
    Unavailable, ///< Nothing could serve the request now.
    NotHolder, ///< This process does not hold the database.
    NotPrimary,
    TermMismatch,
    Behind, ///< The replica does not hold the required position.
    ClaimSuperseded,
    ConnectionLimit,
    Leaving,
    NoTransaction,
    StatementError, ///< The database rejected the statement.
    Unreachable, ///< No connection could be made; nothing was sent.
    ConnectionLost, ///< The connection broke or answered out of order.
    Timeout,
    Conflict, ///< A conditional update met another version.
    NotFound,
    Internal,
};

std::string_view failureCodeName(FailureCode code);
std::optional<FailureCode> parseFailureCode(std::string_view name);

/// A failed request: whether it may have run, why, and who is responsible.
struct Failure {
    Verdict verdict = Verdict::MayHaveRun;
    FailureCode code = FailureCode::Internal;
    std::string message;
    Cause cause = Cause::None;
    std::string entry; ///< Catalogue entry behind the refusal; empty if none.
    std::string owner; ///< Owner of that entry; empty if none.
    std::optional<Milliseconds> retryAfter; ///< When to come back, if repeating makes sense.
};

void to_json(nlohmann::json& json, const Failure& failure);
void from_json(const nlohmann::json& json, Failure& failure);

/// A value or the failure with its verdict.
template <typename T>
using Result = tl::expected<T, Failure>;

/// Failure that is proved not to have run.
tl::unexpected<Failure> notRun(FailureCode code, std::string message, Cause cause = Cause::None);

/// Failure of a request that may have taken effect.
tl::unexpected<Failure> mayHaveRun(FailureCode code, std::string message, Cause cause = Cause::None);

} // namespace kumquatbank
