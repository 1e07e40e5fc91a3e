#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace kumquatbank {

/// One named value of a log line.
struct LogField {
    std::string_view name;
    std::variant<std::int64_t, double, bool, std::string_view> value;

    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    LogField(std::string_view fieldName, const std::string& text)
        : LogField(fieldName, std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, const char* text)
        : LogField(fieldName, std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    {
    }
    template <std::integral Number>
    LogField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(static_cast<std::int64_t>(number))
    {
    }
};

/// Structured events on standard output, one JSON object a line. Lines go into a bounded buffer that flush() writes
/// without blocking; lines that do not fit, or exceed the rate of their level, are counted and the count is logged.
/// Served requests, changes and failures have rates of their own, so that
/// a flood of one kind displaces no other.
class EventLog {
public:
    using Fields = std::initializer_list<LogField>;

    /// Name of this host, written into every line.
    static void setHost(std::string host);

    /// A request that was served.
    static void served(std::string_view event, Fields fields);
    /// A change of what the process does or believes.
    static void info(std::string_view event, Fields fields);
    static void warn(std::string_view event, Fields fields);
    static void error(std::string_view event, Fields fields);

    /// Writes what standard output takes now. Called by the event loop's periodic tick.
    static void flush();

    /// Waits for standard output to take everything, at most @p timeoutMs. For the end of the process only.
    static void flushAll(int timeoutMs);

    /// Lines left out since the start.
    static std::uint64_t droppedLines();

    /// Lines a second that are kept: of served requests, and of changes and failures each.
    static void setRateLimits(unsigned servedPerSecond, unsigned othersPerSecond);
};

} // namespace kumquatbank
