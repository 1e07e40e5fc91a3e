#include "ConnectionLender.h"

#include "LimitMessage.h"
#include "LimitService.h"
#include "Loan.h"
#include "SessionContext.h"
#include "StatementExchange.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// A channel without a loan for this long is closed; borrowers open a new one when they need it.
    constexpr milliseconds channelIdleTime { 30'000 };
    constexpr milliseconds writeTimeout { 1000 };
    /// Of a RESET before a connection is lent. Covers several round trips between regions.
    constexpr milliseconds resetTimeout { 250 };
    /// Upper bounds on the times that a borrower may request.
    constexpr milliseconds maxWait { 10'000 };
    constexpr milliseconds maxAnswerTimeout { 60'000 };
    /// Of a request for a loan or for limits; statements inside a loan may be longer. Parsed JSON takes up to 80 times its
    /// length, which is not counted in the memory budget. About 3,000 accounts fit into a request for limits.
    constexpr std::size_t maxRequestBytes = 128 << 10;
    /// Suggested retry delay for a borrower if the service is not known on this host yet.
    constexpr milliseconds unknownServiceRetryAfter { 200 };

    Task<bool> send(LineChannel& channel, std::string line)
    {
        co_return co_await channel.write(line, BootClock::now() + writeTimeout) == ChannelStatus::Ok;
    }

    std::string formatQueued() { return LoanMessage::formatReply({ LoanReply::Kind::Queued, {}, {}, milliseconds(0), {} }); }

    std::string formatRefusal(milliseconds retryAfter, std::string_view reason)
    {
        return LoanMessage::formatReply({ LoanReply::Kind::Refused, {}, {}, retryAfter, std::string(reason) });
    }

} // namespace

/// A channel that a borrower has opened.
class ConnectionLender::BorrowerChannel : public MemoryHolder {
public:
    BorrowerChannel(LineChannel opened, ConnectionLender& lender)
        : channel(std::move(opened))
        , m_lender(lender)
    {
        channel.setMemoryHolder(*this);
        m_lender.m_channels.insert(this);
    }
    ~BorrowerChannel() override { m_lender.m_channels.erase(this); }

    BorrowerChannel(const BorrowerChannel&) = delete;
    BorrowerChannel& operator=(const BorrowerChannel&) = delete;

    Phase memoryPhase() const override { return isServed ? Phase::InTransaction : Phase::Waiting; }
    void closeForMemory() override
    {
        m_lender.m_metrics.clientRefused("memory");
        channel.close();
    }

    LineChannel channel;
    bool isServed = false; ///< A request of the borrower is being answered, or it has a connection.
    BootTime waitsSince = BootClock::now();

private:
    ConnectionLender& m_lender;
};

bool ConnectionLender::makeRoom()
{
    const auto isOpen = [](const BorrowerChannel* borrower) { return borrower->channel.isOpen(); };
    if (static_cast<std::size_t>(std::ranges::count_if(m_channels, isOpen)) < m_channelLimit)
        return true;
    m_metrics.clientRefused("descriptors");
    const auto longest = std::ranges::min_element(m_channels, {}, [&](const BorrowerChannel* borrower) { return std::tuple(!isOpen(borrower), borrower->isServed, borrower->waitsSince); });
    if (longest == m_channels.end() || !isOpen(*longest) || (*longest)->isServed)
        return false;
    (*longest)->channel.close();
    return true;
}

ConnectionLender::ConnectionLender(ServiceRegistry& registry, LimitService& limits, PoolerMetrics& metrics)
    : m_registry(registry)
    , m_limits(limits)
    , m_metrics(metrics)
{
}

void ConnectionLender::closeUnusableLoans()
{
    for (auto* const loan : m_loans)
        loan->closeIfUnusable();
}

Task<void> ConnectionLender::serve(LineChannel opened)
{
    if (!makeRoom())
        co_return;
    BorrowerChannel borrower(std::move(opened), *this);
    auto& channel = borrower.channel;
    std::string_view line;
    auto status = ChannelStatus::Ok;
    while ((status = co_await channel.readLine(line, BootClock::now() + channelIdleTime)) == ChannelStatus::Ok) {
        if (line.size() > maxRequestBytes) {
            status = ChannelStatus::TooLong;
            break;
        }
        if (LimitMessage::isRequest(line)) {
            const auto reply = m_limits.answer(line);
            if (!reply.empty()) {
                if (!co_await send(channel, reply))
                    break;
                borrower.waitsSince = BootClock::now();
                continue;
            }
        }
        auto loanRequest = LoanMessage::parseRequest(line);
        if (!loanRequest) {
            EventLog::warn("loan_request_unreadable", { { "bytes", line.size() } });
            break;
        }
        borrower.isServed = true;
        if (!co_await lend(channel, std::move(*loanRequest)))
            break;
        borrower.isServed = false;
        borrower.waitsSince = BootClock::now();
    }
    if (status == ChannelStatus::TooLong || status == ChannelStatus::Incomplete)
        m_metrics.clientRefused(status == ChannelStatus::TooLong ? "too_long" : "incomplete");
    channel.close();
}

Task<tl::expected<ConnectionLease, AcquireFailure>> ConnectionLender::acquireReset(LineChannel& channel, std::shared_ptr<DatabaseService> service, ConnectionRequest request, bool isAnnounced)
{
    const SessionState noSession;
    const std::string noRequest;
    while (true) {
        auto lease = co_await service->acquireOwn(request, noSession);
        if (!lease || !lease->connection().state().needsReset(noSession))
            co_return lease;
        if (!std::exchange(isAnnounced, true)) {
            const auto queued = formatQueued();
            co_await send(channel, queued); // A channel that is lost fails with the final reply as well.
        }
        // Before the first statement of the borrower is sent: a RESET sent with it may be refused alone.
        const auto status = co_await replaySession(*lease, noSession, noRequest, std::min<BootTime>(BootClock::now() + resetTimeout, request.permit.queueDeadline));
        if (status == ExchangeStatus::Ok)
            co_return lease;
        if (BootClock::now() >= request.permit.queueDeadline)
            co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, "no connection could be reset in time", RetryPolicy::defaultRetryAfter });
    }
}

