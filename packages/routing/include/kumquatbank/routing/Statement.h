#pragma once

#include <string>
#include <string_view>

namespace kumquatbank {

enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute, ///< Runs a prepared statement.
    Deallocate,
};

/// A parsed and validated statement of a client.
struct Statement {
    StatementKind kind = StatementKind::Read;
    std::string name; ///< Client's name of the session value or prepared statement; empty for other kinds.
    std::string argument; ///< Value of SetValue, shape of Prepare, arguments of Execute; empty for other kinds.
    bool preparesWrite = false; ///< For Prepare: whether the prepared statement writes.
    std::string text; ///< The statement as the client sent it.
};

/// Returns the name for logs and metrics.
std::string_view statementKindName(StatementKind kind);

} // namespace kumquatbank
