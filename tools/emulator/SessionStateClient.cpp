#include "SessionStateClient.h"

#include "EmulatedPlatform.h"

#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds connectTimeout { 1000 };
    constexpr milliseconds answerTimeout { 4000 };
    constexpr milliseconds reconnectPause { 100 };
    /// Shapes that all clients share, more than a session prepares, so that connections lack some of them.
    constexpr unsigned shapes = 24;
    constexpr unsigned maxStatements = 8;
    constexpr unsigned maxPauseMs = 120;

} // namespace

SessionStateClient::SessionStateClient(asio::io_context& io, std::string database, std::vector<HostAddress> proxies, unsigned seed, LoadReport& report)
    : m_io(io)
    , m_database(std::move(database))
    , m_proxies(std::move(proxies))
    , m_random(seed)
    , m_report(report)
    , m_name(fmt::format("client-{}", seed))
{
}

Task<bool> SessionStateClient::openSession()
{
    if (m_channel)
        co_return true;
    const auto proxy = m_proxies[m_random() % m_proxies.size()];
    auto channel = co_await LineChannel::connect(m_io, proxy, WireDialect::maxMessageBytes, connectTimeout, answerTimeout);
    if (!channel)
        co_return false;
    m_prepared.clear();
    m_channel.emplace(std::move(*channel));
    const auto line = fmt::format("START {} load\r\n", m_database);
    const auto until = BootClock::now() + answerTimeout;
    std::string_view answer;
    auto status = co_await m_channel->write(line, until);
    if (status == ChannelStatus::Ok)
        status = co_await m_channel->readLine(answer, until);
    if (status != ChannelStatus::Ok || !answer.starts_with("READY")) {
        m_channel.reset();
        co_return false;
    }
    const auto text = fmt::format("SET {} {}", EmulatedPlatform::checkedValue, m_name);
    const auto set = co_await query(text);
    if (!set.code.empty())
        m_channel.reset();
    co_return m_channel.has_value();
}

Task<SessionStateClient::Answer> SessionStateClient::query(std::string text)
{
    Answer answer;
    if (!m_channel) {
        answer.code = "closed";
        co_return answer;
    }
    answer.id = fmt::format("{:08x}{:08x}", m_random(), m_random());
    const auto from = BootClock::now();
    const auto until = from + answerTimeout;
    const auto line = fmt::format("QUERY {} {}\r\n", answer.id, text);
    auto status = co_await m_channel->write(line, until);
    std::string_view received;
    while (status == ChannelStatus::Ok) {
        status = co_await m_channel->readLine(received, until);
        if (status != ChannelStatus::Ok || received.starts_with("READY"))
            break;
        if (received.starts_with("ERR "))
            answer.code = received.substr(4, received.find(' ', 4) - 4);
    }
    if (status != ChannelStatus::Ok) {
        answer.code = "closed";
        m_channel.reset();
    }
    if (answer.code == "NOSTMT" || answer.code == "MALFORMED")
        m_report.violation(fmt::format("blamed: {} got {} for {} in {}", m_name, answer.code, text, answer.id));
    m_report.answered(m_database, std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - from), answer.code);
    co_return answer;
}

Task<SessionStateClient::Answer> SessionStateClient::execute(bool mayWrite)
{
    const bool writes = mayWrite && m_random() % 3 == 0;
    const auto name = fmt::format("{}{}", writes ? 'w' : 'r', m_random() % shapes);
    if (m_prepared.insert(name).second) {
        const auto text = fmt::format("PREPARE {} {} shape-{}", name, writes ? "WRITE" : "READ", name.substr(1));
        const auto prepared = co_await query(text);
        if (!prepared.code.empty()) {
            m_prepared.erase(name);
            co_return prepared;
        }
    }
    const auto text = fmt::format("EXEC {} {}{}", name, EmulatedPlatform::itemWithValue(m_name), writes ? " x" : "");
    co_return co_await query(text);
}

void SessionStateClient::noteEnd(const Answer& answer)
{
    if (LoadReport::promisesNothingKept(answer.code))
        m_report.promisedNotKept(answer.id);
}

Task<void> SessionStateClient::runTransaction()
{
    const bool isReadOnly = m_random() % 3 == 0;
    const auto begun = co_await query(isReadOnly ? "BEGIN READ" : "BEGIN");
    if (!begun.code.empty())
        co_return;
    for (auto left = 1 + m_random() % maxStatements; left > 0; --left) {
        auto answer = co_await execute(!isReadOnly);
        co_await sleepFor(m_io, milliseconds(m_random() % maxPauseMs));
        if (answer.code.empty() && m_random() % 6 == 0) {
            const auto text = fmt::format("SET own-{} {}", m_random() % 3, ++m_value);
            answer = co_await query(text);
        }
        if (!answer.code.empty()) {
            co_await query("ROLLBACK");
            co_return;
        }
    }
    const bool commits = m_random() % 3 != 0;
    const auto ended = co_await query(commits ? "COMMIT" : "ROLLBACK");
    if (commits)
        noteEnd(ended);
}

Task<void> SessionStateClient::run(BootTime until)
{
    while (BootClock::now() < until) {
        const bool isOpen = co_await openSession();
        if (!isOpen) {
            co_await sleepFor(m_io, reconnectPause);
            continue;
        }
        if (m_random() % 2 == 0) {
            co_await runTransaction();
        } else {
            const auto answer = co_await execute(true);
            noteEnd(answer);
        }
        if (m_random() % 40 == 0)
            m_channel.reset();
        co_await sleepFor(m_io, milliseconds(m_random() % maxPauseMs));
    }
    m_channel.reset();
}

} // namespace kumquatbank
