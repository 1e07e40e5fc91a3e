#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace kumquatbank {

/// Finds the way of one request in the logs of any number of hosts, and what each host believed at that moment.
class LogExplainer {
public:
    explicit LogExplainer(std::string request)
        : m_request(std::move(request))
    {
    }

    /// Reads log lines; text before the first '{' of a line is ignored, and lines without JSON are counted.
    void read(std::istream& in);

    /// Prints the request's lines in order of time, and before each what its host believed; false if there is none.
    bool print(std::ostream& out) const;

private:
    struct Line {
        std::int64_t atMs = 0;
        std::string host;
        nlohmann::json fields;
    };

    void printBeliefs(std::ostream& out, const Line& line) const;
    const Line* newestBefore(const Line& line, const std::vector<std::string>& events, const std::string& service) const;
    std::string serviceOf(const Line& line) const;

    std::string m_request;
    std::vector<Line> m_lines; ///< Of the request.
    std::vector<Line> m_beliefs; ///< Changes of what a host believes.
    std::size_t m_unreadable = 0;
};

} // namespace kumquatbank
