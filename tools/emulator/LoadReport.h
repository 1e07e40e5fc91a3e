#pragma once

#include "kumquatbank/core/BootClock.h"

#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace kumquatbank {

/// What the clients of a load saw.
class LoadReport {
public:
    /// Returns whether an answer with @p code promises that nothing of the client's attempt is kept.
    static bool promisesNothingKept(const std::string& code);

    void answered(const std::string& database, std::chrono::microseconds took, const std::string& code);
    /// Records that a write was acknowledged, for the longest time between two.
    void acknowledged(const std::string& database, BootTime at);
    /// Records that a connection ended before the answer to a statement. Several may have been sent together.
    void closed(std::string statement) { m_unanswered.push_back(std::move(statement)); }
    /// Statements without an answer.
    const std::vector<std::string>& unanswered() const { return m_unanswered; }
    /// Records a COMMIT or a single statement whose answer promised that nothing is kept.
    void promisedNotKept(std::string statement) { m_notKept.push_back(std::move(statement)); }
    const std::vector<std::string>& notKept() const { return m_notKept; }
    /// Records that a process answered that it knows no route for @p database.
    void unknownDatabase(const std::string& database, BootTime sentAt);
    /// One line for each such answer: the database, and when it was asked for and answered, in ms since the machine started.
    const std::vector<std::string>& unknownDatabases() const { return m_unknownDatabases; }
    enum class KeyOutcome { Served,
        InTransaction,
        Refused };
    /// Records that a client with @p key was served, or refused with NOAUTH.
    void keyAnswered(const std::string& key, BootTime sentAt, KeyOutcome outcome);
    /// One line for each such answer: the key, when it was asked for and answered in ms since the machine started, and how.
    const std::vector<std::string>& keyAnswers() const { return m_keyAnswers; }
    void unknownKeyRefused() { ++m_refusedUnknownKeys; }
    int refusedUnknownKeys() const { return m_refusedUnknownKeys; }
    void violation(std::string what) { m_violations.push_back(std::move(what)); }

    /// Records that the load's event loop ran a timer so late, by which the clients may see an end too late.
    void delayed(std::chrono::milliseconds delay);
    /// The longest such delay within the last second.
    std::chrono::milliseconds longestDelay() const;

    bool hasViolations() const { return !m_violations.empty(); }
    std::size_t served() const;
    void print(std::ostream& out, std::chrono::seconds duration) const;

private:
    struct Class {
        std::vector<std::chrono::microseconds> served;
        std::map<std::string, int> refused; ///< By code.
        std::optional<BootTime> lastAcknowledged;
        std::chrono::milliseconds longestGap { 0 }; ///< Between two acknowledged writes.
    };

    std::map<std::string, Class> m_classes;
    std::deque<std::pair<BootTime, std::chrono::milliseconds>> m_delays; ///< Of the last second, by the time of the record.
    std::vector<std::string> m_violations;
    std::vector<std::string> m_unanswered;
    std::vector<std::string> m_notKept;
    std::vector<std::string> m_unknownDatabases;
    std::vector<std::string> m_keyAnswers;
    int m_refusedUnknownKeys = 0;
};

} // namespace kumquatbank
