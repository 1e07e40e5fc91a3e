#pragma once

#include "kumquatbank/adapter/WireDialect.h"

#include <chrono>
#include <optional>
#include <string>

namespace kumquatbank {

/// Final answer of one statement.
struct StatementAnswer {
    std::string body; ///< Result lines for the client.
    TransactionState state = TransactionState::None;
    std::optional<ErrorCode> code; ///< Set if it failed.
    std::string reason; ///< For logs: what decided it.
    std::string endpoint; ///< That answered, or was tried last.
    std::string lender; ///< Host that holds the connection; empty if this one does.
    std::optional<LogPosition> floor; ///< Position that a read had to find.
    std::chrono::nanoseconds queued { 0 };
    int attempts = 0;

    /// Makes this an error of the proxy's own. The state stays as it is.
    void setError(ErrorCode errorCode, std::string_view message, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    /// Takes over what an endpoint answered. The state stays as it is.
    void setFromReply(std::string replyBody, std::optional<ErrorCode> replyCode);
};

} // namespace kumquatbank
