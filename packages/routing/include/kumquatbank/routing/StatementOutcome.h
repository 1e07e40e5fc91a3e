#pragma once

#include "kumquatbank/routing/StatementError.h"

#include <optional>

namespace kumquatbank {

/// How a statement on an endpoint ended, as evidence about the endpoint.
enum class StatementOutcome {
    Good, ///< Includes errors that say nothing about the endpoint's health, such as a lagging replica.
    Failed, ///< The database ran it and reported a failure.
    Refused, ///< The endpoint was full.
    Unanswered,
};

/// Outcome of an answered statement. @p code: error of the answer; empty if it succeeded.
constexpr StatementOutcome outcomeOf(std::optional<ErrorCode> code)
{
    if (code == ErrorCode::Busy)
        return StatementOutcome::Refused;
    return code == ErrorCode::Failed ? StatementOutcome::Failed : StatementOutcome::Good;
}

} // namespace kumquatbank
