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

/// Writes structured events to standard output, one JSON object per line. Lines are stored in a bounded buffer that
/// flush() writes without blocking. Lines that do not fit into the buffer or exceed the rate limit of their level are
/// dropped and counted, and the count is logged. Served requests, state changes and failures have separate rate
/// limits, so that a burst of one kind does not displace the others.
class EventLog {
public:
    using Fields = std::initializer_list<LogField>;

    /// Sets the host name that is written into every line.
    static void setHost(std::string host);

    /// Logs a served request.
    static void served(std::string_view event, Fields fields);
    /// Logs a change of the process's state or of its view of other components.
    static void info(std::string_view event, Fields fields);
    static void warn(std::string_view event, Fields fields);
    static void error(std::string_view event, Fields fields);

    /// Writes as much as standard output accepts without blocking. Called by the event loop's periodic tick.
    static void flush();

    /// Writes all buffered lines, blocking for at most @p timeoutMs. Use only when the process exits.
    static void flushAll(int timeoutMs);

    /// Number of lines dropped since the process started.
    static std::uint64_t droppedLines();

    /// Sets the maximum number of lines per second: @p servedPerSecond for served requests, @p othersPerSecond for
    /// info() and for warn() each.
    static void setRateLimits(unsigned servedPerSecond, unsigned othersPerSecond);
};

} // namespace kumquatbank
