#include "PlannedWorkClient.h"

#include "SocketTable.h"
#include "kumquatbank/adapter/WireDialect.h"

#include <fmt/format.h>
#include <numeric>
#include <span>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// For a comparison with the logs of the proxies.
    std::int64_t wallTimeMs() { return toMs(std::chrono::system_clock::now().time_since_epoch()); }

    constexpr milliseconds connectTimeout { 1000 };
    constexpr milliseconds answerTimeout { 9000 };
    constexpr milliseconds reconnectPause { 100 };
    /// A connection may end without an answer for this long after the last byte of a request (LossSlackMs of the users).
    constexpr milliseconds lossSlack { 200 };
    constexpr milliseconds longPause { 2500 };
    constexpr milliseconds statementPause { 150 };
    constexpr milliseconds transactionPause { 4500 };
    constexpr milliseconds pieceGap { 60 };
    constexpr unsigned maxStatements = 12;
    constexpr std::size_t largeTextBytes = 300'000;

} // namespace

PlannedWorkClient::Habits PlannedWorkClient::drawHabits(unsigned seed)
{
    std::mt19937 random(seed);
    Habits habits;
    habits.looksForEnd = random() % 2 == 0;
    habits.isPipelining = random() % 4 == 0;
    if (random() % 2 == 0)
        habits.pause = longPause;
    return habits;
}

PlannedWorkClient::PlannedWorkClient(asio::io_context& io, std::string database, std::vector<HostAddress> proxies, unsigned seed, LoadReport& report)
    : m_io(io)
    , m_database(std::move(database))
    , m_proxies(std::move(proxies))
    , m_random(seed)
    , m_habits(drawHabits(seed))
    , m_report(report)
    , m_item(fmt::format("planned-{}", seed))
{
}

milliseconds PlannedWorkClient::draw(milliseconds mean) { return milliseconds(m_random() % static_cast<unsigned>(2 * mean.count() + 1)); }

Task<bool> PlannedWorkClient::connect()
{
    m_isInTransaction = false;
    m_proxy = m_proxies[m_random() % m_proxies.size()];
    auto channel = co_await LineChannel::connect(m_io, m_proxy, WireDialect::maxMessageBytes, connectTimeout, answerTimeout);
    if (!channel)
        co_return false;
    m_channel.emplace(std::move(*channel));
    const auto line = fmt::format("START {} planned\r\n", m_database);
    const auto sentAt = BootClock::now();
    const auto until = sentAt + answerTimeout;
    std::string_view answer;
    if (co_await m_channel->write(line, until) != ChannelStatus::Ok)
        co_return false;
    const auto status = co_await m_channel->readLine(answer, until);
    if (status == ChannelStatus::Ok && answer.starts_with("ERR NODB"))
        m_report.unknownDatabase(m_database, sentAt);
    co_return status == ChannelStatus::Ok&& answer.starts_with("READY I");
}

Task<bool> PlannedWorkClient::send(const std::string& bytes)
{
    const auto until = BootClock::now() + answerTimeout;
    if (bytes.size() < largeTextBytes)
        co_return co_await m_channel->write(bytes, until) == ChannelStatus::Ok;
    const auto half = std::string_view(bytes).substr(0, bytes.size() / 2);
    const auto rest = std::string_view(bytes).substr(half.size());
    if (co_await m_channel->write(half, until) != ChannelStatus::Ok)
        co_return false;
    co_await sleepFor(m_io, draw(pieceGap));
    co_return co_await m_channel->write(rest, until) == ChannelStatus::Ok;
}

Task<std::string> PlannedWorkClient::receive(BootTime until)
{
    std::string code = "ok";
    std::string_view line;
    while (co_await m_channel->readLine(line, until) == ChannelStatus::Ok) {
        if (line.starts_with("ERR "))
            code = line.substr(4, line.find(' ', 4) - 4);
        if (!line.starts_with("READY"))
            continue;
        m_isInTransaction = !line.starts_with("READY I");
        co_return code;
    }
    co_return "";
}

Task<void> PlannedWorkClient::judge(Request request, BootTime sentAt, bool hadEnded)
{
    const auto held = std::chrono::duration_cast<milliseconds>(BootClock::now() - sentAt);
    if (!hadEnded && held > lossSlack)
        m_report.violation(fmt::format("cut: {} in {} at {} was sent {} ms before the connection ended; seen at {}, the load itself ran up to {} ms late", request.text.substr(0, 20), request.id, m_proxy.toString(), held.count(), wallTimeMs(), m_report.longestDelay().count()));
    if (!hadEnded)
        co_return;
    co_await sleepFor(m_io, lossSlack - std::min(held, lossSlack) + milliseconds(20));
    if (SocketTable::hasReadEverything(m_proxy, m_channel->localAddress()))
        m_report.violation(fmt::format("dropped: {} in {} at {} was read by a process that had ended its answers, and the connection is still open after {} ms", request.text.substr(0, 20), request.id, m_proxy.toString(), lossSlack.count()));
}

