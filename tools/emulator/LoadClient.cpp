#include "LoadClient.h"

#include "EmulatedPlatform.h"

#include <charconv>
#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds connectTimeout { 1000 };
    constexpr milliseconds answerTimeout { 4000 };
    constexpr milliseconds reconnectPause { 100 };
    /// Staleness bound of the emulated platform's routes.
    constexpr milliseconds staleness { 1500 };

} // namespace

LoadClient::LoadClient(asio::io_context& io, std::string database, ReadPolicy policy, std::vector<HostAddress> proxies, unsigned seed, LoadReport& report)
    : m_io(io)
    , m_database(std::move(database))
    , m_policy(policy)
    , m_proxies(std::move(proxies))
    , m_random(seed)
    , m_report(report)
    , m_name(fmt::format("item-{}", seed))
{
    changeItem();
}

void LoadClient::useAccount(const std::string& account, std::string key)
{
    m_key = std::move(key);
    m_name = EmulatedPlatform::itemOf(account, m_name);
    changeItem();
}

void LoadClient::noteKey(BootTime sentAt, const std::string& code)
{
    if (!m_key)
        return;
    if (code == "NOAUTH")
        m_report.keyAnswered(*m_key, sentAt, LoadReport::KeyOutcome::Refused);
    else if (code.empty())
        m_report.keyAnswered(*m_key, sentAt, m_isInTransaction ? LoadReport::KeyOutcome::InTransaction : LoadReport::KeyOutcome::Served);
}

Task<bool> LoadClient::connect()
{
    m_isInTransaction = false;
    const auto proxy = m_proxies[m_random() % m_proxies.size()];
    auto channel = co_await LineChannel::connect(m_io, proxy, WireDialect::maxMessageBytes, connectTimeout, answerTimeout);
    if (!channel)
        co_return false;
    m_channel.emplace(std::move(*channel));
    const auto line = fmt::format("START {} {}\r\n", m_database, m_key.value_or("load"));
    const auto sentAt = BootClock::now();
    const auto until = sentAt + answerTimeout;
    std::string_view answer;
    if (co_await m_channel->write(line, until) != ChannelStatus::Ok)
        co_return false;
    const auto status = co_await m_channel->readLine(answer, until);
    m_ownSession = 0;
    if (status == ChannelStatus::Ok && answer.starts_with("ERR NODB"))
        m_report.unknownDatabase(m_database, sentAt);
    if (status == ChannelStatus::Ok && answer.starts_with("ERR NOAUTH"))
        noteKey(sentAt, "NOAUTH");
    co_return status == ChannelStatus::Ok&& answer.starts_with("READY I");
}

Task<LoadClient::Answer> LoadClient::query(std::string text)
{
    const auto from = BootClock::now();
    const auto until = from + answerTimeout;
    Answer answer;
    answer.id = fmt::format("{:08x}{:08x}", m_random(), m_random());
    const auto line = fmt::format("QUERY {} {}\r\n", answer.id, text);
    if (m_channel->isClosedByPeer())
        m_channel->close();
    co_await m_channel->write(line, until);
    std::string_view received;
    while (co_await m_channel->readLine(received, until) == ChannelStatus::Ok) {
        if (received.starts_with("ROW "))
            answer.row = received.substr(4);
        else if (received.starts_with("ERR "))
            answer.code = received.substr(4, received.find(' ', 4) - 4);
        else if (received.starts_with("READY")) {
            answer.isComplete = true;
            break;
        }
    }
    if (!answer.isComplete) {
        answer.code = "closed";
        m_channel.reset();
        m_report.closed(answer.id);
    }
    if (answer.code == "NODB")
        m_report.unknownDatabase(m_database, from);
    noteKey(from, answer.code);
    // The session ends with this answer.
    if (answer.code == "NOAUTH")
        m_channel.reset();
    m_report.answered(m_database, std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now() - from), answer.code);
    co_return answer;
}

