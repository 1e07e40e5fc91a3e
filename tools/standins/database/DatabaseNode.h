#pragma once

#include "ReplicatedLog.h"

#include <condition_variable>
#include <mutex>
#include <optional>

namespace kumquatbank::standin {

/// A statement that ran: its rows and the log's end after it.
struct StatementResult {
    nlohmann::json rows = nlohmann::json::array();
    LogPosition position;
    bool repeated = false; ///< The idempotency key was known; rows and position are the first run's.
};

void to_json(nlohmann::json& json, const StatementResult& result);

/// Answer to fence, promote and await_position.
struct TermAnswer {
    bool granted = false;
    LogPosition position;
    Term promisedTerm = 0;
};

void to_json(nlohmann::json& json, const TermAnswer& answer);

/// What a slot replicates from. Changes whenever a fence, promote or follow takes effect.
struct FollowTarget {
    std::uint64_t epoch = 0; ///< Identifies this target; data fetched for another one must be dropped.
    Term term = 0;
    std::optional<HostAddress> primary {}; ///< Empty at the start: the peer that leads the term.
};

/// Log, terms and role of one slot. Thread-safe: every method is atomic.
class DatabaseNode {
public:
    /// A primary starts with the first record of term 1; a replica follows that primary with an empty log.
    DatabaseNode(unsigned slot, bool isPrimary);

    /// Appends the operations as one record. NotRun/NotPrimary or TermMismatch unless this slot is primary of
    /// @p term and promised no greater one; a known key returns the first result and appends nothing.
    Result<StatementResult> write(Term term, const Statement& statement, const std::string& key);

    /// As write(), for the buffered operations of a transaction. NotRun/NoTransaction when the key was rolled back.
    Result<StatementResult> commit(Term term, const std::vector<Operation>& operations, const std::string& key);

    /// Makes sure that no change with @p key runs from now on. When one has run, returns its stored result with
    /// `repeated`; otherwise the key is recorded as rolled back, in the log and so also on the replicas.
    Result<StatementResult> rollBackKey(Term term, const std::string& key);

    /// Evaluates without appending, on top of @p pending. NotRun/Behind unless the log covers @p required.
    Result<StatementResult> read(
        const Statement& statement, const std::vector<Operation>& pending, const LogPosition& required) const;

    /// NotRun/NotPrimary or TermMismatch unless a write in @p term would be accepted now.
    Result<void> checkPrimary(Term term) const;

    TermAnswer fence(Term term, const std::string& proposer);
    TermAnswer promote(Term term, const std::string& proposer);

    /// @return whether the slot now follows @p primary.
    bool follow(Term term, const HostAddress& primary);

    /// Waits until the position is greater than @p after, at most @p timeout.
    TermAnswer awaitPosition(std::uint64_t after, Milliseconds timeout) const;

    /// Primary's side of replication: records after @p after, waiting up to @p timeout for one. With
    /// @p termEnds of the replica's log the result also has the common prefix, from which records are sent.
    /// NotRun/NotPrimary or TermMismatch as for a write.
    Result<nlohmann::json> replicate(Term term, std::uint64_t after,
        const std::optional<ReplicatedLog::TermEnds>& termEnds, Milliseconds timeout) const;

    /// Target to replicate from; empty while the slot is primary or fenced without a follow.
    std::optional<FollowTarget> followTarget() const;

    /// Waits until the target is another than that of @p epoch, at most @p timeout.
    void awaitTargetChange(std::uint64_t epoch, Milliseconds timeout) const;

    /// Replica's side of replication. False, and no change, when the target is no longer that of @p epoch.
    bool truncate(std::uint64_t epoch, std::uint64_t position);
    bool applyRecord(std::uint64_t epoch, LogRecord record);
    bool recordPrimaryContact(std::uint64_t epoch);

    ReplicatedLog::TermEnds termEnds() const;
    LogPosition position() const;

    /// slot, role, promisedTerm, logTerm, position, primaryContactMs.
    nlohmann::json status() const;
    nlohmann::json dump() const;

    /// Ends every wait, now and later.
    void stop();

private:
    Result<void> checkPrimaryLocked(Term term) const;
    Result<StatementResult> appendLocked(
        Term term, std::vector<Operation> operations, const std::string& key, nlohmann::json rows);
    TermAnswer answerLocked(bool granted) const;
    void retargetLocked(std::optional<FollowTarget> target);

    const unsigned m_slot;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    ReplicatedLog m_log;
    bool m_isPrimary = false; ///< Of m_promisedTerm: a greater promise ends the role.
    Term m_promisedTerm = 1;
    std::string m_proposer; ///< Who was promised m_promisedTerm; empty if nobody.
    std::optional<FollowTarget> m_target;
    std::uint64_t m_epoch = 0;
    std::optional<TimePoint> m_primaryContact;
    bool m_isStopped = false;
};

} // namespace kumquatbank::standin
