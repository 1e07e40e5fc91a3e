#pragma once

#include <string>
#include <string_view>

namespace kumquatbank {

/// A command on a database connection, with what its answer may change in the state of the connection.
struct ConnectionCommand {
    enum class Kind {
        Start,
        Statement, ///< A read or write of a client.
        Execute, ///< Runs the prepared statement `name`.
        Begin,
        Commit,
        Rollback,
        SetValue, ///< Sets the value `name` to `value`.
        Prepare, ///< Prepares a statement as `name`.
        Reset, ///< Clears values and prepared statements.
        Control, ///< Concerns the database, not the connection.
        Unknown, ///< A text whose effect on the connection is not known.
    };

    Kind kind = Kind::Unknown;
    std::string name {};
    std::string value {};

    /// Returns true if the command sets or clears session state.
    bool isSessionState() const { return kind == Kind::SetValue || kind == Kind::Prepare || kind == Kind::Reset; }
    /// Returns true if prepared statements may be gone after the command.
    bool mayClearPrepared() const { return kind == Kind::Reset || kind == Kind::Unknown; }
};

/// Returns the name for logs and metrics, for example "prepare".
std::string_view connectionCommandName(ConnectionCommand::Kind kind);

} // namespace kumquatbank
