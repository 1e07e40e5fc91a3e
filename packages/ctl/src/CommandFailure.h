#pragma once

#include "kumquatbank/core/core.h"
#include "kumquatbank/ctl/ExitCode.h"

#include <stdexcept>
#include <string>

namespace kumquatbank {

/// Ends a command with a message for the operator and an exit code.
class CommandFailure : public std::runtime_error {
public:
    CommandFailure(ExitCode code, const std::string& message)
        : std::runtime_error(message)
        , m_code(code)
    {
    }

    /// Failure of a call to the platform or a proxy.
    static CommandFailure from(const std::string& what, const Failure& failure)
    {
        return { codeOf(failure), what + ": " + failure.message };
    }

    ExitCode code() const { return m_code; }

private:
    static ExitCode codeOf(const Failure& failure)
    {
        switch (failure.code) {
        case FailureCode::BadRequest:
            return ExitCode::Usage;
        case FailureCode::Conflict:
            return ExitCode::Conflict;
        case FailureCode::Unreachable:
        case FailureCode::Unavailable:
        case FailureCode::ConnectionLost:
        case FailureCode::Timeout:
            return ExitCode::Unreachable;
        default:
            return ExitCode::Refused;
        }
    }

    ExitCode m_code;
};

} // namespace kumquatbank
