#include "CatalogueRelay.h"

#include "StoppableSleep.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr Milliseconds idleCheck { 500 }; ///< How often a process that is not a relay looks again.
    constexpr Milliseconds retryCheck { 200 }; ///< How often to see whether PlatformClient's backoff has passed.
    const std::vector<std::string> watchedKinds { "entry", "database" };

} // namespace

CatalogueRelay::CatalogueRelay(Catalogue& catalogue, CatalogueReader& reader, LeavingNotices& notices,
    ProbeQueue& probes, PlatformClient& platform, Milliseconds watchTime, Milliseconds hostListInterval,
    std::function<bool()> isRelay)
    : m_catalogue(catalogue)
    , m_reader(reader)
    , m_notices(notices)
    , m_probes(probes)
    , m_platform(platform)
    , m_watchTime(watchTime)
    , m_hostListInterval(hostListInterval)
    , m_isRelay(std::move(isRelay))
{
}

void CatalogueRelay::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void CatalogueRelay::stop() { m_thread = {}; }

void CatalogueRelay::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        if (!m_isRelay())
            sleepUntil(stop, Clock::now() + idleCheck);
        else if (!step())
            sleepUntil(stop, Clock::now() + retryCheck);
    }
}

bool CatalogueRelay::step()
{
    // The catalogue comes first: a platform that fails halfway must not cost the start its snapshot.
    const bool isEmpty = !m_reader.isSynchronized();
    const bool isDone = isEmpty || m_needsList ? listAll() : watch();
    return isDone && (Clock::now() < m_nextHostList || readHosts());
}

bool CatalogueRelay::listAll()
{
    CatalogueDelta snapshot;
    for (const std::string& kind : watchedKinds) {
        auto list = m_platform.list(kind);
        if (!list)
            return false;
        // Complete only up to the earlier listing; an object of a later one keeps its greater revision.
        snapshot.to = snapshot.to == 0 ? list->revision : std::min(snapshot.to, list->revision);
        std::ranges::move(list->objects, std::back_inserter(snapshot.changes));
    }
    if (snapshot.to >= m_catalogue.revision())
        m_catalogue.apply(snapshot);
    m_reader.setSynchronized();
    m_needsList = false;
    m_cursor = snapshot.to;
    return true;
}

bool CatalogueRelay::watch()
{
    const std::uint64_t own = m_catalogue.revision();
    m_cursor = std::max(m_cursor, own);
    const auto result = m_platform.watch(m_cursor, watchedKinds, m_watchTime);
    if (!result)
        return false;
    if (result->isCompacted) {
        m_needsList = true;
        return true;
    }
    if (!result->changes.empty()) {
        // The copy is complete up to the cursor even when its own revision is lower: the store's revision also
        // counts objects of other kinds. The revision of the last change is the same on every relay.
        const auto last = std::ranges::max_element(result->changes, {}, &PlatformObject::revision);
        const CatalogueDelta delta { std::min(m_cursor, own), last->revision, result->changes, 0 };
        m_needsList = !m_catalogue.apply(delta);
    }
    m_cursor = std::max(m_cursor, result->revision);
    return true;
}

bool CatalogueRelay::readHosts()
{
    const auto list = m_platform.hosts();
    if (!list)
        return false;
    m_nextHostList = Clock::now() + m_hostListInterval;
    std::set<HostAddress> leaving;
    std::vector<HostAddress> proxies;
    for (const HostNotice& host : list->hosts) {
        if (host.isEndpoint && host.isLeaving)
            leaving.insert(host.address);
        if (!host.isEndpoint && !host.isLeaving)
            proxies.push_back(host.address);
    }
    m_notices.update(list->revision, std::move(leaving));
    m_probes.setListedHosts(std::move(proxies));
    return true;
}

} // namespace kumquatbank
