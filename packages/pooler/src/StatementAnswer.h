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
    std::optional<ErrorCode> code; ///< Set if the statement failed.
    std::string reason; ///< Cause of the outcome, for logs.
    std::string endpoint; ///< Endpoint that answered or was tried last.
    std::string lender; ///< Host that holds the connection; empty if it is this host.
    std::optional<LogPosition> floor; ///< Minimum position of a read.
    std::chrono::nanoseconds queued { 0 };
    int attempts = 0;
    std::string account; ///< Account of the client; empty if it has none.
    bool endsSession = false; ///< The session is closed after this answer.

    /// Sets an error that the proxy itself reports. The transaction state is not changed.
    void setError(ErrorCode errorCode, std::string_view message, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    /// Sets the refusal of a client that is not allowed; nothing has run, and the session ends.
    void setUnauthorized(std::string_view message)
    {
        setError(ErrorCode::Unauthorized, message);
        endsSession = true;
    }
    /// Sets the body and error code that an endpoint returned. The transaction state is not changed.
    void setFromReply(std::string replyBody, std::optional<ErrorCode> replyCode);
};

} // namespace kumquatbank
