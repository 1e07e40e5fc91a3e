#pragma once

#include "kumquatbank/engine/Async.h"
#include "kumquatbank/engine/MemoryBudget.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Result of an operation on a channel.
enum class ChannelStatus {
    Ok,
    Closed, ///< The remote end closed the connection, or the connection failed.
    TimedOut,
    TooLong, ///< A line exceeded the channel's length limit.
    Incomplete, ///< A line had begun, and its end did not arrive within messageTimeout.
};

/// State of the remote end of a channel.
enum class PeerState {
    Open, ///< There is no unread input.
    HasInput,
    Ended, ///< It sends nothing more: it has closed the connection, or only its sending direction.
    Reset, ///< The connection has failed.
};

/// A TCP connection that carries lines terminated by CR LF (a bare LF is accepted). At most one coroutine may read and
/// one may write at the same time.
class LineChannel {
public:
    /// From the first byte of a line to its end. A proper client sends at most 1 MiB at once, which takes 9 s at 1 Mbit/s.
    static constexpr std::chrono::milliseconds messageTimeout { 30'000 };

    /// @param maxLineBytes  readLine() returns TooLong for a longer line.
    LineChannel(asio::ip::tcp::socket socket, std::size_t maxLineBytes);

    /// Counts the channel's memory for @p holder, which must outlive the channel. Without a holder, its input counts as an
    /// answer of another component, and its output must be counted by the caller.
    void setMemoryHolder(MemoryHolder& holder) { m_inputHold = MemoryHold(&holder); }

    /// Connects within @p timeout; returns an empty value on failure. The connection later fails if the remote end
    /// leaves data unacknowledged for @p peerTimeout.
    static Task<std::optional<LineChannel>> connect(asio::io_context& io, HostAddress address, std::size_t maxLineBytes,
        std::chrono::milliseconds timeout, std::chrono::milliseconds peerTimeout);

    /// Reads the next line, without its terminator, into @p line. The view is valid until the next call. Reads nothing from
    /// the socket while there is no room in the memory budget.
    Task<ChannelStatus> readLine(std::string_view& line, BootTime deadline);

    /// When the line that has been received in part began; empty if there is none.
    std::optional<BootTime> lineBegunAt() const { return m_lineEndsBy == BootTime::max() ? std::nullopt : std::optional(m_lineEndsBy - messageTimeout); }
    /// Frees the memory of a long line. Views of lines become invalid.
    void releaseSpareInput();

    /// Reads the next line if it has already arrived. Must not be called while readLine() is suspended.
    bool tryReadLine(std::string_view& line);

    /// Sends all of @p data. A failure closes the channel permanently.
    Task<ChannelStatus> write(std::string_view data, BootTime deadline);

    /// Sends @p data if the send buffer takes all of it; otherwise the channel is closed and false is returned.
    bool tryWrite(std::string_view data);

    /// Returns whether the remote end has closed the connection. Does not block and consumes no received data.
    bool isClosedByPeer();
    /// Returns whether the connection is open and has no input that was not read. Does not block and consumes nothing.
    bool isQuiet();
    /// Returns the state of the remote end; an end is noticed behind unread input as well. Does not block.
    PeerState peerState();
    /// Calls @p handler once there is input in the socket or the remote end has ended; with false if the wait was cancelled.
    void notifyOfInput(std::function<void(bool)> handler);
    /// The event loop that the channel runs on.
    asio::io_context& io() { return static_cast<asio::io_context&>(m_socket.get_executor().context()); }
    bool hasBufferedInput() const { return m_begin < m_end; }
    /// Returns whether there is received data, buffered here or still in the socket.
    bool hasInput() const;

    /// Shuts down the sending direction, so that the remote end receives all written data before the close.
    void shutdownSend();
    void close();
    bool isOpen() const { return m_socket.is_open(); }
    /// Returns the address of this end; empty if the channel is closed.
    HostAddress localAddress() const;

    /// Makes the connection fail if the remote end stops responding, by TCP keep-alive probes and a limit on the time
    /// that sent data may stay unacknowledged (TCP_USER_TIMEOUT). Also disables Nagle's algorithm.
    static void enableDeadPeerDetection(asio::ip::tcp::socket& socket, std::chrono::milliseconds peerTimeout);

private:
    bool extractLine(std::string_view& line);
    /// Returns false if the memory budget has no room for a larger buffer.
    bool reserveReadSpace();

    asio::ip::tcp::socket m_socket;
    std::size_t m_maxLineBytes;
    std::string m_readBuffer;
    std::size_t m_begin = 0;
    std::size_t m_scanEnd = 0; ///< Unread input before this offset contains no line terminator.
    std::size_t m_end = 0;
    MemoryHold m_inputHold; ///< Of the buffer beyond its initial size.
    BootTime m_lineEndsBy = BootTime::max(); ///< Set while a part of a line has been received.
};

} // namespace kumquatbank
