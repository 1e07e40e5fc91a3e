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
{
}

Task<Loan::End> Loan::run()
{
    bool isServed = co_await readBatch();
    while (isServed) {
        if (!m_isForwarded.empty())
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
    m_isForwarded.clear();
    m_outgoing = {};
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
        if (line.size() > uncountedBytes && !m_batchHold.resize(MemoryUse::Work, (m_outgoing.bytes() + line.size()) * batchFactor))
            co_return false;
        addLine(line);
    } while (m_channel.hasBufferedInput() && m_outgoing.bytes() < maxBatchBytes);
    co_return true;
}

void Loan::addLine(std::string_view line)
{
    auto command = WireDialect::classifyDatabaseCommand(line);
    const bool isHeld = command.kind == ConnectionCommand::Kind::Prepare && !m_outgoing.mayClearPrepared() && m_lease.connection().state().hasPrepared(command.name);
    m_isForwarded.push_back(!isHeld);
    if (!isHeld)
        m_outgoing.addForwarded(line, std::move(command));
}

std::string Loan::answerPrepare()
{
    const auto transaction = m_lease.connection().state().transaction();
    // As the endpoint would answer: an earlier line of the batch may have failed the transaction.
    if (transaction == TransactionState::Failed)
        return WireDialect::error(ErrorCode::Malformed, "the transaction has failed") + WireDialect::ready(transaction);
    return WireDialect::done() + WireDialect::ready(transaction);
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
    if (m_isForwarded.size() == 1)
        service.recordStatement(endpoint, sentAt, reply.code == ErrorCode::Busy);
    m_lease.recordOutcome(outcomeOf(reply.code), m_isForwarded.size() == 1 ? std::optional(sentAt) : std::nullopt);
}

Task<bool> Loan::exchangeBatch()
{
    auto& connection = m_lease.connection();
    const auto sentAt = BootClock::now();
    const auto until = std::min<BootTime>(sentAt + m_answerTimeout, m_stop ? m_stop->answersEnd() : BootTime::max());
    DatabaseReply reply;
    auto status = ExchangeStatus::Ok;
    if (!m_outgoing.isEmpty())
        status = co_await connection.send(std::move(m_outgoing), until);
    std::string answers;
    MemoryHold hold;
    for (const bool isForwarded : m_isForwarded) {
        if (!isForwarded) {
            answers += answerPrepare();
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
    co_return written == ChannelStatus::Ok&& status == ExchangeStatus::Ok && !connection.state().isInDoubt();
}

} // namespace kumquatbank
