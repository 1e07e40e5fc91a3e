#include "CatalogueParts.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr std::size_t smallBytes = 8 * 1024; ///< About 30 changes: 40 s of edits at the target size.
    constexpr std::chrono::seconds cacheTime { 10 };

    std::size_t packedSize(const PlatformObject& object) { return nlohmann::json::to_msgpack(object).size(); }

} // namespace

CatalogueParts::CatalogueParts(const Catalogue& catalogue, std::size_t maxMessageBytes)
    : m_catalogue(catalogue)
    , m_maxMessageBytes(maxMessageBytes)
{
}

nlohmann::json CatalogueParts::small(std::uint64_t revision) const
{
    if (revision == 0 || revision >= m_catalogue.revision())
        return nullptr;
    const CatalogueDelta delta = m_catalogue.changesSince(revision);
    if (delta.from == 0)
        return nullptr;
    std::size_t bytes = 0;
    for (const PlatformObject& it : delta.changes) {
        bytes += packedSize(it);
        if (bytes > std::min(smallBytes, m_maxMessageBytes))
            return nullptr;
    }
    return delta;
}

nlohmann::json CatalogueParts::part(std::uint64_t revision, std::uint64_t cursor)
{
    const auto delta = deltaSince(revision, cursor == 0);
    auto it = std::ranges::upper_bound(delta->changes, cursor, {}, &PlatformObject::revision);
    nlohmann::json changes = nlohmann::json::array();
    for (std::size_t bytes = 0; it != delta->changes.end(); ++it) {
        bytes += packedSize(*it);
        if (bytes > m_maxMessageBytes && !changes.empty())
            break;
        cursor = it->revision;
        changes.push_back(*it);
    }
    return { { "from", delta->from }, { "to", delta->to }, { "removalsSince", delta->removalsSince }, { "changes", std::move(changes) },
        { "hasMore", it != delta->changes.end() }, { "cursor", cursor } };
}

std::shared_ptr<const CatalogueDelta> CatalogueParts::deltaSince(std::uint64_t revision, bool isFirstPart)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = Clock::now();
    const bool isFresh = m_cached && m_cachedRevision == revision && now - m_cachedAt < cacheTime;
    if (isFresh && (!isFirstPart || m_cached->to == m_catalogue.revision()))
        return m_cached;
    auto delta = std::make_shared<CatalogueDelta>(m_catalogue.changesSince(revision));
    std::ranges::sort(delta->changes, {}, &PlatformObject::revision);
    m_cached = delta;
    m_cachedRevision = revision;
    m_cachedAt = now;
    return delta;
}

} // namespace kumquatbank
