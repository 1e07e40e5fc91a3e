#pragma once

#include <chrono>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace kumquatbank {

/// What the clients of a load saw.
class LoadReport {
public:
    void answered(const std::string& database, std::chrono::microseconds took, const std::string& code);
    void closed() { ++m_closed; }
    void violation(std::string what) { m_violations.push_back(std::move(what)); }

    bool hasViolations() const { return !m_violations.empty(); }
    std::size_t served() const;
    void print(std::ostream& out, std::chrono::seconds duration) const;

private:
    struct Class {
        std::vector<std::chrono::microseconds> served;
        std::map<std::string, int> refused; ///< By code.
    };

    std::map<std::string, Class> m_classes;
    std::vector<std::string> m_violations;
    int m_closed = 0;
};

} // namespace kumquatbank
