// What a client session counts in the memory budget, and how it is refused or closed when there is no room.

#include "ClientSession.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Messages up to this length are served within sessionBytes. Statements are shorter.
    constexpr std::size_t shortMessageBytes = 4 << 10;
    /// A long message is kept up to six times: its text, the argument, the command for the database and its formatting.
    constexpr std::size_t workFactor = 6;
    /// The values of a session are copied to replay them, to format them, and on the connection.
    constexpr std::size_t stateWorkFactor = 3;
    /// A complete message waits this long for memory before it is refused; less than what clients wait for an answer.
    constexpr milliseconds workWait { 1000 };
    /// Between two attempts, doubled with each up to the second one.
    constexpr milliseconds workRetryInterval { 20 };
    constexpr milliseconds maxWorkRetryInterval { 160 };
    /// Holds the id of a message; the rest of a refused one is not parsed.
    constexpr std::size_t parsedPrefixBytes = 512;
    constexpr std::string_view shortOfMemory = "the host is short of memory";

} // namespace

MemoryHolder::Phase ClientSession::memoryPhase() const
{
    // A transaction that has failed has nothing left to lose, and its client may leave it so for ever.
    if (m_runner.transactionState() == TransactionState::Open)
        return Phase::InTransaction;
    return m_request != nullptr ? Phase::Answering : Phase::Waiting;
}

std::optional<BootTime> ClientSession::incompleteSince() const
{
    if (!m_isStarted)
        return m_openedAt;
    return m_isIdle ? m_channel.lineBegunAt() : std::nullopt;
}

void ClientSession::closeForMemory()
{
    m_metrics.clientRefused("memory");
    refuse(shortOfMemory);
}

void ClientSession::closeForDescriptors()
{
    m_metrics.clientRefused("descriptors");
    refuse("the host has too many connections");
}

void ClientSession::refuse(std::string_view reason)
{
    if (m_isIdle || !m_isStarted)
        m_channel.tryWrite(WireDialect::error(ErrorCode::Busy, reason));
    m_channel.close();
}

Task<bool> ClientSession::reserveWork(MemoryHold& work, std::size_t bytes)
{
    const auto until = BootClock::now() + workWait;
    auto retryInterval = workRetryInterval;
    while (!work.resize(MemoryUse::Work, bytes)) {
        if (!m_channel.isOpen())
            co_return false;
        if (BootClock::now() >= until || m_tracker.isStopping()) {
            m_metrics.clientRefused("memory");
            // Refused inside a transaction, the statement would be missing from what the client commits.
            if (m_runner.isInTransaction())
                m_runner.abortTransaction(shortOfMemory);
            co_return false;
        }
        co_await sleepFor(m_io, retryInterval);
        retryInterval = std::min(retryInterval * 2, maxWorkRetryInterval);
    }
    co_return true;
}

Task<bool> ClientSession::refuseLongMessage(std::string_view line)
{
    const auto beginning = WireDialect::parseClientLine(line.substr(0, parsedPrefixBytes));
    const auto since = BootClock::now();
    StatementAnswer answer;
    if (m_runner.transactionState() == TransactionState::None)
        answer.setError(ErrorCode::Busy, shortOfMemory, RetryPolicy::defaultRetryAfter);
    else
        answer.setError(ErrorCode::Aborted, shortOfMemory);
    answer.state = m_runner.transactionState();
    if (beginning)
        logAnswer(*beginning, answer, since);
    const auto text = formatAnswer(answer);
    co_return co_await send(text);
}

std::size_t ClientSession::workBytes(std::size_t messageBytes) const
{
    const auto state = m_runner.stateBytes();
    return (messageBytes > shortMessageBytes ? messageBytes * workFactor : 0) + (state > shortMessageBytes ? state * stateWorkFactor : 0);
}

} // namespace kumquatbank
