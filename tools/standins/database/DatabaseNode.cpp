#include "DatabaseNode.h"

#include <algorithm>

namespace kumquatbank::standin {

namespace {

    // Bounds one replication answer, so that a replica far behind does not hold the lock for long.
    constexpr std::size_t maxRecordsPerPull = 500;

    // Reported while the slot has never heard its primary: far above every threshold on the contact's age.
    constexpr Milliseconds noContactAge { 3'600'000 };

    constexpr Term firstTerm = 1;

} // namespace

void to_json(nlohmann::json& json, const StatementResult& result)
{
    json = { { "rows", result.rows }, { "logTerm", result.position.term }, { "position", result.position.position },
        { "repeated", result.repeated } };
}

void to_json(nlohmann::json& json, const TermAnswer& answer)
{
    json = { { "granted", answer.granted }, { "logTerm", answer.position.term },
        { "position", answer.position.position }, { "promisedTerm", answer.promisedTerm } };
}

DatabaseNode::DatabaseNode(unsigned slot, bool isPrimary)
    : m_slot(slot)
    , m_isPrimary(isPrimary)
{
    if (isPrimary)
        m_log.append({ .term = firstTerm, .position = 1, .appendedAt = Clock::now() });
    else
        retargetLocked(FollowTarget { .term = firstTerm });
}

Result<StatementResult> DatabaseNode::write(Term term, const Statement& statement, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Operation> operations;
    for (const auto& step : statement.steps) {
        if (!step.isRead)
            operations.push_back(step.operation);
    }
    return appendLocked(term, std::move(operations), key, m_log.evaluate(statement.steps, {}));
}

Result<StatementResult> DatabaseNode::commit(
    Term term, const std::vector<Operation>& operations, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    return appendLocked(term, operations, key, nlohmann::json::array());
}

Result<StatementResult> DatabaseNode::rollBackKey(Term term, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    if (const auto allowed = checkPrimaryLocked(term); !allowed)
        return tl::unexpected(allowed.error());
    if (const auto* known = m_log.findKey(key))
        return StatementResult { known->rows, { known->term, known->position }, !known->isRollback };
    m_log.append({ .term = term,
        .position = m_log.end().position + 1,
        .idempotencyKey = key,
        .appendedAt = Clock::now(),
        .isRollback = true });
    m_changed.notify_all();
    return StatementResult { nlohmann::json::array(), m_log.end(), false };
}

Result<StatementResult> DatabaseNode::read(
    const Statement& statement, const std::vector<Operation>& pending, const LogPosition& required) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_log.end().covers(required))
        return notRun(FailureCode::Behind, "the log does not cover the required position");
    return StatementResult { m_log.evaluate(statement.steps, pending), m_log.end(), false };
}

Result<void> DatabaseNode::checkPrimary(Term term) const
{
    const std::lock_guard lock(m_mutex);
    return checkPrimaryLocked(term);
}

TermAnswer DatabaseNode::fence(Term term, const std::string& proposer)
{
    const std::lock_guard lock(m_mutex);
    if (term == m_promisedTerm && !proposer.empty() && proposer == m_proposer)
        return answerLocked(true);
    if (term <= m_promisedTerm)
        return answerLocked(false);
    m_promisedTerm = term;
    m_proposer = proposer;
    m_isPrimary = false;
    retargetLocked(std::nullopt);
    return answerLocked(true);
}

TermAnswer DatabaseNode::promote(Term term, const std::string& proposer)
{
    const std::lock_guard lock(m_mutex);
    if (term != m_promisedTerm || proposer.empty() || proposer != m_proposer)
        return answerLocked(false);
    // A repeated call, after a lost answer, finds the slot primary already.
    if (!m_isPrimary) {
        m_isPrimary = true;
        retargetLocked(std::nullopt);
        m_log.append({ .term = term, .position = m_log.end().position + 1, .appendedAt = Clock::now() });
        m_changed.notify_all();
    }
    return answerLocked(true);
}

bool DatabaseNode::follow(Term term, const HostAddress& primary)
{
    const std::lock_guard lock(m_mutex);
    if (term < m_promisedTerm)
        return false;
    if (term > m_promisedTerm) {
        m_promisedTerm = term;
        m_proposer.clear();
    }
    m_isPrimary = false;
    // Repeating the call must not discard the records received so far.
    if (!m_target || m_target->term != term || m_target->primary != primary)
        retargetLocked(FollowTarget { .term = term, .primary = primary });
    return true;
}

TermAnswer DatabaseNode::awaitPosition(std::uint64_t after, Milliseconds timeout) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] { return m_isStopped || m_log.end().position > after; });
    return answerLocked(true);
}

