#pragma once

#include "kumquatbank/catalogue/catalogue.h"

#include <memory>
#include <mutex>

namespace kumquatbank {

/// Cuts the changes that a peer lacks into messages of bounded size. Thread-safe.
class CatalogueParts {
public:
    CatalogueParts(const Catalogue& catalogue, std::size_t maxMessageBytes);

    /// All changes after @p revision if they fit one gossip message; null if they do not, if nothing is
    /// missing, or if the peer needs a snapshot.
    nlohmann::json small(std::uint64_t revision) const;

    /// One part of the changes after the peer's revision, in the order of their revisions: {from, to,
    /// changes, hasMore, cursor}. @p cursor is the revision of the last change of the part before, 0 at first.
    /// The peer applies the parts together: half a snapshot would hide the objects of the other half.
    nlohmann::json part(std::uint64_t revision, std::uint64_t cursor);

private:
    std::shared_ptr<const CatalogueDelta> deltaSince(std::uint64_t revision, bool isFirstPart);

    const Catalogue& m_catalogue;
    const std::size_t m_maxMessageBytes;
    std::mutex m_mutex;
    std::shared_ptr<const CatalogueDelta> m_cached; ///< Kept while a peer loads it part by part.
    std::uint64_t m_cachedRevision = 0;
    TimePoint m_cachedAt {};
};

} // namespace kumquatbank
