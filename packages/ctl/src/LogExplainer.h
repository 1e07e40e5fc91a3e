#pragma once

#include "RefusalCounts.h"

#include <cstdint>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace kumquatbank {

/// Finds the way of one request in the logs of any number of hosts, and what each host believed at that moment.
class LogExplainer {
public:
    /// @p subject: the id of a request; `session:N` for the lines of session N of each host, also one that was refused;
    /// `account:NAME` for the refusals of an account.
    explicit LogExplainer(std::string subject);

    /// Reads log lines; text before the first '{' of a line is ignored, and lines without JSON are counted.
    void read(std::istream& in);

    /// Prints the subject's lines in order of time, and below each what its host believed; of an account, only how many
    /// there are of each kind. Returns false if there is none.
    bool print(std::ostream& out) const;

private:
    struct Line {
        std::int64_t atMs = 0;
        std::string host;
        nlohmann::json fields;
    };

    bool isWanted(const nlohmann::json& fields) const;
    /// Why a client with an unknown or withdrawn key was refused.
    void printAccess(std::ostream& out, const Line& line) const;
    void printBeliefs(std::ostream& out, const Line& line) const;
    const Line* newestBefore(const Line& line, const std::vector<std::string>& events, const std::string& service) const;
    std::string serviceOf(const Line& line) const;

    std::string m_subject;
    std::optional<std::int64_t> m_session; ///< Of the subject.
    std::optional<std::string> m_account; ///< Of the subject.
    std::vector<Line> m_lines; ///< Of the subject.
    RefusalCounts m_refusals; ///< Of the account.
    std::vector<Line> m_beliefs; ///< Changes of what a host believes.
    std::size_t m_unreadable = 0;
};

} // namespace kumquatbank
