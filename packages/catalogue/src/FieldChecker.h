#pragma once

#include "kumquatbank/core/core.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kumquatbank {

/// Reads the fields of one catalogue object and keeps the first problem as one line with object, field, value
/// and what is allowed.
class FieldChecker {
public:
    /// @param object names the object in messages. The JSON value must outlive the checker.
    FieldChecker(const nlohmann::json& json, std::string object);

    /// Reports a value that is not an object, and any field that is not in @p known.
    void checkFields(const std::vector<std::string>& known);

    std::string readName(const std::string& field);
    std::string readOptionalText(const std::string& field);
    bool readFlag(const std::string& field, bool fallback);
    std::optional<double> readNumber(const std::string& field, double min, double max);
    std::optional<std::int64_t> readWhole(const std::string& field, std::int64_t min, std::int64_t max);

    /// Keeps "<object>: field '<field>', value <value>: must be <allowed>" unless there is a problem already.
    void report(const std::string& field, const std::string& allowed);

    /// The first problem as NotRun/BadRequest; nothing when all fields are valid.
    Result<void> checked() const;

private:
    /// The field's value; null when it is absent or JSON null.
    const nlohmann::json* find(const std::string& field) const;

    const nlohmann::json& m_json;
    const std::string m_object;
    std::string m_problem;
};

} // namespace kumquatbank
