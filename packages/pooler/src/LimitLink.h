#pragma once

#include "kumquatbank/engine/LineChannel.h"
#include "kumquatbank/routing/LimitMessages.h"

namespace kumquatbank {

/// Connection to one coordinator of limits. Carries one request at a time.
class LimitLink {
public:
    LimitLink(asio::io_context& io, HostAddress address)
        : m_io(io)
        , m_address(std::move(address))
    {
    }

    const HostAddress& address() const { return m_address; }
    bool isBusy() const { return m_isBusy; }

    /// Sends a request; empty if there is no valid reply by @p deadline.
    Task<std::optional<LimitReply>> ask(LimitRequest request, BootTime deadline);

private:
    Task<ChannelStatus> exchange(const std::string& line, std::optional<LimitReply>& reply, BootTime deadline);

    asio::io_context& m_io;
    HostAddress m_address;
    std::optional<LineChannel> m_channel;
    bool m_isBusy = false;
};

} // namespace kumquatbank
