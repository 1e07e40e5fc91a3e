#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank::load {

/// Broken guarantees, counted by kind, with a few examples each.
struct Violations {
    std::uint64_t lost = 0; ///< Confirmed operations that the primary does not hold.
    std::uint64_t doubled = 0; ///< Operations that ran more than once.
    std::uint64_t notRunButRun = 0; ///< Operations that ran although every try was answered with not_run.
    std::uint64_t stale = 0; ///< Session reads without a value that the session had confirmed.
    std::uint64_t crossed = 0; ///< Answers with a foreign id or value, or that could not be read.
    std::uint64_t torn = 0; ///< Transactions of which only a part is there, or not in one record.
    std::uint64_t mixed = 0; ///< Records that hold operations of several callers.
    std::uint64_t unchecked = 0; ///< Databases whose primary could not be read at the end.
    std::vector<std::string> examples;

    std::uint64_t total() const { return lost + doubled + notRunButRun + stale + crossed + torn + mixed + unchecked; }

    /// Counts one and keeps its description while there are few.
    void add(std::uint64_t Violations::*kind, const std::string& example);

    void merge(const Violations& other);
};

void to_json(nlohmann::json& json, const Violations& violations);

} // namespace kumquatbank::load
