#pragma once

#include "kumquatbank/engine/Async.h"

namespace kumquatbank {

/// Event that one coroutine waits for and another one sets. A completed wait resets it.
class AutoResetEvent {
public:
    explicit AutoResetEvent(asio::io_context& io)
        : m_timer(io)
    {
    }

    /// Waits for wake() and returns true; returns at once if wake() was called before the wait. Returns false if
    /// @p deadline passes first.
    Task<bool> wait(BootTime deadline)
    {
        while (!m_isSet && BootClock::now() < deadline) {
            m_timer.expires_at(deadline);
            co_await m_timer.async_wait(asTuple);
        }
        co_return std::exchange(m_isSet, false);
    }

    void wake()
    {
        m_isSet = true;
        m_timer.cancel();
    }

private:
    BootTimer m_timer;
    bool m_isSet = false;
};

} // namespace kumquatbank
