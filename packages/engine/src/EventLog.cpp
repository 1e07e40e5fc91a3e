#include "kumquatbank/engine/EventLog.h"

#include "BoundedSink.h"
#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/core/Clock.h"

#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/logger.h>
#include <unistd.h>

namespace kumquatbank {

namespace {

    /// Limits the number of lines in fixed windows of one second.
    class RateLimiter {
    public:
        explicit RateLimiter(unsigned perSecond)
            : m_perSecond(perSecond)
        {
        }

        void setRate(unsigned perSecond) { m_perSecond = perSecond; }

        bool admit(BootTime now)
        {
            if (now - m_windowStart >= std::chrono::seconds(1)) {
                m_windowStart = now;
                m_count = 0;
            }
            return m_count++ < m_perSecond;
        }

    private:
        unsigned m_perSecond;
        unsigned m_count = 0;
        BootTime m_windowStart {};
    };

    constexpr std::chrono::seconds dropReportInterval { 1 };
    constexpr unsigned defaultServedPerSecond = 100;
    constexpr unsigned defaultOthersPerSecond = 500;

    struct State {
        std::shared_ptr<BoundedSink> sink = std::make_shared<BoundedSink>();
        spdlog::logger logger { "events", sink };
        RateLimiter servedLimiter { defaultServedPerSecond };
        RateLimiter infoLimiter { defaultOthersPerSecond };
        RateLimiter warnLimiter { defaultOthersPerSecond };
        std::uint64_t reportedDroppedLines = 0;
        BootTime lastDropReport {};
        std::string line;
        std::string host = R"("")"; ///< As a quoted JSON string.
    };

    State& state()
    {
        static State instance;
        return instance;
    }

    void appendQuoted(std::string& line, std::string_view text)
    {
        line += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    void appendValue(std::string& line, const LogField& field)
    {
        std::visit(
            [&line](const auto& value) {
                using Value = std::decay_t<decltype(value)>;
                if constexpr (std::is_same_v<Value, std::string_view>)
                    appendQuoted(line, value);
                else if constexpr (std::is_same_v<Value, bool>)
                    line += value ? "true" : "false";
                else
                    line += std::to_string(value);
            },
            field.value);
    }

    void write(spdlog::level::level_enum level, std::string_view levelName, std::string_view event, EventLog::Fields fields)
    {
        auto& log = state();
        auto& line = log.line;
        line = R"({"at_ms":)";
        line += std::to_string(toMs(WallClock::now().time_since_epoch()));
        line += R"(,"level":")";
        line += levelName;
        line += R"(","host":)";
        line += log.host;
        line += R"(,"event":")";
        line += event;
        line += '"';
        for (const auto& field : fields) {
            line += ",\"";
            line += field.name;
            line += "\":";
            appendValue(line, field);
        }
        line += '}';
        log.logger.log(level, spdlog::string_view_t(line));
    }

    void writeLimited(RateLimiter& limiter, spdlog::level::level_enum level, std::string_view levelName, std::string_view event, EventLog::Fields fields)
    {
        if (limiter.admit(BootClock::now()))
            write(level, levelName, event, fields);
        else
            state().sink->countDroppedLine();
    }

    void reportDroppedLines()
    {
        auto& log = state();
        const auto dropped = log.sink->dropped();
        const auto now = BootClock::now();
        if (dropped == log.reportedDroppedLines || now - log.lastDropReport < dropReportInterval)
            return;
        log.lastDropReport = now;
        const auto newlyDropped = dropped - std::exchange(log.reportedDroppedLines, dropped);
        write(spdlog::level::warn, "warn", "log_lines_dropped", { { "count", newlyDropped } });
    }

} // namespace

void EventLog::setHost(std::string host)
{
    state().host.clear();
    appendQuoted(state().host, host);
}

void EventLog::served(std::string_view event, Fields fields) { writeLimited(state().servedLimiter, spdlog::level::info, "info", event, fields); }

void EventLog::info(std::string_view event, Fields fields) { writeLimited(state().infoLimiter, spdlog::level::info, "info", event, fields); }

void EventLog::warn(std::string_view event, Fields fields) { writeLimited(state().warnLimiter, spdlog::level::warn, "warn", event, fields); }

void EventLog::error(std::string_view event, Fields fields) { write(spdlog::level::err, "error", event, fields); }

void EventLog::flush()
{
    reportDroppedLines();
    state().sink->drain();
}

void EventLog::flushAll(int timeoutMs)
{
    reportDroppedLines();
    const auto deadline = BootClock::now() + std::chrono::milliseconds(timeoutMs);
    while (!state().sink->drain() && BootClock::now() < deadline) {
        pollfd fd { STDOUT_FILENO, POLLOUT, 0 };
        poll(&fd, 1, timeoutMs);
    }
}

std::uint64_t EventLog::droppedLines() { return state().sink->dropped(); }

void EventLog::setRateLimits(unsigned servedPerSecond, unsigned othersPerSecond)
{
    state().servedLimiter.setRate(servedPerSecond);
    state().infoLimiter.setRate(othersPerSecond);
    state().warnLimiter.setRate(othersPerSecond);
}

} // namespace kumquatbank
