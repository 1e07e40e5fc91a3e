#pragma once

#include "kumquatbank/core/core.h"

#include <memory>
#include <optional>
#include <string>

namespace kumquatbank::standin {

/// A TCP socket that carries one text line per message. Reading and writing may happen on different threads,
/// each on one thread at a time; shutdown() may be called from any thread.
class LineSocket {
public:
    /// Takes ownership of a connected socket.
    explicit LineSocket(int fd);
    ~LineSocket();
    LineSocket(const LineSocket&) = delete;
    LineSocket& operator=(const LineSocket&) = delete;

    /// Connects; null when the address does not accept within @p timeout.
    static std::unique_ptr<LineSocket> connect(const HostAddress& address, Milliseconds timeout);

    /// Next line without its newline; empty at the end of the stream or, if given, after @p timeout.
    std::optional<std::string> readLine(std::optional<Milliseconds> timeout = std::nullopt);

    /// Writes the line and a newline. False when the connection is broken.
    bool writeLine(const std::string& line);

    /// Ends the stream in both directions and wakes blocked calls. The descriptor stays valid.
    void shutdown();

    std::string remoteAddress() const; ///< "ip:port"; empty when not connected.

private:
    const int m_fd;
    std::string m_buffer;
    std::size_t m_searched = 0; ///< Prefix of m_buffer known to hold no newline.
};

} // namespace kumquatbank::standin
