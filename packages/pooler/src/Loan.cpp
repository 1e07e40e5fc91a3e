#include "Loan.h"

#include "DatabaseService.h"
#include "LoanMessage.h"

namespace kumquatbank {

namespace {

    /// A batch ends when it has this many bytes: a borrower that sends faster than the endpoint answers waits.
    constexpr std::size_t maxBatchBytes = 64 << 10;
    /// Batches and answers up to this size are not counted in the memory budget.
    constexpr std::size_t uncountedBytes = 16 << 10;
    /// The lines of a batch are kept up to four times: parsed, collected, and twice while they are sent.
    constexpr std::size_t batchFactor = 4;

} // namespace

Loan::Loan(ConnectionLease lease, LineChannel& channel, std::chrono::milliseconds answerTimeout, const std::optional<StopSchedule>& stop)
    : m_lease(std::move(lease))
    , m_channel(channel)
    , m_answerTimeout(answerTimeout)
    , m_stop(stop)
    , m_needsReset(m_lease.connection().state().hasValues())
{
}

Task<Loan::End> Loan::run()
{
    bool isServed = co_await readBatch();
    while (isServed) {
        if (!m_batch.empty())
            isServed = co_await exchangeBatch();
        if (m_isReturned && isServed)
            co_return End::Returned;
        if (isServed)
            isServed = co_await readBatch();
    }
    // The number of pending replies is unknown. Closing the connection rolls its transaction back.
    m_lease.connection().close();
    co_return End::Broken;
}

void Loan::closeIfUnusable()
{
    if (m_isIdle && !m_channel.hasInput() && m_stop && !m_stop->admits(RequestKind::InTransaction, BootClock::now(), m_answerTimeout))
        m_channel.close();
}

Task<bool> Loan::readBatch()
{
    m_batch.clear();
    m_outgoing.clear();
    m_batchHold.clear();
    do {
        std::string_view line;
        // There is no time limit: a borrower may be idle inside a transaction. It enforces the idle limit itself, and
        // the channel closes if it fails.
        m_isIdle = true;
        const auto status = co_await m_channel.readLine(line, BootTime::max());
        m_isIdle = false;
        if (status != ChannelStatus::Ok)
            co_return false;
        if (line == LoanMessage::loanReturn) {
            m_isReturned = true;
            co_return true;
        }
        if (line.size() > uncountedBytes && !m_batchHold.resize(MemoryUse::Work, (m_outgoing.size() + line.size()) * batchFactor))
            co_return false;
        addLine(line);
    } while (m_channel.hasBufferedInput() && m_outgoing.size() < maxBatchBytes);
    co_return true;
}

void Loan::addLine(std::string_view line)
{
    auto& command = m_batch.emplace_back();
    const auto message = WireDialect::parseClientLine(line);
    const auto* statement = message && message->statement ? &*message->statement : nullptr;
    if (statement != nullptr && statement->kind == StatementKind::SetValue) {
        command.valueName = statement->name;
        command.value = statement->argument;
    } else if (statement != nullptr && statement->kind == StatementKind::Prepare) {
        // A pending reset is sent before the batch and discards prepared statements.
        command.isAnsweredLocally = !m_needsReset && m_lease.connection().state().hasPrepared(statement->name);
        command.preparedName = statement->name;
    }
    if (!command.isAnsweredLocally)
        m_outgoing.append(line).append("\r\n");
}

void Loan::recordReply(const DatabaseReply& reply, BootTime sentAt)
{
    auto& service = m_lease.service();
    auto& endpoint = m_lease.endpoint();
    if (reply.code == ErrorCode::Lagging)
        service.recordLagging(endpoint);
    else if (reply.code == ErrorCode::ReadOnly)
        service.recordNotPrimary(endpoint);
    // The answer time of a single statement is known only if it was sent alone.
    if (m_batch.size() == 1)
        service.recordStatement(endpoint, sentAt, reply.code == ErrorCode::Busy);
    m_lease.recordOutcome(outcomeOf(reply.code), m_batch.size() == 1 ? std::optional(sentAt) : std::nullopt);
}

Task<bool> Loan::exchangeBatch()
{
    auto& connection = m_lease.connection();
    const auto sentAt = BootClock::now();
    const auto until = std::min<BootTime>(sentAt + m_answerTimeout, m_stop ? m_stop->answersEnd() : BootTime::max());
    const bool sendsReset = std::exchange(m_needsReset, false);
    const auto forwarded = std::ranges::count(m_batch, false, &Command::isAnsweredLocally);
    DatabaseReply reply;
    auto status = ExchangeStatus::Ok;
    if (sendsReset)
        m_outgoing.insert(0, WireDialect::reset());
    if (forwarded > 0)
        status = co_await connection.send(std::move(m_outgoing), static_cast<int>(forwarded) + (sendsReset ? 1 : 0), until);
    if (status == ExchangeStatus::Ok && sendsReset) {
        status = co_await connection.receive(reply, until);
        connection.state().recordReset();
    }
    std::string answers;
    MemoryHold hold;
    for (const auto& command : m_batch) {
        if (command.isAnsweredLocally) {
            answers += WireDialect::done() + WireDialect::ready(connection.transactionState());
            continue;
        }
        if (status == ExchangeStatus::Ok)
            status = co_await connection.receive(reply, until);
        if (status != ExchangeStatus::Ok) {
            m_lease.recordFailure(status == ExchangeStatus::TimedOut ? "no answer" : "connection broke");
            if (status != ExchangeStatus::NotSent)
                m_lease.recordOutcome(StatementOutcome::Unanswered, sentAt);
            break;
        }
        if (!command.valueName.empty() && reply.isSuccess())
            connection.state().recordValue(command.valueName, command.value);
        if (!command.preparedName.empty() && reply.isSuccess())
            connection.state().recordPrepared(command.preparedName);
        recordReply(reply, sentAt);
        const auto size = answers.size() + reply.body.size();
        if (size > uncountedBytes && !hold.resize(MemoryUse::Answer, 2 * size)) {
            status = ExchangeStatus::Broken;
            break;
        }
        answers.append(reply.body).append(reply.ready).append("\r\n");
    }
    if (status == ExchangeStatus::Ok)
        m_lease.service().recordAnswer(m_lease.endpoint(), sentAt);
    // Answers that arrived are sent to the borrower even if a later one is missing.
    const auto written = co_await m_channel.write(answers, BootClock::now() + m_answerTimeout);
    co_return written == ChannelStatus::Ok&& status == ExchangeStatus::Ok;
}

} // namespace kumquatbank
