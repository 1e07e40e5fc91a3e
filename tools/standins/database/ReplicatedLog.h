#pragma once

#include "LogRecord.h"
#include "Statement.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace kumquatbank::standin {

/// The records of one slot with the key-value state and the idempotency keys that follow from them.
/// Not thread-safe.
class ReplicatedLog {
public:
    /// Last position of each term in the log.
    using TermEnds = std::map<Term, std::uint64_t>;

    /// Adds a record; its position must be the next one.
    void append(LogRecord record);

    /// Removes every record after @p position, and with them their changes and idempotency keys.
    void truncate(std::uint64_t position);

    LogPosition end() const;
    TermEnds termEnds() const;

    /// Greatest position up to which this log and the one with @p other hold the same records. A record is
    /// identified by (term, position), because a term has one primary and its log only grows.
    std::uint64_t commonPrefix(const TermEnds& other) const;

    /// At most @p limit records after @p position.
    std::vector<LogRecord> recordsAfter(std::uint64_t position, std::size_t limit) const;

    /// The record that carries the idempotency key; null if none does.
    const LogRecord* findKey(const std::string& idempotencyKey) const;

    /// Rows that the steps return on top of @p pending: the values of a get, the value of a put or append.
    nlohmann::json evaluate(const std::vector<Statement::Step>& steps, const std::vector<Operation>& pending) const;

    /// Log, state and keys for a checker.
    nlohmann::json dump() const;

private:
    using Values = std::vector<std::string>;

    static void apply(Values& values, const Operation& operation);
    void applyRecord(const LogRecord& record);
    Term termAt(std::uint64_t position) const;

    std::vector<LogRecord> m_records;
    std::unordered_map<std::string, Values> m_state;
    std::unordered_map<std::string, std::uint64_t> m_keyPositions;
};

} // namespace kumquatbank::standin
