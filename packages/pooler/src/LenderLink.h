#pragma once

#include "DatabaseConnection.h"
#include "LoanMessage.h"

#include <memory>
#include <vector>

namespace kumquatbank {

/// How a request for a loan ended.
enum class LoanOutcome {
    Granted,
    Refused, ///< By the lender's queue.
    Unavailable, ///< The lender is leaving or did not answer; nothing ran.
    Unreachable, ///< The lender reaches no endpoint that may serve the request.
};

std::string_view loanOutcomeName(LoanOutcome outcome);

/// Result of LenderLink::requestLoan().
struct LoanResult {
    LoanOutcome outcome = LoanOutcome::Unavailable;
    std::string endpoint; ///< Granted.
    std::unique_ptr<DatabaseConnection> connection; ///< Granted: speaks to the endpoint through the lender.
    std::optional<PositionSample> sample; ///< Granted.
    std::chrono::milliseconds retryAfter { 0 }; ///< Refused.
    std::string reason; ///< Refused.
};

/// The way to one lender: its idle channels, and whether it answers.
class LenderLink : public std::enable_shared_from_this<LenderLink> {
public:
    LenderLink(asio::io_context& io, std::string host, HostAddress address);

    const std::string& host() const { return m_host; }
    const HostAddress& address() const { return m_address; }
    /// False for a while after the lender did not answer.
    bool isUsable() const { return BootClock::now() >= m_unusableUntil; }

    /// Asks for a connection and waits in the lender's queue until @p queueDeadline.
    Task<LoanResult> requestLoan(LoanRequest request, BootTime queueDeadline);

    /// Ends a loan.
    void returnLoan(std::unique_ptr<DatabaseConnection> connection);

    /// Records that a connection on loan gave no answer, which may be the lender's fault or the endpoint's.
    void recordFailure(std::string_view description);

private:
    struct LoanResponse {
        std::optional<LineChannel> channel; ///< Empty if the lender did not answer.
        LoanReply reply;
    };

    Task<std::optional<LineChannel>> openChannel(bool mayReuse);
    Task<LoanResponse> exchangeRequest(std::optional<LineChannel> channel, std::string request, BootTime queueDeadline);
    Task<void> sendReturn(LineChannel channel);
    void markUnavailable(std::string_view reason);

    asio::io_context& m_io;
    const std::string m_host;
    const HostAddress m_address;
    std::vector<LineChannel> m_idleChannels;
    BootTime m_unusableUntil {};
    bool m_isLost = false;
    BootTime m_lostSince {};
};

} // namespace kumquatbank
