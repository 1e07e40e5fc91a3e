#include "LenderLink.h"

#include "ConnectionRequest.h"
#include "kumquatbank/engine/EventLog.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds connectTimeout { 250 };
    /// A lender grants, refuses or queues a request well within this time, even from another region.
    constexpr milliseconds firstReplyTimeout { 250 };
    /// Extra time for the final reply of a queued request, on top of its maximum wait.
    constexpr milliseconds queuedReplyMargin { 100 };
    /// The channel is closed if the lender leaves sent data unacknowledged for this long.
    constexpr milliseconds unacknowledgedDataTimeout { 3000 };
    constexpr milliseconds returnTimeout { 1000 };
    /// A lender receives no requests for this time after it left one unanswered.
    constexpr milliseconds unavailablePause { 1000 };
    /// Exceeds the number of concurrent loans that one host has from one lender during a burst.
    constexpr std::size_t maxIdleChannels = 16;

} // namespace

std::string_view loanOutcomeName(LoanOutcome outcome)
{
    constexpr std::array<std::string_view, 4> names { "granted", "refused", "unavailable", "unreachable" };
    return names.at(static_cast<std::size_t>(outcome));
}

LenderLink::LenderLink(asio::io_context& io, std::string host, HostAddress address)
    : m_io(io)
    , m_host(std::move(host))
    , m_address(std::move(address))
{
}

void LenderLink::markUnavailable(std::string_view reason)
{
    m_unusableUntil = BootClock::now() + unavailablePause;
    m_idleChannels.clear();
    if (m_isLost)
        return;
    m_isLost = true;
    m_lostSince = BootClock::now();
    EventLog::warn("lender_lost", { { "lender", m_host }, { "address", m_address.toString() }, { "reason", reason } });
}

void LenderLink::recordFailure(std::string_view description)
{
    EventLog::warn("loan_failure", { { "lender", m_host }, { "what", description } });
}

Task<std::optional<LineChannel>> LenderLink::openChannel(bool mayReuse)
{
    while (mayReuse && !m_idleChannels.empty()) {
        auto channel = std::move(m_idleChannels.back());
        m_idleChannels.pop_back();
        if (!channel.isClosedByPeer())
            co_return channel;
    }
    co_return co_await LineChannel::connect(m_io, m_address, WireDialect::maxMessageBytes, connectTimeout, unacknowledgedDataTimeout);
}

Task<LenderLink::LoanResponse> LenderLink::exchangeRequest(std::optional<LineChannel> channel, std::string request, BootTime queueDeadline, DisconnectWatch* sender)
{
    LoanResponse response;
    const auto firstReplyDeadline = BootClock::now() + firstReplyTimeout;
    if (!channel)
        co_return response;
    auto status = co_await channel->write(request, firstReplyDeadline);
    std::string_view line;
    if (status == ChannelStatus::Ok)
        status = co_await channel->readLine(line, firstReplyDeadline);
    if (status != ChannelStatus::Ok)
        co_return response;
    response.reply = LoanMessage::parseReply(line);
    if (response.reply.kind == LoanReply::Kind::Queued) {
        // The lender takes the end of the channel for the end of the request.
        if (sender != nullptr)
            sender->start([&channel] { channel->close(); });
        status = co_await channel->readLine(line, queueDeadline + queuedReplyMargin);
        if (sender != nullptr)
            sender->stop();
        if (status != ChannelStatus::Ok)
            co_return response;
        response.reply = LoanMessage::parseReply(line);
    }
    if (response.reply.kind != LoanReply::Kind::Unreadable)
        response.channel = std::move(channel);
    co_return response;
}

Task<LoanResult> LenderLink::requestLoan(LoanRequest request, BootTime queueDeadline, DisconnectWatch* sender)
{
    const auto keepAlive = shared_from_this();
    const auto line = LoanMessage::formatRequest(request);
    const bool hadIdleChannel = !m_idleChannels.empty();
    auto channel = co_await openChannel(true);
    auto response = co_await exchangeRequest(std::move(channel), line, queueDeadline, sender);
    // An idle channel may have been closed unnoticed. A new channel shows whether the lender is available.
    if (!response.channel && hadIdleChannel && response.reply.kind != LoanReply::Kind::Queued) {
        channel = co_await openChannel(false);
        response = co_await exchangeRequest(std::move(channel), line, queueDeadline, sender);
    }
    LoanResult result;
    if (!response.channel && sender != nullptr && sender->hasDisconnected()) {
        result.outcome = LoanOutcome::Refused;
        result.reason = disconnectedReason;
        co_return result;
    }
    if (!response.channel) {
        markUnavailable("no answer");
        co_return result;
    }
    if (m_isLost)
        EventLog::info("lender_regained", { { "lender", m_host }, { "away_ms", toMs(BootClock::now() - m_lostSince) } });
    m_isLost = false;
    if (response.reply.kind == LoanReply::Kind::Granted) {
        result.outcome = LoanOutcome::Granted;
        result.endpoint = response.reply.endpoint;
        result.sample = std::move(response.reply.sample);
        result.connection = std::make_unique<DatabaseConnection>(std::move(*response.channel), request.account);
        co_return result;
    }
    if (response.reply.kind == LoanReply::Kind::Leaving) {
        markUnavailable("leaving");
        co_return result;
    }
    if (m_idleChannels.size() < maxIdleChannels)
        m_idleChannels.push_back(std::move(*response.channel));
    result.outcome = response.reply.kind == LoanReply::Kind::Unreachable ? LoanOutcome::Unreachable : LoanOutcome::Refused;
    result.retryAfter = response.reply.retryAfter;
    result.reason = std::move(response.reply.reason);
    co_return result;
}

void LenderLink::returnLoan(std::unique_ptr<DatabaseConnection> connection)
{
    // A connection with pending replies or in doubt is closed; the lender then closes its connection to the endpoint as well.
    if (connection->isReusable() || connection->needsCleanUp())
        asio::co_spawn(m_io, sendReturn(connection->releaseChannel()), asio::detached);
}

Task<void> LenderLink::sendReturn(LineChannel channel)
{
    const auto keepAlive = shared_from_this();
    const auto line = std::string(LoanMessage::loanReturn) + "\r\n";
    const auto status = co_await channel.write(line, BootClock::now() + returnTimeout);
    if (status == ChannelStatus::Ok && m_idleChannels.size() < maxIdleChannels)
        m_idleChannels.push_back(std::move(channel));
}

} // namespace kumquatbank
