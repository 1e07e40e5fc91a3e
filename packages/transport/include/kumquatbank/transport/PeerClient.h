#pragma once

#include "kumquatbank/transport/PeerMessage.h"

#include <cstdint>
#include <memory>

namespace kumquatbank {

/// Sends peer messages over one connection per peer, opened on first use and closed when idle.
/// Thread-safe; calls to one peer run concurrently. A request is delivered at most once.
class PeerClient {
public:
    PeerClient();
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    /// Sends and waits for the response body. NotRun/Unreachable when the message was never handed to a
    /// connection, MayHaveRun/Timeout or ConnectionLost once it may have reached the peer.
    Result<nlohmann::json> call(const HostAddress& peer, const PeerMessage& message, Milliseconds timeout);

    /// As call(), but over a new connection that is closed afterwards.
    Result<nlohmann::json> callFresh(const HostAddress& peer, const PeerMessage& message, Milliseconds timeout);

    /// Closes connections that were lost or are unused for @p idle. @return how many stay open.
    std::size_t closeIdle(Milliseconds idle);

    /// Bytes sent and received so far in messages other than Forward.
    std::uint64_t controlBytes() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
