#pragma once

#include "GroupContext.h"

namespace kumquatbank {

/// Runs writes outside transactions: sends them to the primary, waits for the confirmation, and repeats writes that are
/// known not to have run or that have an idempotency key. Thread-safe.
class WriteService {
public:
    explicit WriteService(GroupContext& parts);

    Result<CallerAnswer> run(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, RequestTrace& trace);

private:
    Result<CallerAnswer> attempt(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, const PrimaryView& primary, RequestTrace& trace);
    bool waitForReplacement(const PrimaryView& primary, TimePoint failedAt, const Deadline& deadline) const;

    GroupContext& m_context;
};

} // namespace kumquatbank