Task<std::size_t> PlannedWorkClient::askAll(std::vector<std::string> texts)
{
    if (!m_channel)
        co_return 0;
    // An announcement of the close may lie unread before the end.
    const bool hadEnded = m_channel->isClosedByPeer() || (m_channel->hasInput() && SocketTable::hasReceivedEnd(m_channel->localAddress(), m_proxy));
    if (hadEnded && m_habits.looksForEnd) {
        m_channel.reset();
        co_return 0;
    }
    std::vector<Request> requests;
    std::string bytes;
    for (auto& text : texts) {
        requests.push_back({ fmt::format("{:08x}{:08x}", m_random(), m_random()), std::move(text) });
        bytes += fmt::format("QUERY {} {}\r\n", requests.back().id, requests.back().text);
    }
    const auto begunAt = BootClock::now();
    bool isOpen = co_await send(bytes);
    const auto sentAt = BootClock::now();
    std::size_t n = 0;
    std::size_t answered = 0;
    if (hadEnded && isOpen) {
        co_await judge(requests.front(), sentAt, true);
        isOpen = false;
    }
    for (const auto& request : requests) {
        if (!isOpen)
            break;
        const bool wasInTransaction = m_isInTransaction;
        const auto code = co_await receive(sentAt + answerTimeout);
        if (code.empty()) {
            co_await judge(request, sentAt, false);
            isOpen = false;
            break;
        }
        ++answered;
        n += code == "ok" ? 1 : 0;
        // A change of a route applies from the next transaction on.
        if (code == "NODB" && wasInTransaction)
            m_report.violation(fmt::format("lost route: {} in {} at {} got NODB inside a transaction", request.text.substr(0, 20), request.id, m_proxy.toString()));
        if (code == "NODB")
            m_report.unknownDatabase(m_database, sentAt);
        m_report.answered(m_database, std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - begunAt), code == "ok" ? "" : code);
    }
    // Requests that were sent together may have run, too.
    for (const auto& request : std::span(requests).subspan(answered))
        m_report.closed(request.id);
    if (!isOpen)
        m_channel.reset();
    co_return n;
}

Task<bool> PlannedWorkClient::ask(std::string text)
{
    std::vector<std::string> texts;
    texts.push_back(std::move(text));
    const auto n = co_await askAll(std::move(texts));
    co_return n == 1;
}

Task<void> PlannedWorkClient::runTransaction()
{
    const bool isReadOnly = m_random() % 2 == 0;
    const std::string begin = isReadOnly ? "BEGIN READ" : "BEGIN";
    const bool isBegun = co_await ask(begin);
    if (!isBegun)
        co_return;
    const auto statements = 1 + m_random() % maxStatements;
    const auto pause = draw(statementPause);
    // Some transactions stay idle for longer than the idle limit and than what is left of a grace period.
    const auto longPauseAt = m_random() % 4 == 0 ? m_random() % statements : statements;
    for (unsigned n = 0; n < statements && m_channel; ++n) {
        co_await sleepFor(m_io, n == longPauseAt ? transactionPause : pause);
        const bool writes = !isReadOnly && m_random() % 2 == 0;
        const auto text = (writes ? "WRITE " : "READ ") + m_item + (writes ? " value" : "");
        const bool isServed = co_await ask(text);
        if (!isServed)
            break;
    }
    const std::string end = m_random() % 4 == 0 ? "ROLLBACK" : "COMMIT";
    if (m_channel && m_isInTransaction)
        co_await ask(end);
    // An aborted transaction ends with its rollback.
    const std::string rollback = "ROLLBACK";
    if (m_channel && m_isInTransaction)
        co_await ask(rollback);
}

Task<void> PlannedWorkClient::runPrepared()
{
    const std::vector<std::string> statements { "SET zone east", "PREPARE s1 READ shape", "EXEC s1 " + m_item, "DEALLOC s1" };
    for (const auto& statement : statements) {
        const bool isServed = co_await ask(statement);
        if (!isServed)
            co_return;
        co_await sleepFor(m_io, draw(statementPause));
    }
}

Task<void> PlannedWorkClient::runOperation()
{
    const auto kind = m_random() % 10;
    const auto read = "READ " + m_item;
    const auto write = "WRITE " + m_item + " ";
    if (m_habits.isPipelining && kind < 4) {
        std::vector<std::string> texts { read, read, write + "value" };
        co_await askAll(std::move(texts));
    } else if (kind < 4) {
        co_await ask(read);
    } else if (kind < 7) {
        const auto text = write + (kind == 6 ? std::string(largeTextBytes, 'x') : "value");
        co_await ask(text);
    } else if (kind == 7) {
        co_await runPrepared();
    } else {
        co_await runTransaction();
    }
}

Task<void> PlannedWorkClient::run(BootTime until)
{
    while (BootClock::now() < until) {
        if (!m_channel) {
            const bool isConnected = co_await connect();
            if (!isConnected) {
                m_channel.reset();
                co_await sleepFor(m_io, reconnectPause);
                continue;
            }
        }
        co_await runOperation();
        co_await sleepFor(m_io, draw(m_habits.pause));
    }
    m_channel.reset();
}

} // namespace kumquatbank
