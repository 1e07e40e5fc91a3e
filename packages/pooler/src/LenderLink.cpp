#include "LenderLink.h"

#include "kumquatbank/engine/EventLog.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds connectTimeout { 250 };
    /// A lender grants, refuses or queues a request well within this time, also in another region.
    constexpr milliseconds firstReplyTimeout { 250 };
    /// For the last reply of a request that was queued, beyond the time that it waits.
    constexpr milliseconds replyMargin { 100 };
    /// Data that the lender leaves unacknowledged for this long breaks the channel.
    constexpr milliseconds silenceLimit { 3000 };
    constexpr milliseconds returnTimeout { 1000 };
    /// No request goes to a lender for this time after one that it did not answer.
    constexpr milliseconds lostPause { 1000 };
    /// More channels than one host has loans from one lender at a time in a burst.
    constexpr std::size_t maxIdle = 16;

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

void LenderLink::noteUnavailable(std::string_view reason)
{
    m_unusableUntil = BootClock::now() + lostPause;
    m_idle.clear();
    if (m_isLost)
        return;
    m_isLost = true;
    m_lostSince = BootClock::now();
    EventLog::warn("lender_lost", { { "lender", m_host }, { "address", m_address.toString() }, { "reason", reason } });
}

void LenderLink::noteFailure(std::string_view what)
{
    EventLog::warn("loan_failure", { { "lender", m_host }, { "what", what } });
}

Task<std::optional<LineChannel>> LenderLink::openChannel(bool mayReuse)
{
    while (mayReuse && !m_idle.empty()) {
        auto channel = std::move(m_idle.back());
        m_idle.pop_back();
        if (!channel.hasClosed())
            co_return channel;
    }
    co_return co_await LineChannel::connect(m_io, m_address, WireDialect::maxMessageBytes, connectTimeout, silenceLimit);
}

Task<LenderLink::Asked> LenderLink::askOver(std::optional<LineChannel> channel, std::string request, BootTime giveUpAt)
{
    Asked asked;
    const auto firstUntil = BootClock::now() + firstReplyTimeout;
    if (!channel)
        co_return asked;
    auto status = co_await channel->write(request, firstUntil);
    std::string_view line;
    if (status == ChannelStatus::Ok)
        status = co_await channel->readLine(line, firstUntil);
    if (status != ChannelStatus::Ok)
        co_return asked;
    asked.reply = LoanMessage::parseReply(line);
    if (asked.reply.kind == LoanReply::Kind::Queued) {
        status = co_await channel->readLine(line, giveUpAt + replyMargin);
        if (status != ChannelStatus::Ok)
            co_return asked;
        asked.reply = LoanMessage::parseReply(line);
    }
    if (asked.reply.kind != LoanReply::Kind::Unreadable)
        asked.channel = std::move(channel);
    co_return asked;
}

Task<LoanResult> LenderLink::ask(LoanRequest request, BootTime giveUpAt)
{
    const auto keep = shared_from_this();
    const auto line = LoanMessage::formatRequest(request);
    const bool hadIdle = !m_idle.empty();
    auto channel = co_await openChannel(true);
    auto asked = co_await askOver(std::move(channel), line, giveUpAt);
    // An idle channel may have ended without word; a fresh one tells whether the lender is there.
    if (!asked.channel && hadIdle && asked.reply.kind != LoanReply::Kind::Queued) {
        channel = co_await openChannel(false);
        asked = co_await askOver(std::move(channel), line, giveUpAt);
    }
    LoanResult result;
    if (!asked.channel) {
        noteUnavailable("no answer");
        co_return result;
    }
    if (m_isLost)
        EventLog::info("lender_regained", { { "lender", m_host }, { "away_ms", toMs(BootClock::now() - m_lostSince) } });
    m_isLost = false;
    if (asked.reply.kind == LoanReply::Kind::Granted) {
        result.outcome = LoanOutcome::Granted;
        result.endpoint = asked.reply.endpoint;
        result.sample = std::move(asked.reply.sample);
        result.connection = std::make_unique<DatabaseConnection>(std::move(*asked.channel));
        co_return result;
    }
    if (asked.reply.kind == LoanReply::Kind::Leaving) {
        noteUnavailable("leaving");
        co_return result;
    }
    if (m_idle.size() < maxIdle)
        m_idle.push_back(std::move(*asked.channel));
    result.outcome = asked.reply.kind == LoanReply::Kind::Unreachable ? LoanOutcome::Unreachable : LoanOutcome::Refused;
    result.retryAfter = asked.reply.retryAfter;
    result.reason = std::move(asked.reply.reason);
    co_return result;
}

void LenderLink::takeBack(std::unique_ptr<DatabaseConnection> connection)
{
    // A connection that owes an answer is closed, and the lender closes its own.
    if (connection->isReusable() || connection->owesRollback())
        asio::co_spawn(m_io, sendReturn(connection->release()), asio::detached);
}

Task<void> LenderLink::sendReturn(LineChannel channel)
{
    const auto keep = shared_from_this();
    const auto line = std::string(LoanMessage::giveBack) + "\r\n";
    const auto status = co_await channel.write(line, BootClock::now() + returnTimeout);
    if (status == ChannelStatus::Ok && m_idle.size() < maxIdle)
        m_idle.push_back(std::move(channel));
}

} // namespace kumquatbank
