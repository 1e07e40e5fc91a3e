#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <tuple>

namespace kumquatbank {

/// Refusals of one account in the logs of any number of hosts, by host, outcome and reason.
class RefusalCounts {
public:
    /// Counts a line of the event `statement` that was not served.
    void add(const std::string& host, std::int64_t atMs, const nlohmann::json& fields);
    bool isEmpty() const { return m_counts.empty(); }
    /// Prints the most frequent kind first, each with the id of its newest request.
    void print(std::ostream& out) const;

private:
    struct Count {
        std::int64_t requests = 0;
        std::int64_t firstMs = 0;
        std::int64_t lastMs = 0;
        std::string lastRequest;
    };

    std::map<std::tuple<std::string, std::string, std::string>, Count> m_counts; ///< By host, outcome and reason.
};

} // namespace kumquatbank