void LoadClient::noteWrite(const Answer& answer, std::uint64_t value)
{
    if (answer.code.empty()) {
        m_acknowledged.emplace_back(BootClock::now(), value);
        m_report.acknowledged(m_database, BootClock::now());
        m_ownSession = value;
    } else if (LoadReport::promisesNothingKept(answer.code)) {
        m_refused.insert(value);
    } else {
        changeItem();
    }
}

void LoadClient::changeItem()
{
    m_item = fmt::format("{}-{}", m_name, ++m_items);
    m_acknowledged.clear();
    m_refused.clear();
    m_ownSession = 0;
}

Task<void> LoadClient::write()
{
    const auto value = ++m_next;
    const auto answer = co_await query(fmt::format("WRITE {} {}", m_item, value));
    noteWrite(answer, value);
}

Task<void> LoadClient::runTransaction(milliseconds pause, int statements)
{
    const auto begun = co_await query("BEGIN");
    if (!begun.code.empty())
        co_return;
    m_isInTransaction = true;
    std::uint64_t value = 0;
    for (int n = 0; n < statements; ++n) {
        if (n > 0)
            co_await sleepFor(m_io, pause);
        value = ++m_next;
        const auto written = co_await query(fmt::format("WRITE {} {}", m_item, value));
        if (!m_channel)
            co_return;
        if (!written.code.empty()) {
            noteWrite(written, value);
            co_await query("ROLLBACK");
            m_isInTransaction = false;
            co_return;
        }
    }
    const auto committed = co_await query("COMMIT");
    m_isInTransaction = false;
    noteWrite(committed, value);
}

std::uint64_t LoadClient::leastVisible() const
{
    const auto newest = m_acknowledged.empty() ? 0 : m_acknowledged.back().second;
    if (m_policy == ReadPolicy::Primary)
        return newest;
    const auto bound = BootClock::now() - staleness;
    const auto it = std::ranges::find_if(m_acknowledged.rbegin(), m_acknowledged.rend(), [&](const auto& item) { return item.first < bound; });
    const auto bounded = it == m_acknowledged.rend() ? 0 : it->second;
    return m_policy == ReadPolicy::Bounded ? bounded : std::max(bounded, m_ownSession);
}

void LoadClient::check(const Answer& answer, std::uint64_t least)
{
    if (!answer.code.empty())
        return;
    std::uint64_t value = 0;
    std::from_chars(answer.row.data(), answer.row.data() + answer.row.size(), value);
    if (value < least)
        m_report.violation(fmt::format("stale: {} read {} of {} in {}, at least {} was due", m_database, value, m_item, answer.id, least));
    if (m_refused.contains(value))
        m_report.violation(fmt::format("kept: {} read {} of {} in {}, whose write was refused", m_database, value, m_item, answer.id));
}

Task<void> LoadClient::read()
{
    // What is due counts from the moment of asking.
    const auto least = leastVisible();
    const auto answer = co_await query("READ " + m_item);
    check(answer, least);
}

Task<void> LoadClient::run(BootTime until, milliseconds pause, int statements)
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
        const auto draw = m_random() % 10;
        if (draw < 5)
            co_await read();
        else if (draw < 8)
            co_await write();
        else
            co_await runTransaction(pause, statements);
        co_await sleepFor(m_io, milliseconds(m_random() % static_cast<unsigned>(2 * pause.count() + 1)));
    }
    m_channel.reset();
}

Task<void> LoadClient::checkLast()
{
    const auto least = leastVisible();
    const auto until = BootClock::now() + std::chrono::seconds(10);
    while (BootClock::now() < until) {
        const bool isConnected = co_await connect();
        if (isConnected) {
            const auto answer = co_await query("READ " + m_item);
            if (answer.code.empty()) {
                check(answer, least);
                m_channel.reset();
                co_return;
            }
        }
        m_channel.reset();
        co_await sleepFor(m_io, reconnectPause);
    }
    m_report.violation(m_database + " could not read " + m_item + " within 10 s after the load");
}

} // namespace kumquatbank
