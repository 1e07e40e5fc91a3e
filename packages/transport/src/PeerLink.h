#pragma once

#include "NngHandles.h"
#include "kumquatbank/core/core.h"

#include <atomic>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

namespace kumquatbank {

/// One REQ socket connected to one peer. Thread-safe: every call has its own context.
class PeerLink {
public:
    /// Starts to connect in the background.
    explicit PeerLink(const HostAddress& peer);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// Sends @p request and waits for the response; never sends it twice.
    Result<NngMessage> call(NngMessage request, const Deadline& deadline);

    /// False once the connection was lost, could not be made, or hangs; a new link is needed then.
    bool isUsable() const;

    TimePoint lastUsed() const { return m_lastUsed.load(); }

private:
    static void onPipeEvent(nng_pipe pipe, nng_pipe_ev event, void* self);
    Result<void> waitUntilConnected(const Deadline& deadline);

    std::string m_peer;
    const TimePoint m_openedAt = Clock::now();
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    std::atomic<bool> m_hasConnected = false;
    std::atomic<bool> m_isLost = false;
    std::atomic<TimePoint> m_lastUsed;
    std::atomic<TimePoint> m_lastResponse;
    std::shared_future<int> m_dialed; ///< Result of the dial.
    std::thread m_dialThread;
};

} // namespace kumquatbank
