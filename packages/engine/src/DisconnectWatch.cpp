#include "kumquatbank/engine/DisconnectWatch.h"

namespace kumquatbank {

namespace {

    /// Interval of the checks while unread input keeps the socket readable, which hides the end of the input.
    constexpr std::chrono::milliseconds sentAheadInterval { 50 };

} // namespace

struct DisconnectWatch::State : std::enable_shared_from_this<State> {
    State(LineChannel& watched, std::chrono::milliseconds grace)
        : channel(watched)
        , halfCloseGrace(grace)
        , timer(watched.io())
    {
    }

    /// @p unseen: time before now in which an end may have arrived without being noticed.
    void check(std::chrono::milliseconds unseen)
    {
        switch (channel.peerState()) {
        case PeerState::Open:
            if (!std::exchange(isWaitPending, true))
                channel.notifyOfInput([self = shared_from_this()](bool hasInput) { self->resume(hasInput); });
            break;
        case PeerState::HasInput:
            timer.expires_after(sentAheadInterval);
            timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
                if (!ec && self->isActive)
                    self->check(sentAheadInterval);
            });
            break;
        case PeerState::Ended: {
            const bool mayBeHalfClosed = halfCloseGrace.count() > 0 && BootClock::now() - startedAt < halfCloseGrace + unseen;
            if (mayBeHalfClosed)
                isActive = false;
            else
                disconnect();
            break;
        }
        case PeerState::Reset:
            disconnect();
            break;
        }
    }

    void resume(bool hasInput)
    {
        isWaitPending = false;
        if (hasInput && isActive)
            check(std::chrono::milliseconds(0));
    }

    void disconnect()
    {
        isActive = false;
        hasDisconnected = true;
        if (const auto callback = std::exchange(onDisconnect, nullptr))
            callback();
    }

    LineChannel& channel;
    const std::chrono::milliseconds halfCloseGrace;
    BootTimer timer;
    std::function<void()> onDisconnect;
    BootTime startedAt {};
    bool isActive = false;
    bool isWaitPending = false; ///< May outlast a watch; the next one then uses the same wait.
    bool hasDisconnected = false;
};

DisconnectWatch::DisconnectWatch(LineChannel& channel, std::chrono::milliseconds halfCloseGrace)
    : m_channel(channel)
    , m_halfCloseGrace(halfCloseGrace)
{
}

DisconnectWatch::~DisconnectWatch() { stop(); }

void DisconnectWatch::start(std::function<void()> onDisconnect)
{
    if (!m_state)
        m_state = std::make_shared<State>(m_channel, m_halfCloseGrace);
    m_state->onDisconnect = std::move(onDisconnect);
    m_state->startedAt = BootClock::now();
    m_state->isActive = true;
    m_state->check(std::chrono::milliseconds(0));
}

void DisconnectWatch::stop()
{
    if (!m_state)
        return;
    m_state->isActive = false;
    m_state->onDisconnect = nullptr;
    m_state->timer.cancel();
}

bool DisconnectWatch::hasDisconnected() const { return m_state && m_state->hasDisconnected; }

} // namespace kumquatbank
