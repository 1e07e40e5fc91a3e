#include "FieldChecker.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr std::size_t maxNameBytes = 128;

    // Names stand in URLs of the platform and in metric labels.
    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
    }

    std::string formatRange(double min, double max) { return nlohmann::json(min).dump() + " to " + nlohmann::json(max).dump(); }

} // namespace

FieldChecker::FieldChecker(const nlohmann::json& json, std::string object)
    : m_json(json)
    , m_object(std::move(object))
{
}

void FieldChecker::checkFields(const std::vector<std::string>& known)
{
    if (!m_json.is_object()) {
        m_problem = m_object + ": must be a JSON object";
        return;
    }
    for (const auto& [field, value] : m_json.items()) {
        if (std::ranges::find(known, field) == known.end())
            report(field, "absent: the field is unknown");
    }
}

std::string FieldChecker::readName(const std::string& field)
{
    const auto* value = find(field);
    const bool isText = value && value->is_string();
    auto name = isText ? value->get<std::string>() : std::string();
    if (name.empty() || name.size() > maxNameBytes || !std::ranges::all_of(name, isNameCharacter))
        report(field, "a name of 1 to 128 letters, digits, '-', '_' or '.'");
    return name;
}

std::string FieldChecker::readOptionalText(const std::string& field)
{
    const auto* value = find(field);
    if (!value)
        return {};
    if (!value->is_string()) {
        report(field, "a string");
        return {};
    }
    return value->get<std::string>();
}

bool FieldChecker::readFlag(const std::string& field, bool fallback)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        report(field, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::optional<double> FieldChecker::readNumber(const std::string& field, double min, double max)
{
    const auto* value = find(field);
    if (!value)
        return std::nullopt;
    if (!value->is_number() || value->get<double>() < min || value->get<double>() > max) {
        report(field, "a number from " + formatRange(min, max));
        return std::nullopt;
    }
    return value->get<double>();
}

std::optional<std::int64_t> FieldChecker::readWhole(const std::string& field, std::int64_t min, std::int64_t max)
{
    const auto* value = find(field);
    if (!value)
        return std::nullopt;
    const bool isInRange = value->is_number_integer() && value->get<double>() >= static_cast<double>(min)
        && value->get<double>() <= static_cast<double>(max);
    if (!isInRange) {
        report(field, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return std::nullopt;
    }
    return value->get<std::int64_t>();
}

void FieldChecker::report(const std::string& field, const std::string& allowed)
{
    if (!m_problem.empty())
        return;
    const auto* value = find(field);
    m_problem = m_object + ": field '" + field + "', value " + (value ? value->dump() : "(missing)") + ": must be "
        + allowed;
}

Result<void> FieldChecker::checked() const
{
    if (!m_problem.empty())
        return notRun(FailureCode::BadRequest, m_problem, Cause::BadRequest);
    return {};
}

const nlohmann::json* FieldChecker::find(const std::string& field) const
{
    if (!m_json.is_object())
        return nullptr;
    const auto it = m_json.find(field);
    return it == m_json.end() || it->is_null() ? nullptr : &*it;
}

} // namespace kumquatbank
