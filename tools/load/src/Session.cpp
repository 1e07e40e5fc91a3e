#include "Session.h"

#include <algorithm>
#include <unordered_set>

namespace kumquatbank::load {

namespace {

    // Bounds the rows of a read, so that its cost does not grow during a run.
    constexpr std::size_t maxValues = 50;

} // namespace

Session::Session(std::size_t database, std::string key)
    : m_database(database)
    , m_key(std::move(key))
{
}

std::string Session::makeValue()
{
    return m_key + "." + std::to_string(++m_values);
}

bool Session::isWornOut() const
{
    return m_values >= maxValues;
}

std::size_t Session::countMissing(const nlohmann::json& rows) const
{
    std::unordered_set<std::string> found;
    for (const auto& row : rows) {
        if (row.is_string())
            found.insert(row.get<std::string>());
    }
    return static_cast<std::size_t>(
        std::ranges::count_if(m_confirmed, [&](const std::string& value) { return !found.contains(value); }));
}

std::size_t Session::countForeign(const nlohmann::json& rows) const
{
    const auto prefix = m_key + ".";
    return static_cast<std::size_t>(std::ranges::count_if(
        rows, [&](const auto& row) { return !row.is_string() || !row.template get<std::string>().starts_with(prefix); }));
}

} // namespace kumquatbank::load
