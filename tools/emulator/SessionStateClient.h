#pragma once

#include "LoadReport.h"
#include "kumquatbank/engine/LineChannel.h"

#include <map>
#include <random>
#include <set>

namespace kumquatbank {

/// A client whose statements depend on the state of its session: it sets values and prepares statements, and runs them alone
/// and in transactions with pauses. It reports a violation if a prepared statement is unknown or a legal statement is called
/// malformed. Its items are those of EmulatedPlatform::itemWithValue(), so that the emulator checks the values.
class SessionStateClient {
public:
    SessionStateClient(asio::io_context& io, std::string database, std::vector<HostAddress> proxies, unsigned seed, LoadReport& report);

    Task<void> run(BootTime until);

private:
    struct Answer {
        std::string id; ///< Of the statement.
        std::string code; ///< Empty on success; "closed" if the connection ended.
    };

    /// Opens a session, or does nothing if one is open. Returns false if there is none.
    Task<bool> openSession();
    Task<Answer> query(std::string text);
    /// Runs a prepared statement, which the session prepares first if necessary.
    Task<Answer> execute(bool mayWrite);
    Task<void> runTransaction();
    void noteEnd(const Answer& answer);

    asio::io_context& m_io;
    std::string m_database;
    std::vector<HostAddress> m_proxies;
    std::mt19937 m_random;
    LoadReport& m_report;
    std::optional<LineChannel> m_channel;
    const std::string m_name;
    int m_value = 0;
    std::set<std::string> m_prepared; ///< By the names of this client.
};

} // namespace kumquatbank
