#pragma once

#include <cstdint>
#include <mutex>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace kumquatbank {

/// spdlog sink that buffers formatted lines up to a size limit and writes them to standard output without blocking.
class BoundedSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /// Writes as much as standard output accepts without blocking. Returns true if the buffer is empty afterwards.
    bool drain();
    std::uint64_t dropped() const { return m_droppedLines; }
    void countDroppedLine() { ++m_droppedLines; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override { drain(); }

private:
    std::string m_buf;
    std::size_t m_writtenBytes = 0;
    std::uint64_t m_droppedLines = 0;
};

} // namespace kumquatbank
