#pragma once

#include "Endpoint.h"
#include "RequestTrace.h"

#include <atomic>
#include <set>

namespace kumquatbank {

/// Slot for a read, and the position that the slot must cover when the read runs.
struct ReadRoute {
    std::size_t slot = 0;
    LogPosition minimum;
};

/// Selects the slot for a read. Thread-safe.
class ReadRouter {
public:
    ReadRouter(const GroupView& view, const Endpoints& endpoints, std::string place);

    /// Selects the replica with the shortest queue among those that cover @p required and satisfy the entry's maximum
    /// age. If there is none, waits for the replica that is expected to catch up first, provided that this is expected
    /// to be faster than the primary's queue, and otherwise uses the primary. Slots in @p excluded are not selected.
    /// NotRun when no slot can serve the read.
    Result<ReadRoute> selectRoute(const CatalogueEntry& entry, const LogPosition& required,
        const std::set<std::size_t>& excluded, const Deadline& deadline, RequestTrace& trace) const;

private:
    struct Candidates {
        std::optional<std::size_t> currentReplica; ///< Covers the requirement now, with the shortest queue.
        std::optional<std::size_t> nextReplica; ///< Expected to cover the requirement first.
        LogPosition minimum;
    };

    Candidates findCandidates(const CatalogueEntry& entry, const LogPosition& required,
        const std::set<std::size_t>& excluded) const;
    std::optional<std::size_t> usablePrimary(const std::set<std::size_t>& excluded) const;

    const GroupView& m_view;
    const Endpoints& m_endpoints;
    const std::string m_place;
    /// First slot to examine. It rotates so that equal slots share the load.
    mutable std::atomic<std::size_t> m_nextStart { 0 };
};

} // namespace kumquatbank
