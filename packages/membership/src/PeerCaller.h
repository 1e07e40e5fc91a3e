#pragma once

#include "MemberTable.h"
#include "kumquatbank/transport/transport.h"

#include <atomic>
#include <functional>

namespace kumquatbank {

/// Sends membership messages under this process's current identity and counts them. Thread-safe.
class PeerCaller {
public:
    PeerCaller(PeerClient& peers, const MemberTable& table);

    /// As PeerClient::call().
    Result<nlohmann::json> call(
        const HostAddress& peer, PeerMessageType type, nlohmann::json body, Milliseconds timeout);

    /// Asks @p peer over a new connection whether it answers at all.
    bool ping(const HostAddress& peer, Milliseconds timeout);

    /// Asks @p helper whether @p target answers it.
    bool pingThrough(const HostAddress& helper, const HostAddress& target, Milliseconds timeout);

    /// Answers an IndirectProbe message: true for this process itself, else the result of a ping.
    nlohmann::json answerProbe(const nlohmann::json& body);

    /// Runs @p task for every address, all at the same time, and waits for them.
    static void forEach(const std::vector<HostAddress>& addresses, const std::function<void(const HostAddress&)>& task);

    void countReceived() { ++m_messages; }
    std::uint64_t messageCount() const { return m_messages; } ///< Requests sent and received.
    std::uint64_t controlBytes() const { return m_peers.controlBytes(); }

    /// Closes connections that no message used for a minute.
    void closeIdle();

private:
    PeerClient& m_peers;
    const MemberTable& m_table;
    std::atomic<std::uint64_t> m_messages { 0 };
};

} // namespace kumquatbank
