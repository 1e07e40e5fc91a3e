#pragma once

#include "kumquatbank/catalogue/Catalogue.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kumquatbank {

/// The latest version of every catalogue object, also of removed ones, ordered by revision. Values are kept as
/// msgpack, which takes a fraction of the memory of parsed JSON. Not thread-safe.
class ObjectIndex {
public:
    /// Removed objects remembered one by one. A copy that is further behind gets a snapshot.
    static constexpr std::size_t maxTombstones = 10'000;

    /// Takes over the newer objects of @p delta and returns them, with a removal for every object that a
    /// snapshot no longer holds. The delta must not start after revision().
    std::vector<PlatformObject> merge(const CatalogueDelta& delta);

    /// Revision up to which every change is included.
    std::uint64_t revision() const { return m_revision; }

    CatalogueDelta changesSince(std::uint64_t revision) const;

private:
    using Key = std::pair<std::string, std::string>; ///< Kind and name.

    struct StoredObject {
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
        bool isDeleted = false;
        std::vector<std::uint8_t> value;
    };

    bool isNewer(const PlatformObject& object) const;
    void store(const PlatformObject& object);
    std::vector<PlatformObject> findRemoved(const CatalogueDelta& snapshot) const;
    void dropOldTombstones();
    PlatformObject load(const Key& key) const;

    std::uint64_t m_revision = 0;
    std::uint64_t m_oldestRevision = 0; ///< Every removal after this revision is remembered.
    std::size_t m_tombstoneCount = 0;
    std::map<Key, StoredObject> m_objects;
    std::multimap<std::uint64_t, Key> m_byRevision;
};

} // namespace kumquatbank
