#include "CatalogueReader.h"

namespace kumquatbank {

namespace {

    constexpr Milliseconds partTimeout { 2000 };

} // namespace

CatalogueReader::CatalogueReader(Catalogue& catalogue, MemberTable& table, PeerCaller& caller)
    : m_catalogue(catalogue)
    , m_table(table)
    , m_caller(caller)
    , m_isSynchronized(catalogue.revision() > 0)
{
}

void CatalogueReader::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void CatalogueReader::stop() { m_thread = {}; }

void CatalogueReader::request(const HostAddress& peer)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_requested)
            return;
        m_requested = peer;
    }
    m_wake.notify_all();
}

void CatalogueReader::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        HostAddress peer;
        {
            std::unique_lock lock(m_mutex);
            if (!m_wake.wait(lock, stop, [this] { return m_requested.has_value(); }))
                return;
            peer = *m_requested;
        }
        load(peer, false);
        const std::lock_guard lock(m_mutex);
        m_requested.reset();
    }
}

bool CatalogueReader::load(const HostAddress& peer, bool withMembers)
{
    const std::lock_guard lock(m_loading);
    CatalogueDelta delta;
    std::uint64_t cursor = 0;
    const std::uint64_t own = m_catalogue.revision();
    for (bool hasMore = true; hasMore;) {
        nlohmann::json body = { { "revision", own }, { "cursor", cursor } };
        if (withMembers && cursor == 0) {
            const std::vector<Member> self { m_table.selfRow() };
            body["rows"] = packRows(self);
        }
        const auto answer = m_caller.call(peer, PeerMessageType::Snapshot, std::move(body), partTimeout);
        if (!answer)
            return false;
        try {
            if (answer->contains("rows"))
                m_table.merge(unpackRows(answer->at("rows")), Clock::now());
            if (!answer->at("isSynchronized").get<bool>())
                return true;
            const auto from = answer->at("from").get<std::uint64_t>();
            // The peer forgot single changes between two parts and sends a snapshot instead.
            if (cursor != 0 && from != delta.from)
                return true;
            delta.from = from;
            delta.to = answer->at("to").get<std::uint64_t>();
            delta.removalsSince = answer->at("removalsSince").get<std::uint64_t>();
            for (const auto& it : answer->at("changes"))
                delta.changes.push_back(it.get<PlatformObject>());
            cursor = answer->at("cursor").get<std::uint64_t>();
            hasMore = answer->at("hasMore").get<bool>();
        } catch (const std::exception&) {
            return false;
        }
    }
    if (applyDelta(delta))
        m_isSynchronized = true;
    return true;
}

bool CatalogueReader::applyDelta(const CatalogueDelta& delta)
{
    // A snapshot that is not newer has nothing to add; an equal revision is still worth a repeated removal.
    return delta.to >= m_catalogue.revision() && m_catalogue.apply(delta);
}

void CatalogueReader::apply(const nlohmann::json& delta)
{
    if (applyDelta(delta.get<CatalogueDelta>()))
        m_isSynchronized = true;
}

} // namespace kumquatbank
