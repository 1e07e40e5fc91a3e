#include "LimitLink.h"

#include "LimitMessage.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Far above the size of a reply that names every account.
    constexpr std::size_t maxLineBytes = 1 << 20;
    /// The channel fails if the coordinator leaves sent data unacknowledged for this long.
    constexpr milliseconds unacknowledgedDataTimeout { 1000 };

} // namespace

Task<ChannelStatus> LimitLink::exchange(const std::string& line, std::optional<LimitReply>& reply, BootTime deadline)
{
    auto status = co_await m_channel->write(line, deadline);
    std::string_view answer;
    if (status == ChannelStatus::Ok)
        status = co_await m_channel->readLine(answer, deadline);
    if (status == ChannelStatus::Ok)
        reply = LimitMessage::parseReply(answer);
    // A late reply must not be taken for the answer to the next request.
    if (!reply)
        m_channel.reset();
    co_return status;
}

Task<std::optional<LimitReply>> LimitLink::ask(LimitRequest request, BootTime deadline)
{
    m_isBusy = true;
    std::optional<LimitReply> reply;
    const auto line = LimitMessage::formatRequest(request);
    const bool hadChannel = m_channel.has_value();
    auto status = ChannelStatus::Closed;
    if (hadChannel)
        status = co_await exchange(line, reply, deadline);
    // The coordinator may have closed an idle channel. A new one shows whether it is available.
    if (!reply && status == ChannelStatus::Closed && BootClock::now() < deadline) {
        const auto timeout = std::chrono::ceil<milliseconds>(deadline - BootClock::now());
        m_channel = co_await LineChannel::connect(m_io, m_address, maxLineBytes, timeout, unacknowledgedDataTimeout);
        if (m_channel)
            co_await exchange(line, reply, deadline);
    }
    m_isBusy = false;
    co_return reply;
}

} // namespace kumquatbank
