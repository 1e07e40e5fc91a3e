#pragma once

#include "kumquatbank/core/LogPosition.h"
#include "kumquatbank/routing/Statement.h"

#include <map>
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

    /// Bound on values and prepared statements together. A session sets a handful of values and prepares tens of statements.
    static constexpr std::size_t maxNames = 1024;
    /// Bound on names, values and texts together: the longest message, of 1 MiB, and as much again for all others.
    static constexpr std::size_t maxBytes = 2 << 20;
    /// Counted for each name, for the nodes of the containers and the headers of the strings.
    static constexpr std::size_t bytesPerName = 192;

    std::size_t bytes = 0; ///< Of values and prepared statements.

    /// Size that bytes has after @p statement, which sets a value or prepares a statement.
    std::size_t bytesAfter(const Statement& statement) const;
    /// Returns whether @p statement, which sets a value or prepares a statement, keeps the session within its bounds.
    bool admits(const Statement& statement) const;
    /// Applies a statement that changes only the session: a value, a prepared statement or its end.
    void apply(const Statement& statement);
};

/// Name of a prepared statement on database connections. Equal statements get equal names, so that clients share them;
/// equal names that two clients chose for different statements do not collide.
std::string preparedConnectionName(bool writes, std::string_view shape);

} // namespace kumquatbank
