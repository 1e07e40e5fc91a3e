#pragma once

#include "kumquatbank/engine/Async.h"

namespace kumquatbank {

/// Lets one coroutine wait until another one calls wake(), or until a point in time.
class AutoResetEvent {
public:
    explicit AutoResetEvent(asio::io_context& io)
        : m_timer(io)
    {
    }

    /// True if wake() was called, also before the wait; false if @p deadline passed first.
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
