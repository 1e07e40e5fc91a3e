#pragma once

#include "LogRecord.h"

namespace kumquatbank::standin {

/// A parsed statement: `put <key> <value>`, `append <key> <value>`, `get <key>` and `sleep <ms>`, separated
/// by `;`. A value extends to the end of its part and may hold spaces.
struct Statement {
    struct Step {
        bool isRead = false; ///< A get; only the operation's key is used.
        Operation operation;
    };

    Milliseconds sleep { 0 }; ///< Sum of all sleeps; they come before the steps.
    std::vector<Step> steps;

    bool changesData() const;

    /// NotRun/StatementError names the part that cannot be read.
    static Result<Statement> parse(const std::string& text);
};

} // namespace kumquatbank::standin
