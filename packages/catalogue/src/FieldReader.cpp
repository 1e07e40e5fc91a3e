#include "FieldReader.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace kumquatbank {

namespace {

    constexpr std::size_t maxShownBytes = 80; // Longest part of a wrong value that a message repeats.

    std::string show(const nlohmann::json& value)
    {
        auto text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
        if (text.size() > maxShownBytes)
            text = text.substr(0, maxShownBytes) + "...";
        return text;
    }

    template <typename Number>
    std::string showRange(Number minimum, Number maximum)
    {
        std::ostringstream out;
        out << "from " << minimum << " to " << maximum;
        return out.str();
    }

} // namespace

FieldReader::FieldReader(const nlohmann::json& json, std::string what)
    : m_json(json)
    , m_what(std::move(what))
{
    if (!json.is_object())
        report("must be a JSON object, not " + show(json));
}

void FieldReader::rejectUnknown(std::span<const std::string_view> known)
{
    if (!m_json.is_object())
        return;
    for (const auto& [field, value] : m_json.items()) {
        if (std::ranges::find(known, field) == known.end())
            report("has the unknown field '" + field + "'");
    }
}

std::string FieldReader::readText(const std::string& field, std::size_t maxBytes)
{
    const auto* value = find(field);
    if (value && value->is_string() && !value->get_ref<const std::string&>().empty()
        && value->get_ref<const std::string&>().size() <= maxBytes)
        return value->get<std::string>();
    reportField(field, "must be text of 1 to " + std::to_string(maxBytes) + " bytes");
    return {};
}

std::string FieldReader::readName(const std::string& field)
{
    constexpr std::size_t maxNameBytes = 128;
    auto name = readText(field, maxNameBytes);
    const auto isAllowed = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' || c == '-';
    };
    if (!std::ranges::all_of(name, isAllowed))
        reportField(field, "must consist of letters, digits, '.', '_' and '-'");
    return name;
}

std::string FieldReader::readOptionalText(const std::string& field, std::size_t maxBytes)
{
    const auto* value = find(field);
    if (!value)
        return {};
    if (value->is_string() && value->get_ref<const std::string&>().size() <= maxBytes)
        return value->get<std::string>();
    reportField(field, "must be text of at most " + std::to_string(maxBytes) + " bytes");
    return {};
}

std::size_t FieldReader::readChoice(const std::string& field, std::span<const std::string_view> allowed)
{
    const auto* value = find(field);
    if (value && value->is_string()) {
        const auto it = std::ranges::find(allowed, value->get_ref<const std::string&>());
        if (it != allowed.end())
            return static_cast<std::size_t>(it - allowed.begin());
    }
    std::string names;
    for (const auto name : allowed)
        names += (names.empty() ? "" : ", ") + std::string(name);
    reportField(field, "must be one of " + names);
    return 0;
}

std::uint64_t FieldReader::readInteger(const std::string& field, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto value = readOptionalInteger(field, minimum, maximum);
    if (!value)
        reportField(field, "must be a whole number " + showRange(minimum, maximum));
    return value.value_or(minimum);
}

std::optional<std::uint64_t> FieldReader::readOptionalInteger(
    const std::string& field, std::uint64_t minimum, std::uint64_t maximum)
{
    const auto* value = find(field);
    if (!value)
        return std::nullopt;
    // Values built in memory rather than parsed are signed even when they are positive.
    if (value->is_number_unsigned() || (value->is_number_integer() && value->get<std::int64_t>() >= 0)) {
        const auto number = value->get<std::uint64_t>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    reportField(field, "must be a whole number " + showRange(minimum, maximum));
    return minimum;
}

std::optional<double> FieldReader::readOptionalNumber(const std::string& field, double minimum, double maximum)
{
    const auto* value = find(field);
    if (!value)
        return std::nullopt;
    if (value->is_number()) {
        const auto number = value->get<double>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    reportField(field, "must be a number " + showRange(minimum, maximum));
    return minimum;
}

bool FieldReader::readBool(const std::string& field, bool fallback)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (!value->is_boolean())
        reportField(field, "must be true or false");
    return value->is_boolean() ? value->get<bool>() : fallback;
}

void FieldReader::report(std::string problem)
{
    if (m_problem.empty())
        m_problem = m_what + " " + std::move(problem);
}

tl::unexpected<Failure> FieldReader::failure() const
{
    return notRun(FailureCode::BadRequest, m_problem, Cause::BadRequest);
}

const nlohmann::json* FieldReader::find(const std::string& field) const
{
    if (!m_json.is_object())
        return nullptr;
    const auto it = m_json.find(field);
    return it == m_json.end() || it->is_null() ? nullptr : &*it;
}

void FieldReader::reportField(const std::string& field, const std::string& allowed)
{
    const auto* value = find(field);
    report("field '" + field + "' " + allowed + (value ? ", not " + show(*value) : ", but is missing"));
}

} // namespace kumquatbank
