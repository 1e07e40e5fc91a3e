#include "ObjectIndex.h"

#include <algorithm>
#include <set>

namespace kumquatbank {

namespace {

    bool isCatalogueKind(const std::string& kind) { return kind == "entry" || kind == "database"; }

} // namespace

std::vector<PlatformObject> ObjectIndex::merge(const CatalogueDelta& delta)
{
    std::vector<PlatformObject> merged;
    const auto take = [&](const PlatformObject& object) {
        if (!isNewer(object))
            return;
        store(object);
        merged.push_back(object);
    };
    // Looked up before the changes are stored: an object of the snapshot is not a removed one.
    const auto removed = delta.from == 0 ? findRemoved(delta) : std::vector<PlatformObject>();
    std::ranges::for_each(delta.changes, take);
    std::ranges::for_each(removed, take);
    // Removals before a snapshot are known only as far as it holds them; older copies need a snapshot as well.
    if (delta.from == 0 && delta.to > m_revision)
        m_oldestRevision = std::max(m_oldestRevision, delta.removalsSince > 0 ? delta.removalsSince : delta.to);
    m_revision = std::max(m_revision, delta.to);
    dropOldTombstones();
    return merged;
}

bool ObjectIndex::isNewer(const PlatformObject& object) const
{
    if (!isCatalogueKind(object.kind))
        return false;
    const auto it = m_objects.find({ object.kind, object.name });
    if (it != m_objects.end())
        return object.revision > it->second.revision;
    // This copy holds every change up to its revision, so an unknown older object was removed since.
    return object.revision > m_revision;
}

void ObjectIndex::store(const PlatformObject& object)
{
    const Key key { object.kind, object.name };
    auto& stored = m_objects[key];
    const auto [begin, end] = m_byRevision.equal_range(stored.revision);
    const auto old = std::find_if(begin, end, [&](const auto& item) { return item.second == key; });
    if (old != end)
        m_byRevision.erase(old);
    m_tombstoneCount -= stored.isDeleted ? 1 : 0;
    m_tombstoneCount += object.isDeleted ? 1 : 0;
    stored = { object.version, object.revision, object.isDeleted, {} };
    if (!object.isDeleted)
        stored.value = nlohmann::json::to_msgpack(object.value);
    stored.value.shrink_to_fit();
    m_byRevision.emplace(object.revision, key);
}

std::vector<PlatformObject> ObjectIndex::findRemoved(const CatalogueDelta& snapshot) const
{
    std::set<Key> present;
    for (const auto& object : snapshot.changes)
        present.insert({ object.kind, object.name });
    std::vector<PlatformObject> removed;
    for (const auto& [key, stored] : m_objects) {
        if (!stored.isDeleted && stored.revision < snapshot.to && !present.contains(key))
            removed.push_back({ key.first, key.second, stored.version, snapshot.to, true, {} });
    }
    return removed;
}

void ObjectIndex::dropOldTombstones()
{
    for (auto it = m_byRevision.begin(); m_tombstoneCount > maxTombstones && it != m_byRevision.end();) {
        const auto object = m_objects.find(it->second);
        if (!object->second.isDeleted || it->first > m_revision) {
            ++it;
            continue;
        }
        m_oldestRevision = std::max(m_oldestRevision, it->first);
        m_objects.erase(object);
        it = m_byRevision.erase(it);
        --m_tombstoneCount;
    }
}

PlatformObject ObjectIndex::load(const Key& key) const
{
    const auto& stored = m_objects.at(key);
    PlatformObject object { key.first, key.second, stored.version, stored.revision, stored.isDeleted, {} };
    if (!stored.isDeleted)
        object.value = nlohmann::json::from_msgpack(stored.value);
    return object;
}

CatalogueDelta ObjectIndex::changesSince(std::uint64_t revision) const
{
    const auto from = std::min(revision, m_revision);
    const bool isSnapshot = from == 0 || from < m_oldestRevision;
    CatalogueDelta delta { isSnapshot ? 0 : from, m_revision, {}, isSnapshot ? m_oldestRevision : 0 };
    const auto begin = isSnapshot ? m_byRevision.begin() : m_byRevision.upper_bound(from);
    for (auto it = begin; it != m_byRevision.end(); ++it)
        delta.changes.push_back(load(it->second));
    return delta;
}

} // namespace kumquatbank
