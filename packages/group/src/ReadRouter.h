#pragma once

#include "Endpoint.h"
#include "RequestTrace.h"

#include <atomic>
#include <set>

namespace kumquatbank {

/// Where a read goes and what the slot has to hold when it runs.
struct ReadRoute {
    std::size_t slot = 0;
    LogPosition minimum;
};

/// Picks the slot for a read. Thread-safe.
class ReadRouter {
public:
    ReadRouter(const GroupView& view, const Endpoints& endpoints, std::string place);

    /// Picks the replica with the shortest queue among those that cover @p required and the entry's greatest
    /// age, waits for the closest replica while that is expected to be faster than the primary's queue, and
    /// falls back to the primary. Slots in @p excluded are not picked. NotRun when no slot can serve.
    Result<ReadRoute> selectRoute(const CatalogueEntry& entry, const LogPosition& required,
        const std::set<std::size_t>& excluded, const Deadline& deadline, RequestTrace& trace) const;

private:
    struct Candidates {
        std::optional<std::size_t> currentReplica; ///< Covers the requirement now.
        std::optional<std::size_t> nextReplica; ///< Expected to cover it first.
        LogPosition minimum;
    };

    Candidates findCandidates(const CatalogueEntry& entry, const LogPosition& required,
        const std::set<std::size_t>& excluded) const;
    std::optional<std::size_t> usablePrimary(const std::set<std::size_t>& excluded) const;

    const GroupView& m_view;
    const Endpoints& m_endpoints;
    const std::string m_place;
    mutable std::atomic<std::size_t> m_nextStart { 0 }; ///< First slot to look at, so that equal ones share the load.
};

} // namespace kumquatbank
