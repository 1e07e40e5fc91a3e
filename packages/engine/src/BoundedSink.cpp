#include "BoundedSink.h"

#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace kumquatbank {

namespace {

    /// Holds the lines of a few seconds at the maximum rate. More accumulates only if the reader of standard output
    /// has stalled.
    constexpr std::size_t maxBufferedBytes = 1 << 20;

    /// A pipe that poll() reports as writable accepts at least this many bytes without blocking (POSIX PIPE_BUF on
    /// Linux).
    constexpr std::size_t pipeAtomicBytes = 4096;

    bool isWritable()
    {
        pollfd fd { STDOUT_FILENO, POLLOUT, 0 };
        return poll(&fd, 1, 0) == 1 && (fd.revents & POLLOUT) != 0;
    }

} // namespace

void BoundedSink::sink_it_(const spdlog::details::log_msg& message)
{
    if (m_buf.size() - m_writtenBytes + message.payload.size() > maxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    m_buf.append(message.payload.data(), message.payload.size());
    m_buf.push_back('\n');
}

bool BoundedSink::drain()
{
    while (m_writtenBytes < m_buf.size()) {
        if (!isWritable())
            return false;
        const auto n = ::write(STDOUT_FILENO, m_buf.data() + m_writtenBytes, std::min(m_buf.size() - m_writtenBytes, pipeAtomicBytes));
        if (n < 0 && errno != EINTR)
            return false;
        m_writtenBytes += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    m_buf.clear();
    m_writtenBytes = 0;
    return true;
}

} // namespace kumquatbank
