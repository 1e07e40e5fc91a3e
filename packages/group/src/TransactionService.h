#pragma once

#include "GroupContext.h"

namespace kumquatbank {

/// Runs the requests of transactions. A transaction keeps its primary connection, its admission ticket and its
/// entry's permit until it ends. Thread-safe.
class TransactionService {
public:
    explicit TransactionService(GroupContext& parts);

    Result<CallerAnswer> begin(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, EntryLimiter::Permit permit, RequestTrace& trace);

    /// Runs a read, write, commit or rollback of the transaction that the request names.
    Result<CallerAnswer> run(const CallerRequest& request, const SessionToken& session, RequestTrace& trace);

    /// See DatabaseGroup::resolveCommit().
    Result<CallerAnswer> resolveCommit(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, EntryLimiter::Permit permit, RequestTrace& trace);

private:
    Result<std::string> open(const CallerRequest& request, const CatalogueEntry& entry,
        const PrimaryView& primary, EntryLimiter::Permit& permit, RequestTrace& trace);
    Result<CallerAnswer> execute(const CallerRequest& request, const SessionToken& session,
        std::unique_ptr<OpenTransaction> transaction, RequestTrace& trace);

    /// Ends transaction @p id with @p method (`commit` or `rollback`) and the request's idempotency key, and waits for
    /// the confirmation of its record.
    Result<CallerAnswer> finish(const std::string& method, const CallerRequest& request, const std::string& id,
        const SessionToken& session, std::unique_ptr<OpenTransaction> transaction, RequestTrace& trace);

    Result<CallerAnswer> rollback(const CallerRequest& request, const SessionToken& session,
        std::unique_ptr<OpenTransaction> transaction);

    GroupContext& m_context;
};

} // namespace kumquatbank
