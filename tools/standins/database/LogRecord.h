#pragma once

#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank::standin {

/// One change of one key.
struct Operation {
    enum class Type {
        Put, ///< Replaces the key's values by one.
        Append, ///< Adds a value to the key's list.
    };

    Type type = Type::Put;
    std::string key;
    std::string value;
};

void to_json(nlohmann::json& json, const Operation& operation);
void from_json(const nlohmann::json& json, Operation& operation);

/// One entry of the replicated log. A record without operations starts a term.
struct LogRecord {
    Term term = 0;
    std::uint64_t position = 0; ///< 1 for the first record.
    std::vector<Operation> operations {};
    std::string idempotencyKey {}; ///< Empty if none.
    nlohmann::json rows = nlohmann::json::array(); ///< What the statement returned.
    TimePoint appendedAt {}; ///< When the primary appended it, by this process's clock.
    bool isRollback = false; ///< Marks the idempotency key as rolled back; nothing may commit with it any more.
};

/// The time of appending travels as the age in microseconds.
void to_json(nlohmann::json& json, const LogRecord& record);
void from_json(const nlohmann::json& json, LogRecord& record);

} // namespace kumquatbank::standin
