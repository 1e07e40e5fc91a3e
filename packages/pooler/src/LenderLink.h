#pragma once

#include "DatabaseConnection.h"
#include "LoanMessage.h"
#include "kumquatbank/engine/DisconnectWatch.h"

#include <memory>
#include <vector>

namespace kumquatbank {

/// Outcome of a loan request.
enum class LoanOutcome {
    Granted,
    Refused, ///< The lender's queue refused the request.
    Unavailable, ///< The lender is shutting down or did not respond; no statement has run.
    Unreachable, ///< The lender can reach no endpoint that may serve the request.
};

std::string_view loanOutcomeName(LoanOutcome outcome);

/// Result of LenderLink::requestLoan().
struct LoanResult {
    LoanOutcome outcome = LoanOutcome::Unavailable;
    std::string endpoint; ///< Set if granted.
    std::unique_ptr<DatabaseConnection> connection; ///< Set if granted: relays to the endpoint through the lender.
    std::optional<PositionSample> sample; ///< Set if granted.
    std::chrono::milliseconds retryAfter { 0 }; ///< Set if refused.
    std::string reason; ///< Set if refused.
};

/// Connection to one lender: its idle channels and its availability.
class LenderLink : public std::enable_shared_from_this<LenderLink> {
public:
    LenderLink(asio::io_context& io, std::string host, HostAddress address);

    const std::string& host() const { return m_host; }
    const HostAddress& address() const { return m_address; }
    /// Returns false for a fixed pause after the lender did not respond or reported that it is shutting down.
    bool isUsable() const { return BootClock::now() >= m_unusableUntil; }

    /// Requests a connection and waits in the lender's queue until @p queueDeadline. Leaves the queue if @p sender (which
    /// may be null) notices that the client has disconnected.
    Task<LoanResult> requestLoan(LoanRequest request, BootTime queueDeadline, DisconnectWatch* sender);

    /// Ends a loan and returns its connection to the lender.
    void returnLoan(std::unique_ptr<DatabaseConnection> connection);

    /// Logs that a borrowed connection gave no answer. The cause may be the lender or the endpoint.
    void recordFailure(std::string_view description);

private:
    struct LoanResponse {
        std::optional<LineChannel> channel; ///< Empty if the lender did not respond.
        LoanReply reply;
    };

    Task<std::optional<LineChannel>> openChannel(bool mayReuse);
    Task<LoanResponse> exchangeRequest(std::optional<LineChannel> channel, std::string request, BootTime queueDeadline, DisconnectWatch* sender);
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
