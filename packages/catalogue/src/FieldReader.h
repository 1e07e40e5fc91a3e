#pragma once

#include "kumquatbank/core/core.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Reads the fields of one JSON object of the catalogue and remembers the first problem, with the field, its
/// value and what is allowed. Reading goes on after a problem with default values.
class FieldReader {
public:
    /// @p what names the object in messages, for example "entry".
    FieldReader(const nlohmann::json& json, std::string what);

    /// Reports a field that is none of @p known: a misspelled limit must not be ignored.
    void rejectUnknown(std::span<const std::string_view> known);

    /// Non-empty text of at most @p maxBytes.
    std::string readText(const std::string& field, std::size_t maxBytes = 256);

    /// Name of an object: letters, digits, '.', '_' and '-'.
    std::string readName(const std::string& field);
    std::string readOptionalText(const std::string& field, std::size_t maxBytes = 256);

    /// One of @p allowed, given by its position.
    std::size_t readChoice(const std::string& field, std::span<const std::string_view> allowed);
    std::uint64_t readInteger(const std::string& field, std::uint64_t minimum, std::uint64_t maximum);
    std::optional<std::uint64_t> readOptionalInteger(
        const std::string& field, std::uint64_t minimum, std::uint64_t maximum);
    std::optional<double> readOptionalNumber(const std::string& field, double minimum, double maximum);
    bool readBool(const std::string& field, bool fallback);

    /// Records @p problem unless there is an earlier one.
    void report(std::string problem);

    bool hasProblem() const { return !m_problem.empty(); }
    tl::unexpected<Failure> failure() const;

private:
    /// The field's value; null pointer when it is missing or null.
    const nlohmann::json* find(const std::string& field) const;
    void reportField(const std::string& field, const std::string& allowed);

    const nlohmann::json& m_json;
    std::string m_what;
    std::string m_problem;
};

} // namespace kumquatbank
