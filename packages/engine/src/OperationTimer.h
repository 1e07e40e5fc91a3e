#pragma once

#include "kumquatbank/engine/Async.h"

#include <memory>

namespace kumquatbank {

/// Cancels the pending operations of a socket at a deadline, unless the timer is stopped or destroyed before.
class OperationTimer {
public:
    OperationTimer(asio::ip::tcp::socket& socket, BootTime deadline)
        : m_deadline(deadline)
        , m_timer(static_cast<asio::io_context&>(socket.get_executor().context()))
        , m_state(std::make_shared<State>(State { &socket, false }))
    {
        if (deadline == BootTime::max())
            return;
        m_timer.expires_at(deadline);
        m_timer.async_wait([state = m_state](const boost::system::error_code& ec) {
            if (ec || state->socket == nullptr)
                return;
            state->expired = true;
            boost::system::error_code ignored; // Ignored: a socket whose cancel() fails has no pending operation.
            state->socket->cancel(ignored);
        });
    }

    ~OperationTimer() { stop(); }

    OperationTimer(const OperationTimer&) = delete;
    OperationTimer& operator=(const OperationTimer&) = delete;

    void stop()
    {
        m_state->socket = nullptr;
        m_timer.cancel();
    }

    bool hasExpired() const { return m_state->expired; }

private:
    struct State {
        asio::ip::tcp::socket* socket;
        bool expired;
    };

    BootTime m_deadline;
    BootTimer m_timer;
    std::shared_ptr<State> m_state;
};

} // namespace kumquatbank
