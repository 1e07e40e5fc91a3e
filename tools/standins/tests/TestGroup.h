#pragma once

#include "DatabaseStandIn.h"

#include <functional>
#include <vector>

namespace kumquatbank::standin {

/// One caller connection of a test, with the calls of section 5.2 as one line each.
class TestCaller {
public:
    TestCaller(const HostAddress& address, const std::string& host, std::uint64_t claim, const std::string& purpose);

    /// The whole response; null when the connection is closed or silent for a second.
    nlohmann::json call(const std::string& method, const nlohmann::json& params);
    void send(const std::string& method, const nlohmann::json& params);
    nlohmann::json receive(Milliseconds timeout = Milliseconds(1000));

    nlohmann::json write(Term term, const std::string& statement, const std::string& key = "");
    nlohmann::json read(const std::string& statement, const LogPosition& required = {}, Term term = 0);

    const nlohmann::json& hello() const { return m_hello; }

private:
    std::unique_ptr<LineSocket> m_socket;
    std::uint64_t m_id = 0;
    nlohmann::json m_hello;
};

/// Slots of one group in this process; slot 0 starts as primary.
class TestGroup {
public:
    explicit TestGroup(std::size_t slots, const DatabaseStandInOptions& options = {});

    DatabaseStandIn& slot(std::size_t n) { return *m_slots.at(n); }
    TestCaller connect(
        std::size_t n, const std::string& host = "h", std::uint64_t claim = 0, const std::string& purpose = "work");
    std::uint64_t position(std::size_t n);

private:
    std::vector<std::unique_ptr<DatabaseStandIn>> m_slots;
};

/// Waits up to 3 s for the condition.
bool eventually(const std::function<bool()>& condition);

/// Error code of a response; 0 when it has none.
int errorCode(const nlohmann::json& response);

} // namespace kumquatbank::standin
