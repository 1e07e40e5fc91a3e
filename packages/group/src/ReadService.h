#pragma once

#include "GroupContext.h"

namespace kumquatbank {

/// Runs reads outside transactions: selects a slot, sends the required position for the endpoint to check, and tries
/// the next candidate after a failure. Thread-safe.
class ReadService {
public:
    explicit ReadService(GroupContext& parts);

    Result<CallerAnswer> run(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, RequestTrace& trace);

private:
    Result<CallerAnswer> attempt(const CallerRequest& request, const CatalogueEntry& entry,
        const SessionToken& session, const ReadRoute& route, RequestTrace& trace);

    GroupContext& m_context;
};

} // namespace kumquatbank
