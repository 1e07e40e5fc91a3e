#pragma once

#include "kumquatbank/engine/Async.h"

#include <chrono>
#include <string>
#include <string_view>

namespace kumquatbank {

/// How an operation on a channel ended.
enum class ChannelStatus {
    Ok,
    Closed, ///< The other end closed or the connection broke.
    TimedOut,
    TooLong, ///< A line exceeded the channel's limit.
};

/// A TCP connection that carries lines ended by CR LF (a bare LF is accepted). One coroutine reads and one writes.
class LineChannel {
public:
    /// @p maxLineBytes: a longer line ends reading with TooLong.
    LineChannel(asio::ip::tcp::socket socket, std::size_t maxLineBytes);

    /// Connects within @p timeout. Data that the other end leaves unacknowledged for @p peerTimeout breaks the connection.
    static Task<std::optional<LineChannel>> connect(asio::io_context& io, HostAddress address, std::size_t maxLineBytes,
        std::chrono::milliseconds timeout, std::chrono::milliseconds peerTimeout);

    /// Next line without its end, valid until the next call.
    Task<ChannelStatus> readLine(std::string_view& line, BootTime deadline);

    /// Sends all of @p data. A channel that failed once stays closed.
    Task<ChannelStatus> write(std::string_view data, BootTime deadline);

    /// True once the other end has closed, without waiting. Bytes that have arrived are kept.
    bool isClosedByPeer();
    bool hasBufferedInput() const { return m_begin < m_end; }

    /// Ends the sending direction after what was written, so that the other end reads it before the close.
    void shutdownSend();
    void close();
    bool isOpen() const { return m_socket.is_open(); }

    /// Detects a silent other end by keep-alive probes and by unacknowledged data.
    static void enableDeadPeerDetection(asio::ip::tcp::socket& socket, std::chrono::milliseconds peerTimeout);

private:
    bool extractLine(std::string_view& line);
    void reserveReadSpace();

    asio::ip::tcp::socket m_socket;
    std::size_t m_maxLineBytes;
    std::string m_readBuffer;
    std::size_t m_begin = 0;
    std::size_t m_scanEnd = 0; ///< Input before this offset holds no line end.
    std::size_t m_end = 0;
};

} // namespace kumquatbank
