#pragma once

#include "PeerFrame.h"
#include "kumquatbank/core/core.h"

#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace kumquatbank {

/// One connection to a peer, which carries any number of calls at a time. Thread-safe.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    /// Starts to connect. Another thread runs @p io, which must outlive the link.
    static std::shared_ptr<PeerLink> open(asio::io_context& io, const HostAddress& peer);

    PeerLink(asio::io_context& io, const HostAddress& peer);

    /// Sends @p request and waits for the response; never sends it twice. NotRun if it was not sent by @p deadline.
    Result<PeerBytes> call(PeerBytes request, const Deadline& deadline);

    /// False once the connection was lost, could not be made, or hangs; a new link is needed then.
    bool isUsable() const;
    /// True if no call is in progress and none was for @p time.
    bool isIdleFor(Milliseconds time) const;

    /// Ends the connection; calls in progress fail.
    void close();

private:
    struct Call {
        PeerBytes request;
        std::optional<PeerBytes> response;
        bool isSent = false; ///< It may have reached the peer.
    };

    asio::awaitable<void> connect();
    asio::awaitable<void> writeRequests();
    asio::awaitable<void> readResponses();
    /// The next request to send, which counts as sent from now on.
    std::optional<PeerFrame> takeRequest();
    void deliver(PeerFrame response);
    void lose(const std::string& reason);

    asio::io_context& m_io;
    const HostAddress m_peer;
    // Used by the thread that runs m_io.
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_connectLimit;
    asio::steady_timer m_wake; ///< Cancelled when there is a request to send.

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::uint64_t, Call> m_calls;
    std::deque<std::uint64_t> m_unsent;
    std::uint64_t m_lastCall = 0;
    std::string m_lossReason; ///< Empty while the link is usable.
    TimePoint m_lastUsed = Clock::now();
    TimePoint m_lastResponse = Clock::now();
};

} // namespace kumquatbank
