#include "TimeArgument.h"

#include "CommandFailure.h"

#include <charconv>
#include <ctime>
#include <iomanip>
#include <optional>
#include <sstream>

namespace kumquatbank {

namespace {

    std::optional<std::chrono::seconds> parseSpan(const std::string& text)
    {
        long count = 0;
        const char* end = text.data() + text.size();
        const auto [unit, ec] = std::from_chars(text.data() + 1, end, count);
        constexpr long maxCount = 1'000'000;
        if (ec != std::errc {} || unit + 1 != end || count < 0 || count > maxCount)
            return std::nullopt;
        switch (*unit) {
        case 's':
            return std::chrono::seconds(count);
        case 'm':
            return std::chrono::minutes(count);
        case 'h':
            return std::chrono::hours(count);
        case 'd':
            return std::chrono::days(count);
        default:
            return std::nullopt;
        }
    }

    std::optional<WallTime> parseIso(std::string text)
    {
        if (text.ends_with('Z'))
            text.pop_back();
        for (const auto* format : { "%Y-%m-%dT%H:%M:%S", "%Y-%m-%dT%H:%M", "%Y-%m-%d" }) {
            std::tm parts {};
            std::istringstream input(text);
            input >> std::get_time(&parts, format);
            if (input.fail() || input.peek() != std::istringstream::traits_type::eof())
                continue;
            return WallClock::from_time_t(timegm(&parts));
        }
        return std::nullopt;
    }

} // namespace

WallTime parseTimeArgument(const std::string& text, WallTime now)
{
    if (text == "now")
        return now;
    if (text.starts_with('-')) {
        if (const auto span = parseSpan(text))
            return now - *span;
    } else if (const auto time = parseIso(text)) {
        return *time;
    }
    throw CommandFailure(ExitCode::Usage,
        "'" + text + "' is not a time: use an ISO time in UTC such as 2026-12-04T03:00Z, or -1h, -30m, -2d, now");
}

std::string formatMinute(std::chrono::sys_seconds time)
{
    const std::time_t seconds = WallClock::to_time_t(time);
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::ostringstream output;
    output << std::put_time(&parts, "%Y-%m-%dT%H:%MZ");
    return output.str();
}

} // namespace kumquatbank
