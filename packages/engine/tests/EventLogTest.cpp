#include "kumquatbank/engine/EventLog.h"
#include "BoundedSink.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <spdlog/details/log_msg.h>
#include <unistd.h>

using namespace kumquatbank;

namespace {

/// Redirects standard output to a pipe that is read only on request. The destructor restores standard output.
class StalledStdout {
public:
    StalledStdout()
        : m_saved(dup(STDOUT_FILENO))
    {
        CHECK_EQUAL(0, pipe(m_pipe));
        dup2(m_pipe[1], STDOUT_FILENO);
    }

    ~StalledStdout()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

    std::string readAvailableText() const
    {
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string buf(1 << 16, '\0');
        const auto n = read(m_pipe[0], buf.data(), buf.size());
        return buf.substr(0, n > 0 ? static_cast<std::size_t>(n) : 0);
    }

    std::size_t drainAndCount() const
    {
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string buf(1 << 16, '\0');
        std::size_t total = 0;
        for (auto n = read(m_pipe[0], buf.data(), buf.size()); n > 0; n = read(m_pipe[0], buf.data(), buf.size()))
            total += static_cast<std::size_t>(n);
        return total;
    }

private:
    int m_saved;
    int m_pipe[2] {};
};

} // namespace

TEST_GROUP(BoundedSink) {};

// If the reader of standard output stalls, logging must neither block the process nor grow its memory without limit.
TEST(BoundedSink, AStalledReaderNeitherBlocksNorGrowsTheProcess)
{
    constexpr std::size_t lines = 200'000;
    const std::string text(100, 'x');
    std::size_t read = 0;
    BoundedSink sink;
    {
        StalledStdout output;
        for (std::size_t n = 0; n < lines; ++n) {
            sink.log(spdlog::details::log_msg("", spdlog::level::info, text));
            if (n % 1000 == 0)
                sink.drain();
        }
        bool isEmpty = false;
        for (int n = 0; n < 10'000 && !isEmpty; ++n) {
            isEmpty = sink.drain();
            read += output.drainAndCount();
        }
        CHECK_TRUE(isEmpty);
    }
    CHECK_TRUE(sink.dropped() > 0);
    // Every line was either written completely or counted as dropped.
    CHECK_EQUAL((lines - sink.dropped()) * (text.size() + 1), read);
}

TEST_GROUP(EventLog) {};

// With one shared rate limit, a burst of served requests would displace the lines that explain the failed ones.
TEST(EventLog, ServedRequestsDisplaceNeitherChangesNorFailures)
{
    std::string text;
    {
        StalledStdout output;
        EventLog::setRateLimits(10, 50);
        for (int n = 0; n < 5000; ++n)
            EventLog::served("statement", { { "request", n } });
        EventLog::info("primary_changed", { { "to", "p2" } });
        for (int n = 0; n < 40; ++n)
            EventLog::warn("statement", { { "refused", n } });
        EventLog::flush();
        text = output.readAvailableText();
    }
    CHECK_TRUE(text.find("primary_changed") != std::string::npos);
    for (int n = 0; n < 40; ++n)
        CHECK_TRUE(text.find("\"refused\":" + std::to_string(n) + "}") != std::string::npos);
    CHECK_TRUE(text.find("\"request\":9}") != std::string::npos);
    CHECK_TRUE(text.find("\"request\":10}") == std::string::npos);
    CHECK_TRUE(EventLog::droppedLines() >= 4990);
}
