#include "StatementAnswer.h"

#include <fmt/format.h>

namespace kumquatbank {

void StatementAnswer::setError(ErrorCode errorCode, std::string_view message, std::optional<std::chrono::milliseconds> retryAfter)
{
    code = errorCode;
    reason = message;
    body = WireDialect::error(errorCode, retryAfter ? fmt::format("{}; retry after {} ms", message, retryAfter->count()) : std::string(message));
}

void StatementAnswer::setFromReply(std::string replyBody, std::optional<ErrorCode> replyCode)
{
    code = replyCode;
    reason = replyCode ? "endpoint refused" : "answered";
    body = std::move(replyBody);
}

} // namespace kumquatbank
