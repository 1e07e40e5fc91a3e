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

/// One statement of a client, checked for its form.
struct Statement {
    StatementKind kind = StatementKind::Read;
    std::string name; ///< Session value or prepared statement, as the client named it; else empty.
    std::string argument; ///< Value of SetValue, shape of Prepare, arguments of Execute; else empty.
    bool preparesWrite = false; ///< Prepare: whether the prepared statement writes.
    std::string text; ///< As the client sent it.
};

/// Name for logs and metrics.
std::string_view statementKindName(StatementKind kind);

} // namespace kumquatbank
