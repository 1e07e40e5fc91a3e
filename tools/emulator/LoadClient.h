#pragma once

#include "LoadReport.h"
#include "kumquatbank/adapter/WireDialect.h"
#include "kumquatbank/engine/LineChannel.h"
#include "kumquatbank/routing/RoutingConfig.h"

#include <random>
#include <set>

namespace kumquatbank {

/// One client that writes growing numbers to an item of its own and checks what it reads back: never an older number than
/// the database's policy allows, and never one whose write was refused. After a write in doubt, which may still run and
/// would then replace newer numbers, it goes on with another item.
class LoadClient {
public:
    LoadClient(asio::io_context& io, std::string database, ReadPolicy policy, std::vector<HostAddress> proxies, unsigned seed, LoadReport& report);

    /// Sends the key of an account, and uses items of that account only.
    void useAccount(const std::string& account, std::string key);

    /// @p statements: writes of a transaction, each after a pause.
    Task<void> run(BootTime until, std::chrono::milliseconds pause, int statements = 1);

    /// Reads the item once more at the end, through any proxy, and checks it.
    Task<void> checkLast();

private:
    struct Answer {
        std::string id; ///< Of the statement.
        bool isComplete = false;
        std::string row;
        std::string code; ///< Empty on success.
    };

    Task<bool> connect();
    Task<Answer> query(std::string text);
    Task<void> write();
    Task<void> read();
    Task<void> runTransaction(std::chrono::milliseconds pause, int statements);
    /// Records an answer for the judgement of keys.
    void noteKey(BootTime sentAt, const std::string& code);
    void noteWrite(const Answer& answer, std::uint64_t value);
    void changeItem();
    /// The smallest number that a read may return now.
    std::uint64_t leastVisible() const;
    void check(const Answer& answer, std::uint64_t least);

    asio::io_context& m_io;
    std::string m_database;
    ReadPolicy m_policy;
    std::vector<HostAddress> m_proxies;
    std::mt19937 m_random;
    LoadReport& m_report;
    std::optional<LineChannel> m_channel;
    std::optional<std::string> m_key;
    bool m_isInTransaction = false;
    std::string m_name;
    std::string m_item;
    int m_items = 0;
    std::uint64_t m_next = 0;
    std::vector<std::pair<BootTime, std::uint64_t>> m_acknowledged; ///< Numbers, with the time of their acknowledgement.
    std::set<std::uint64_t> m_refused; ///< Numbers whose writes were promised not to be kept.
    std::uint64_t m_ownSession = 0; ///< Newest number acknowledged in this session.
};

} // namespace kumquatbank