Result<nlohmann::json> DatabaseNode::replicate(Term term, std::uint64_t after,
    const std::optional<ReplicatedLog::TermEnds>& termEnds, Milliseconds timeout) const
{
    std::unique_lock lock(m_mutex);
    if (const auto allowed = checkPrimaryLocked(term); !allowed)
        return tl::unexpected(allowed.error());
    const auto from = termEnds ? m_log.commonPrefix(*termEnds) : after;
    m_changed.wait_for(
        lock, timeout, [&] { return m_isStopped || m_log.end().position > from || !checkPrimaryLocked(term); });
    if (const auto allowed = checkPrimaryLocked(term); !allowed)
        return tl::unexpected(allowed.error());
    return nlohmann::json { { "from", from }, { "records", m_log.recordsAfter(from, maxRecordsPerPull) } };
}

std::optional<FollowTarget> DatabaseNode::followTarget() const
{
    const std::lock_guard lock(m_mutex);
    return m_target;
}

void DatabaseNode::awaitTargetChange(std::uint64_t epoch, Milliseconds timeout) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [&] { return m_isStopped || m_epoch != epoch; });
}

bool DatabaseNode::truncate(std::uint64_t epoch, std::uint64_t position)
{
    const std::lock_guard lock(m_mutex);
    if (!m_target || m_target->epoch != epoch)
        return false;
    m_log.truncate(position);
    return true;
}

bool DatabaseNode::applyRecord(std::uint64_t epoch, LogRecord record)
{
    const std::lock_guard lock(m_mutex);
    if (!m_target || m_target->epoch != epoch || record.position != m_log.end().position + 1)
        return false;
    m_log.append(std::move(record));
    m_changed.notify_all();
    return true;
}

bool DatabaseNode::recordPrimaryContact(std::uint64_t epoch)
{
    const std::lock_guard lock(m_mutex);
    if (!m_target || m_target->epoch != epoch)
        return false;
    m_primaryContact = Clock::now();
    return true;
}

ReplicatedLog::TermEnds DatabaseNode::termEnds() const
{
    const std::lock_guard lock(m_mutex);
    return m_log.termEnds();
}

LogPosition DatabaseNode::position() const
{
    const std::lock_guard lock(m_mutex);
    return m_log.end();
}

nlohmann::json DatabaseNode::status() const
{
    const std::lock_guard lock(m_mutex);
    Milliseconds contactAge = m_isPrimary ? Milliseconds(0) : noContactAge;
    if (!m_isPrimary && m_primaryContact)
        contactAge = std::chrono::duration_cast<Milliseconds>(Clock::now() - *m_primaryContact);
    return { { "slot", m_slot }, { "role", m_isPrimary ? "primary" : "replica" }, { "promisedTerm", m_promisedTerm },
        { "logTerm", m_log.end().term }, { "position", m_log.end().position },
        { "primaryContactMs", contactAge.count() } };
}

nlohmann::json DatabaseNode::dump() const
{
    const std::lock_guard lock(m_mutex);
    return m_log.dump();
}

void DatabaseNode::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_changed.notify_all();
}

Result<void> DatabaseNode::checkPrimaryLocked(Term term) const
{
    if (!m_isPrimary)
        return notRun(FailureCode::NotPrimary, "slot " + std::to_string(m_slot) + " is not primary");
    if (term != m_promisedTerm)
        return notRun(FailureCode::TermMismatch,
            "the term is " + std::to_string(m_promisedTerm) + ", not " + std::to_string(term));
    return {};
}

Result<StatementResult> DatabaseNode::appendLocked(
    Term term, std::vector<Operation> operations, const std::string& key, nlohmann::json rows)
{
    if (const auto allowed = checkPrimaryLocked(term); !allowed)
        return tl::unexpected(allowed.error());
    const auto* known = key.empty() ? nullptr : m_log.findKey(key);
    if (known && known->isRollback)
        return notRun(FailureCode::NoTransaction, "the idempotency key '" + key + "' was rolled back");
    if (known)
        return StatementResult { known->rows, { known->term, known->position }, true };
    if (!operations.empty() || !key.empty()) {
        m_log.append({ .term = term,
            .position = m_log.end().position + 1,
            .operations = std::move(operations),
            .idempotencyKey = key,
            .rows = rows,
            .appendedAt = Clock::now() });
        m_changed.notify_all();
    }
    return StatementResult { std::move(rows), m_log.end(), false };
}

TermAnswer DatabaseNode::answerLocked(bool granted) const
{
    return { granted, m_log.end(), m_promisedTerm };
}

void DatabaseNode::retargetLocked(std::optional<FollowTarget> target)
{
    m_target = std::move(target);
    ++m_epoch;
    if (m_target) {
        m_target->epoch = m_epoch;
        m_primaryContact.reset();
    }
    m_changed.notify_all();
}

} // namespace kumquatbank::standin
