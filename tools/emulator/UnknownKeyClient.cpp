#include "UnknownKeyClient.h"

#include "KeyWithdrawals.h"
#include "kumquatbank/adapter/WireDialect.h"

#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds connectTimeout { 1000 };
    constexpr milliseconds answerTimeout { 4000 };
    constexpr milliseconds pause { 200 };

} // namespace

UnknownKeyClient::UnknownKeyClient(asio::io_context& io, std::string database, std::vector<HostAddress> proxies, unsigned seed, LoadReport& report)
    : m_io(io)
    , m_database(std::move(database))
    , m_proxies(std::move(proxies))
    , m_random(seed)
    , m_report(report)
{
}

Task<void> UnknownKeyClient::run(BootTime until)
{
    while (BootClock::now() < until) {
        const auto line = fmt::format("START {} {}\r\n", m_database, m_random() % 2 == 0 ? "unknown-key" : KeyWithdrawals::sharedKey);
        co_await sleepFor(m_io, pause);
        const auto& proxy = m_proxies[m_random() % m_proxies.size()];
        auto channel = co_await LineChannel::connect(m_io, proxy, WireDialect::maxMessageBytes, connectTimeout, answerTimeout);
        if (!channel)
            continue;
        const auto answerUntil = BootClock::now() + answerTimeout;
        std::string_view answer;
        if (co_await channel->write(line, answerUntil) != ChannelStatus::Ok)
            continue;
        const auto status = co_await channel->readLine(answer, answerUntil);
        if (status != ChannelStatus::Ok)
            continue;
        if (answer.starts_with("READY"))
            m_report.violation("a key that belongs to no account got a session of " + m_database);
        else if (answer.starts_with("ERR NOAUTH"))
            m_report.unknownKeyRefused();
    }
}

} // namespace kumquatbank
