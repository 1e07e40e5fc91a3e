#pragma once

#include "LineSocket.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace kumquatbank::standin {

/// What a connection is used for, as its hello says.
enum class Purpose {
    Work, ///< Statements; subject to claims.
    Control, ///< Probes, watches, claims and promotions.
};

/// A caller-side connection that said hello.
struct Hello {
    std::string host;
    std::uint64_t claim = 0;
    Purpose purpose = Purpose::Work;
};

/// Answer to a claim.
struct ClaimAnswer {
    bool granted = false;
    std::uint64_t claim = 0;
    std::string claimHost;
};

void to_json(nlohmann::json& json, const ClaimAnswer& answer);

/// The caller-side connections of one slot: their number, limit and claims, and the leaving flag.
/// Thread-safe.
class ConnectionRegistry {
public:
    using ConnectionId = std::uint64_t;

    explicit ConnectionRegistry(std::size_t limit);

    /// Counts a connection from its hello on. NotRun/ConnectionLimit at the limit, NotRun/ClaimSuperseded for a
    /// work connection with a lower claim, NotRun/Leaving for one when @p refuseWorkIfLeaving and the slot
    /// is leaving.
    Result<ConnectionId> add(Hello hello, std::shared_ptr<LineSocket> socket, bool refuseWorkIfLeaving);
    void remove(ConnectionId id);

    /// Grants a greater claim, or an equal one of the same host. Work connections with a lower claim are
    /// closed: idle ones now, those in a statement when it ends.
    ClaimAnswer claim(std::uint64_t claim, const std::string& host);

    /// Marks the start of a statement; NotRun/ClaimSuperseded when the connection's claim is lower.
    Result<void> beginStatement(ConnectionId id);

    /// Marks its end. False when the connection must be closed because of a claim.
    bool endStatement(ConnectionId id);

    void setLeaving(bool isLeaving);
    bool isLeaving() const;

    /// claim, claimHost, leaving, connections, connectionLimit.
    nlohmann::json status() const;

    /// Statements started so far, and those started later than 3 s after the leaving notice.
    nlohmann::json counters() const;

private:
    struct Connection {
        Hello hello;
        std::shared_ptr<LineSocket> socket;
        bool isExecuting = false;
    };

    const std::size_t m_limit;
    mutable std::mutex m_mutex;
    std::map<ConnectionId, Connection> m_connections;
    ConnectionId m_nextId = 1;
    std::uint64_t m_claim = 0;
    std::string m_claimHost;
    std::optional<TimePoint> m_leavingSince;
    std::uint64_t m_statements = 0;
    std::uint64_t m_statementsAfterLeaving = 0;
};

} // namespace kumquatbank::standin
