#pragma once

#include "Claim.h"
#include "Endpoint.h"
#include "FailoverGap.h"
#include "Promotion.h"
#include "ReadRouter.h"
#include "TransactionTable.h"
#include "WriteConfirmation.h"

#include <atomic>

namespace kumquatbank {

/// The shared objects of one DatabaseGroup. Each is thread-safe on its own; Promotion is used only by the
/// GroupSupervisor's thread.
struct GroupContext {
    GroupContext(DatabaseDefinition groupDefinition, DatabaseGroupOptions groupOptions, CauseLedger& ledger);

    std::vector<EndpointControl*> controls() const;

    /// Waits until this process holds the group. Reads are also allowed while no process can hold it. Returns
    /// NotRun/NotHolder with the known holder otherwise, or NotRun/Unavailable when no majority of slots is reachable.
    Result<void> waitForClaim(bool isRead, const Deadline& deadline, RequestTrace& trace);

    /// Waits for a primary of at least @p minimumTerm that can run and confirm writes. NotRun/NotHolder,
    /// or NotRun/Unavailable at the deadline and at once when a majority of slots is down.
    Result<PrimaryView> waitForPrimary(Term minimumTerm, const Deadline& deadline, RequestTrace& trace);

    /// Waits until the change that the primary answered with @p reply is confirmed, and returns its position.
    /// MayHaveRun when the change is not confirmed before the deadline. @p sentAt is the sending time of the request.
    Result<LogPosition> confirmChange(const nlohmann::json& reply, const PrimaryView& primary, TimePoint sentAt,
        const Deadline& deadline, RequestTrace& trace);

    const DatabaseDefinition definition;
    const DatabaseGroupOptions options;
    CauseLedger& causes;
    GroupView view;
    ClaimNumber claimNumber { 0 };
    Endpoints endpoints;
    Claim claim;
    Promotion promotion;
    ReadRouter router;
    WriteConfirmation confirmation;
    TransactionTable transactions;
    EntryLimiter limiter;
    FailoverGap failoverGap;
    std::atomic<int> writesInFlight { 0 }; ///< Writes sent to a primary and not yet confirmed.

private:
    Endpoints makeEndpoints();
    std::vector<HostAddress> addresses() const;
    void onClaimChange(bool isActive);
    tl::unexpected<Failure> notHolder() const;
};

/// Counts a write as in flight for its lifetime.
class InFlightWriteGuard {
public:
    explicit InFlightWriteGuard(GroupContext& parts)
        : m_context(parts)
    {
        ++m_context.writesInFlight;
    }
    ~InFlightWriteGuard() { --m_context.writesInFlight; }
    InFlightWriteGuard(const InFlightWriteGuard&) = delete;
    InFlightWriteGuard& operator=(const InFlightWriteGuard&) = delete;

private:
    GroupContext& m_context;
};

/// Sets the cause of a failure according to its code, unless it already has a cause.
Failure withCause(Failure failure);

/// True for a failure after which the same request may be sent again: its verdict is NotRun, and the connection, the
/// role, the position or the claim caused it rather than the statement or a limit of this process.
bool isRetryable(const Failure& failure);

} // namespace kumquatbank
