#pragma once

#include "kumquatbank/core/LogPosition.h"
#include "kumquatbank/routing/Statement.h"

#include <map>
#include <set>
#include <string>

namespace kumquatbank {

/// A prepared statement with its name on database connections. The name is the same for all clients that prepared the
/// same statement.
struct PreparedStatement {
    std::string connectionName;
    std::string shape;
    bool writes = false;
};

/// State that a client's session has set. It is replayed on every connection that serves the session.
struct SessionState {
    using Values = std::map<std::string, std::string>;

    Values values;
    std::map<std::string, PreparedStatement> prepared; ///< By the client's name.
    LogPosition lastCommit; ///< Position of the session's newest write.
};

/// Name of a prepared statement on database connections. Equal statements get equal names, so that clients share them;
/// equal names that two clients chose for different statements do not collide.
std::string preparedConnectionName(bool writes, std::string_view shape);

/// Session state that a database connection holds from the sessions it served.
class ConnectionState {
public:
    /// True if the connection holds values that the session has not set; only a reset removes them.
    bool needsReset(const SessionState& session) const;

    /// Values of the session that have to be set on the connection; after the reset if one is needed.
    SessionState::Values missingValues(const SessionState& session) const;

    bool hasValues() const { return !m_values.empty(); }
    bool hasPrepared(const std::string& connectionName) const { return m_prepared.contains(connectionName); }
    bool hasSameValuesAs(const SessionState& session) const { return m_values == session.values; }

    void recordReset();
    void recordValue(const std::string& name, const std::string& value) { m_values[name] = value; }
    void recordPrepared(const std::string& connectionName) { m_prepared.insert(connectionName); }

private:
    SessionState::Values m_values;
    std::set<std::string> m_prepared;
};

} // namespace kumquatbank
