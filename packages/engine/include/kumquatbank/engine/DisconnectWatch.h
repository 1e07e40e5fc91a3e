#pragma once

#include "kumquatbank/engine/LineChannel.h"

#include <functional>
#include <memory>

namespace kumquatbank {

/// Watches whether the remote end of a channel disconnects while a request of it waits. No line may be read meanwhile.
/// Costs a system call when a watch starts, and nothing while none is active.
class DisconnectWatch {
public:
    /// A remote end that closes only its sending direction cannot be told from one that has closed the connection. An end
    /// that arrived before start(), or within @p halfCloseGrace after it, is therefore taken for that of a client that has
    /// sent its last request and reads the answer; behind unread input within 50 ms more. With a grace of 0, every end is a disconnect. @p channel must outlive this
    /// object.
    DisconnectWatch(LineChannel& channel, std::chrono::milliseconds halfCloseGrace);
    ~DisconnectWatch();

    DisconnectWatch(const DisconnectWatch&) = delete;
    DisconnectWatch& operator=(const DisconnectWatch&) = delete;

    /// Calls @p onDisconnect once if the remote end disconnects before stop(), possibly before this function returns.
    void start(std::function<void()> onDisconnect);
    void stop();
    /// Returns whether a disconnect was noticed.
    bool hasDisconnected() const;

private:
    struct State;
    LineChannel& m_channel;
    const std::chrono::milliseconds m_halfCloseGrace;
    /// Shared with the pending operations, which may outlive this object. Null before the first start(): most sessions have
    /// never waited.
    std::shared_ptr<State> m_state;
};

} // namespace kumquatbank