Task<bool> ConnectionLender::lend(LineChannel& channel, LoanRequest loanRequest)
{
    // Each line is built in a local variable, because g++ 12 destroys temporaries of an awaited call twice.
    if (m_stop) {
        const auto leaving = LoanMessage::formatReply({ LoanReply::Kind::Leaving, {}, {}, milliseconds(0), {} });
        co_return co_await send(channel, leaving);
    }
    const auto service = m_registry.find(loanRequest.service);
    if (!service) {
        const auto refused = formatRefusal(unknownServiceRetryAfter, "no endpoint of the service is known");
        co_return co_await send(channel, refused);
    }
    service->recordLoanRequest();
    const auto now = BootClock::now();
    ConnectionRequest request;
    request.permit.account = loanRequest.account;
    if (const auto config = m_registry.config())
        request.permit.accountWeight = config->accountWeight(loanRequest.account);
    request.account = std::move(loanRequest.account);
    request.permit.eligibility = loanRequest.eligibility;
    request.permit.priority = loanRequest.priority;
    request.permit.queueDeadline = now + std::clamp(loanRequest.maxWait, milliseconds(0), maxWait);
    request.permit.excluded = std::move(loanRequest.excluded);
    request.permit.isRepeatable = loanRequest.isRepeatable;
    request.deadline = request.permit.queueDeadline;
    if (loanRequest.maxStaleness) {
        request.freshness = ReadFreshness { *loanRequest.maxStaleness, {} };
        request.permit.excluded.merge(service->laggingEndpoints());
    }
    if (!loanRequest.waitsForEndpoint && !service->canServe(request)) {
        EventLog::info("loan_unreachable", { { "service", loanRequest.service }, { "primary", service->lastPrimary() }, { "is_read", loanRequest.maxStaleness.has_value() } });
        const auto unreachable = LoanMessage::formatReply({ LoanReply::Kind::Unreachable, {}, {}, milliseconds(0), {} });
        co_return co_await send(channel, unreachable);
    }
    // The borrower treats a lender as lost if no reply arrives within its first reply time-out, and the wait in the
    // queue may be longer than that.
    const bool mayWait = service->mayWait(request);
    if (mayWait) {
        const auto queued = formatQueued();
        if (!co_await send(channel, queued))
            co_return false;
    }
    const auto charge = request.permit.charge();
    DisconnectWatch borrower(channel, milliseconds(0));
    request.sender = &borrower;
    auto lease = co_await acquireReset(channel, service, std::move(request), mayWait);
    m_metrics.loanAnswered(loanRequest.service, lease.has_value());
    if (!lease) {
        EventLog::warn("loan_refused", { { "service", loanRequest.service }, { "priority", loanRequest.priority }, { "account", charge.account }, { "over_share", service->scheduler().isOverShare(charge) }, { "reason", lease.error().reason }, { "waited_ms", toMs(BootClock::now() - now) }, { "waiting", service->scheduler().waiting() } });
        const auto refused = formatRefusal(lease.error().retryAfter, lease.error().reason);
        co_return co_await send(channel, refused);
    }
    const auto granted = LoanMessage::formatReply({ LoanReply::Kind::Granted, lease->endpointId(), service->newestSample(now), milliseconds(0), {} });
    if (!co_await send(channel, granted))
        co_return false;
    Loan loan(std::move(*lease), channel, std::clamp(loanRequest.answerTimeout, milliseconds(0), maxAnswerTimeout), m_stop);
    m_loans.insert(&loan);
    const auto end = co_await loan.run();
    m_loans.erase(&loan);
    co_return end == Loan::End::Returned;
}

} // namespace kumquatbank
