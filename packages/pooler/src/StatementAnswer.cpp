#include "StatementAnswer.h"

#include <fmt/format.h>

namespace kumquatbank {

void StatementAnswer::refuse(ErrorCode errorCode, std::string_view why, std::optional<std::chrono::milliseconds> retryAfter)
{
    code = errorCode;
    reason = why;
    body = WireDialect::error(errorCode, retryAfter ? fmt::format("{}; retry after {} ms", why, retryAfter->count()) : std::string(why));
}

void StatementAnswer::take(std::string replyBody, std::optional<ErrorCode> replyCode)
{
    code = replyCode;
    reason = replyCode ? "endpoint refused" : "answered";
    body = std::move(replyBody);
}

} // namespace kumquatbank
