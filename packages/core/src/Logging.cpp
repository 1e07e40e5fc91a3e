#include "kumquatbank/core/Logging.h"

#include <algorithm>
#include <array>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace kumquatbank {

namespace {

    constexpr std::array<std::string_view, 6> levelNames { "trace", "debug", "info", "warn", "error", "off" };

} // namespace

log4cxx::LoggerPtr partLogger(const std::string& part) { return log4cxx::Logger::getLogger(part); }

Result<void> configureLogging(const std::map<std::string, std::string>& levels)
{
    for (const auto& [part, level] : levels) {
        if (std::ranges::find(levelNames, level) == levelNames.end())
            return notRun(FailureCode::BadRequest,
                "log level '" + level + "' of '" + part + "' must be trace, debug, info, warn, error or off");
    }
    const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout("%d{ISO8601} %-5p %c: %m%n"));
    const log4cxx::AppenderPtr appender(
        new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemErr()));
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::getInfo());
    for (const auto& [part, level] : levels) {
        const auto logger = part == "default" ? root : log4cxx::Logger::getLogger(part);
        logger->setLevel(log4cxx::Level::toLevel(level));
    }
    return {};
}

} // namespace kumquatbank
