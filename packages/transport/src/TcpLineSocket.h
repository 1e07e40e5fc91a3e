#pragma once

#include "kumquatbank/core/core.h"

#include <string>
#include <string_view>

namespace kumquatbank {

/// Outcome of one operation on a TcpLineSocket.
enum class SocketStatus {
    Done,
    Timeout,
    Closed, ///< The peer closed the connection, or the system reported an error.
    TooLong, ///< The line exceeds TcpLineSocket::maxLineBytes.
};

/// Non-blocking TCP connection that sends and receives lines; every wait ends at a deadline.
/// Not thread-safe. Closes the connection when destroyed.
class TcpLineSocket {
public:
    /// Longest line accepted, in bytes: well above the 1 MB statements and values of the design.
    static constexpr std::size_t maxLineBytes = 16 * 1024 * 1024;

    /// Connects; NotRun/Unreachable or NotRun/Timeout on failure.
    static Result<TcpLineSocket> connect(const HostAddress& address, const Deadline& deadline);

    TcpLineSocket(TcpLineSocket&& other) noexcept;
    TcpLineSocket& operator=(TcpLineSocket&& other) noexcept;
    ~TcpLineSocket();

    /// True when nothing has arrived since the last line and the peer has not closed the connection.
    bool isQuiet() const;

    /// Sends all of @p data; @p sentBytes tells how much was handed to the system, also on failure.
    SocketStatus sendAll(std::string_view data, const Deadline& deadline, std::size_t& sentBytes);

    /// Reads up to the next newline, which is not part of @p line.
    SocketStatus readLine(std::string& line, const Deadline& deadline);

private:
    explicit TcpLineSocket(int fd);

    int m_fd = -1;
    std::string m_received; ///< Bytes after the last returned line.
};

} // namespace kumquatbank
