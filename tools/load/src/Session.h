#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank::load {

/// One caller session on one database: its token, its own key and the values confirmed there. Used by one
/// thread at a time.
class Session {
public:
    Session(std::size_t database, std::string key);

    std::size_t database() const { return m_database; } ///< Index in the options.
    const std::string& key() const { return m_key; }
    const std::string& token() const { return m_token; }

    /// A value that no other operation of any run uses.
    std::string makeValue();

    /// Takes the token of an answer.
    void setToken(std::string token) { m_token = std::move(token); }

    /// From now on every read of the key must return the value.
    void confirm(std::string value) { m_confirmed.push_back(std::move(value)); }

    bool hasConfirmed() const { return !m_confirmed.empty(); }

    /// True when the key's list is long enough to start another session instead.
    bool isWornOut() const;

    /// Confirmed values that the rows of a read do not hold.
    std::size_t countMissing(const nlohmann::json& rows) const;

    /// Rows that belong to another session or are no text.
    std::size_t countForeign(const nlohmann::json& rows) const;

private:
    const std::size_t m_database;
    const std::string m_key;
    std::string m_token;
    std::size_t m_values = 0;
    std::vector<std::string> m_confirmed;
};

} // namespace kumquatbank::load
