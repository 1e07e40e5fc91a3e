#include "Caller.h"

#include <algorithm>
#include <thread>

namespace kumquatbank::load {

namespace {

    constexpr int maxTries = 6;

    // Half of the operations answered with not_run are dropped, so that the database must not hold them; the
    // other half is tried again.
    constexpr double dropShare = 0.5;

    constexpr Milliseconds minRetryWait { 20 };
    constexpr Milliseconds maxRetryWait { 1000 };

    // A caller that falls further behind its schedule skips the missed starts instead of sending a burst.
    constexpr Milliseconds maxBehind { 1000 };

    const nlohmann::json noRows;

    const nlohmann::json& rowsOf(const CallerAnswer& answer)
    {
        const auto it = answer.result.find("rows");
        return it == answer.result.end() ? noRows : *it;
    }

    std::uint64_t seedOf(const LoadOptions& options, std::size_t item, unsigned number)
    {
        std::seed_seq sequence { options.seed, std::uint64_t(item), std::uint64_t(number) };
        std::array<std::uint32_t, 2> parts {};
        sequence.generate(parts.begin(), parts.end());
        return (std::uint64_t(parts[0]) << 32) | parts[1];
    }

} // namespace

Caller::Caller(LoadContext context, std::size_t item, unsigned number)
    : m_context(context)
    , m_itemIndex(item)
    , m_item(context.options.mix.at(item))
    , m_databases(context.options.databasesOf(m_item))
    , m_name(context.options.runName + "-i" + std::to_string(item) + "c" + std::to_string(number))
    , m_random(seedOf(context.options, item, number))
    , m_client(context.options.proxies, m_random)
{
}

void Caller::run()
{
    auto next = Clock::now();
    for (;;) {
        awaitNextStart(next);
        if (Clock::now() >= m_context.end)
            return;
        auto session = m_context.sessions.borrow(pickDatabase(), m_random, m_item.kind == WorkKind::Read);
        m_context.statistics.recordOperation(m_itemIndex);
        if (m_item.kind == WorkKind::Read)
            runRead(*session);
        else if (m_item.kind == WorkKind::Write)
            runWrite(*session);
        else
            runTransaction(*session);
        m_context.sessions.giveBack(std::move(session));
    }
}

void Caller::awaitNextStart(TimePoint& next)
{
    if (m_item.ratePerSecond <= 0)
        return;
    const double perCaller = m_item.ratePerSecond / m_item.callers;
    const std::chrono::duration<double> step(std::exponential_distribution<double>(perCaller)(m_random));
    next = std::max(next, Clock::now() - maxBehind) + std::chrono::duration_cast<Clock::duration>(step);
    std::this_thread::sleep_until(std::min(next, m_context.end));
}

void Caller::runRead(Session& session)
{
    auto request = makeRequest(session, RequestKind::Read, "get " + session.key());
    const auto result = tryOnce(request, false);
    if (!result.answer)
        return;
    m_context.statistics.recordRead(result.measured.servedByReplica);
    const auto& rows = rowsOf(*result.answer);
    const auto where = " in the answer to " + request.requestId + " on " + session.key();
    if (!rows.is_array() || session.countForeign(rows) > 0)
        m_context.statistics.recordViolation(&Violations::crossed, "crossed: foreign rows" + where);
    else if (m_item.checksSession && session.countMissing(rows) > 0)
        m_context.statistics.recordViolation(&Violations::stale,
            "stale: " + std::to_string(session.countMissing(rows)) + " confirmed values missing" + where + ", by "
                + (result.measured.servedByReplica ? "replica" : "primary"));
    session.setToken(result.answer->session);
}

void Caller::runWrite(Session& session)
{
    Operation operation { session.database(), session.key(), session.makeValue(), false, Outcome::Uncertain };
    auto request = makeRequest(session, RequestKind::Write, "append " + operation.key + " " + operation.value);
    request.idempotencyKey = operation.value;
    operation.outcome = runToOutcome(session, std::move(request), operation.value);
    finishOperation(session, std::move(operation));
}

void Caller::runTransaction(Session& session)
{
    Operation operation { session.database(), session.key(), session.makeValue(), true, Outcome::NotRun };
    auto begin = makeRequest(session, RequestKind::Begin, "");
    const auto begun = tryOnce(begin, false);
    // Until a commit is sent, nothing of the transaction may appear in the database.
    if (begun.answer && runTransactionSteps(session, operation, begun.answer->transaction)) {
        auto commit = makeRequest(session, RequestKind::Commit, "");
        commit.transaction = begun.answer->transaction;
        commit.idempotencyKey = operation.value;
        operation.outcome = runToOutcome(session, std::move(commit), {});
    }
    finishOperation(session, std::move(operation));
}

bool Caller::runTransactionSteps(Session& session, const Operation& operation, const std::string& transaction)
{
    for (const auto& key : { operation.key, operation.secondKey() }) {
        auto append = makeRequest(session, RequestKind::Write, "append " + key + " " + operation.value);
        append.transaction = transaction;
        const auto result = tryOnce(append, false);
        const auto problem = result.answer ? rowsProblem(*result.answer, operation.value) : std::string();
        if (!problem.empty())
            m_context.statistics.recordViolation(&Violations::crossed, "crossed: " + problem);
        if (result.answer)
            continue;
        auto rollback = makeRequest(session, RequestKind::Rollback, "");
        rollback.transaction = transaction;
        tryOnce(rollback, true);
        return false;
    }
    return true;
}

Outcome Caller::runToOutcome(Session& session, CallerRequest request, const std::string& value)
{
    bool mayHaveRun = false;
    for (int tries = 0; tries < maxTries; ++tries) {
        const auto result = tryOnce(request, tries > 0);
        if (result.answer) {
            const auto problem = value.empty() ? std::string() : rowsProblem(*result.answer, value);
            if (!problem.empty())
                m_context.statistics.recordViolation(&Violations::crossed, "crossed: " + problem);
            session.setToken(result.answer->session);
            return Outcome::Confirmed;
        }
        mayHaveRun = mayHaveRun || result.measured.verdict == Verdict::MayHaveRun;
        if (!mayHaveRun && decide(dropShare))
            return Outcome::NotRun;
        std::this_thread::sleep_for(std::clamp(result.retryAfter.value_or(minRetryWait), minRetryWait, maxRetryWait));
    }
    return mayHaveRun ? Outcome::Uncertain : Outcome::NotRun;
}

CallResult Caller::tryOnce(CallerRequest& request, bool isRepeated)
{
    request.requestId = m_name + "r" + std::to_string(++m_requests);
    request.deadline = Deadline::after(m_item.deadline);
    auto result = m_client.call(request, isRepeated);
    m_context.statistics.recordTry(m_itemIndex, result.measured);
    if (!result.broken.empty())
        m_context.statistics.recordViolation(&Violations::crossed, "crossed: " + result.broken);
    return result;
}

CallerRequest Caller::makeRequest(const Session& session, RequestKind kind, std::string statement) const
{
    CallerRequest request;
    request.entry = m_context.options.entryName(m_item, session.database());
    request.database = m_context.options.databases.at(session.database()).name;
    request.kind = kind;
    request.session = session.token();
    if (m_item.service.count() > 0 && !statement.empty())
        request.statement = "sleep " + std::to_string(m_item.service.count()) + "; ";
    request.statement += statement;
    return request;
}

void Caller::finishOperation(Session& session, Operation operation)
{
    if (operation.outcome == Outcome::Confirmed) {
        session.confirm(operation.value);
        m_context.statistics.recordWriteSuccess(operation.database);
    }
    m_context.history.add(std::move(operation));
}

std::string Caller::rowsProblem(const CallerAnswer& answer, const std::string& value) const
{
    const auto& rows = rowsOf(answer);
    if (rows == nlohmann::json::array({ value }))
        return {};
    return "the write of " + value + " returned " + rows.dump();
}

std::size_t Caller::pickDatabase()
{
    return m_databases.at(std::uniform_int_distribution<std::size_t>(0, m_databases.size() - 1)(m_random));
}

bool Caller::decide(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

} // namespace kumquatbank::load
