#include "OddEntries.h"

#include <algorithm>
#include <fmt/format.h>

namespace kumquatbank {

namespace {

    /// Levels that overflow the stack of a reader that descends into each of them.
    constexpr int deepLevels = 120'000;
    /// Just below what the store accepts for one object.
    constexpr std::size_t longEntryBytes = 1'000'000;
    /// Levels that no stack of usual size minds.
    constexpr int fewLevels = 5000;

    std::string repeat(std::string_view text, int n)
    {
        std::string repeated;
        for (int i = 0; i < n; ++i)
            repeated += text;
        return repeated;
    }

    /// An entry like that of a database, with one value replaced or added.
    std::string entryWith(const std::string& service, std::string_view key, std::string_view value)
    {
        const std::vector<std::pair<std::string_view, std::string>> fields { { "Service", '"' + service + '"' }, { "Address", R"("127.0.0.9:9")" }, { "Zone", R"("dc-0")" }, { "Slots", "3" }, { "State", R"("ready")" }, { "DbRole", R"("replica")" }, { "Sequence", "1" }, { "born", "1" } };
        std::string text;
        for (const auto& [name, usual] : fields)
            text += fmt::format(R"({}"{}":{})", text.empty() ? "" : ",", name, name == key ? value : usual);
        const bool isKnown = std::ranges::any_of(fields, [key](const auto& field) { return field.first == key; });
        return "{" + text + (isKnown ? std::string() : fmt::format(R"(,"{}":{})", key, value)) + "}";
    }

    /// An array of about @p bytes with the same element again and again.
    std::string arrayOf(std::string_view element, std::size_t bytes)
    {
        std::string text = "[" + std::string(element);
        while (text.size() + element.size() + 2 <= bytes)
            text.append(",").append(element);
        return text + "]";
    }

} // namespace

std::string entryWithLongNote(const std::string& service, std::size_t bytes) { return entryWith(service, "Note", arrayOf("{}", bytes)); }

std::vector<OddEntry> longEntries(const std::string& service, std::size_t bytes)
{
    std::string members = R"({"0":0)";
    for (int n = 1; members.size() < bytes; ++n)
        members += fmt::format(R"(,"{}":{{}})", n);
    return {
        { "a long array of objects", arrayOf("{}", bytes) },
        { "a long array of numbers", arrayOf("1", bytes) },
        { "a long array of nested arrays", arrayOf("[[[[]]]]", bytes) },
        { "many members", members + "}" },
        { "a long string", '"' + std::string(bytes, 'x') + '"' },
        { "a long name of a service", entryWith(service, "Service", '"' + std::string(bytes, 's') + '"') },
        { "a long array in a field that is used", entryWith(service, "Zone", arrayOf("{}", bytes)) },
    };
}

std::vector<OddEntry> oddEntries(const std::string& service)
{
    std::vector<OddEntry> found {
        { "deep arrays in a field", entryWith(service, "Note", repeat("[", deepLevels) + repeat("]", deepLevels)) },
        { "deep objects in a field", entryWith(service, "Note", repeat(R"({"a":)", deepLevels) + "1" + repeat("}", deepLevels)) },
        { "deep arrays as the entry", repeat("[", deepLevels) + repeat("]", deepLevels) },
        { "arrays of 5,000 levels", entryWith(service, "Zone", repeat("[", fewLevels) + repeat("]", fewLevels)) },
        { "a number too large in a field that is used", entryWith(service, "Slots", "1e400") },
        { "a number too large in a field that is not used", entryWith(service, "Note", "-1e999") },
        { "bytes that are not UTF-8", entryWith(service, "Zone", "\"dc-\xff\xfe\"") },
        { "a lone surrogate", entryWith(service, "Zone", R"("\ud800")") },
        { "a service that ends its line", entryWith(service, "Service", R"("service-0 x\r\nQUERY - RESET")") },
        { "an unknown service", entryWith(service, "Service", R"("service-of-others")") },
        { "an unknown state", entryWith(service, "State", R"("resting")") },
        { "null", "null" },
        { "a string", R"("entry")" },
    };
    for (auto& entry : longEntries(service, longEntryBytes))
        found.push_back(std::move(entry));
    for (const auto* port : { "0", "-1", "65536", "99999999999999999999", "" })
        found.push_back({ fmt::format("port '{}'", port), entryWith(service, "Address", fmt::format(R"("127.0.0.9:{}")", port)) });
    for (const auto* slots : { "0", "-3", "2147483648", "4294967297", "18446744073709551615", "18446744073709551616", "3.5", "\"3\"", "true" })
        found.push_back({ fmt::format("{} slots", slots), entryWith(service, "Slots", slots) });
    for (const auto* key : { "Service", "Address", "State", "DbRole" })
        found.push_back({ fmt::format("{} of another type", key), entryWith(service, key, R"({"a":[1]})") });
    return found;
}

} // namespace kumquatbank
