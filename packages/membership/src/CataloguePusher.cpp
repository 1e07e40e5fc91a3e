#include "CataloguePusher.h"

#include <algorithm>

namespace kumquatbank {

namespace {

    constexpr Milliseconds batchTime { 100 }; ///< Collects the changes of one edit into one message.
    constexpr Milliseconds pushTimeout { 500 };
    constexpr std::size_t maxBehind = 32; ///< Further peers are found again by the next exchanges.

} // namespace

CataloguePusher::CataloguePusher(Catalogue& catalogue, MemberTable& table, PeerCaller& caller,
    CatalogueReader& reader, CatalogueParts& parts, std::size_t fanout)
    : m_catalogue(catalogue)
    , m_table(table)
    , m_caller(caller)
    , m_reader(reader)
    , m_parts(parts)
    , m_fanout(fanout)
    , m_pushed(catalogue.revision())
    , m_random(std::hash<std::string>()(table.self().address.toString()))
{
    m_catalogue.onChange([signal = m_signal] {
        {
            const std::lock_guard lock(signal->mutex);
            signal->hasChange = true;
        }
        signal->wake.notify_all();
    });
}

CataloguePusher::~CataloguePusher() { stop(); }

void CataloguePusher::start()
{
    m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void CataloguePusher::stop() { m_thread = {}; }

void CataloguePusher::noteRevision(const HostAddress& peer, std::uint64_t revision)
{
    {
        const std::lock_guard lock(m_mutex);
        m_known[peer] = revision; // May fall: the peer was restarted.
    }
    const std::uint64_t own = m_catalogue.revision();
    if (revision > own)
        m_reader.request(peer);
    if (revision >= own)
        return;
    {
        const std::lock_guard lock(m_signal->mutex);
        if (m_signal->behind.size() >= maxBehind)
            return;
        m_signal->behind.insert(peer);
    }
    m_signal->wake.notify_all();
}

void CataloguePusher::run(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        std::set<HostAddress> behind;
        bool hasChange = false;
        {
            std::unique_lock lock(m_signal->mutex);
            const auto hasWork = [this] { return m_signal->hasChange || !m_signal->behind.empty(); };
            if (!m_signal->wake.wait(lock, stop, hasWork))
                return;
            m_signal->wake.wait_for(lock, stop, batchTime, [] { return false; });
            behind.swap(m_signal->behind);
            hasChange = std::exchange(m_signal->hasChange, false);
        }
        if (hasChange)
            pushChanges();
        for (const HostAddress& peer : behind) {
            const std::uint64_t known = knownRevision(peer);
            if (known < m_catalogue.revision())
                send(peer, known);
        }
    }
}

void CataloguePusher::pushChanges()
{
    const std::uint64_t revision = m_catalogue.revision();
    if (revision <= m_pushed)
        return;
    const std::uint64_t since = m_pushed;
    PeerCaller::forEach(chooseTargets(revision), [&](const HostAddress& peer) { send(peer, since); });
    m_pushed = revision;
}

void CataloguePusher::send(const HostAddress& peer, std::uint64_t since)
{
    // Without changes the message only announces the revision, and the peer loads what it lacks in parts.
    nlohmann::json body = { { "revision", m_catalogue.revision() } };
    if (nlohmann::json delta = m_parts.small(since); !delta.is_null())
        body["delta"] = std::move(delta);
    const auto answer = m_caller.call(peer, PeerMessageType::CataloguePush, std::move(body), pushTimeout);
    if (!answer || !answer->contains("revision"))
        return;
    const std::lock_guard lock(m_mutex);
    m_known[peer] = answer->at("revision").get<std::uint64_t>();
}

std::vector<HostAddress> CataloguePusher::chooseTargets(std::uint64_t revision)
{
    std::vector<HostAddress> peers = m_table.livePeers({});
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_known, [&](const auto& it) { return !std::ranges::binary_search(peers, it.first); });
    std::erase_if(peers, [&](const HostAddress& it) {
        const auto known = m_known.find(it);
        return known != m_known.end() && known->second >= revision;
    });
    std::vector<HostAddress> targets;
    std::ranges::sample(peers, std::back_inserter(targets), static_cast<std::ptrdiff_t>(m_fanout), m_random);
    return targets;
}

std::uint64_t CataloguePusher::knownRevision(const HostAddress& peer)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_known.find(peer);
    return it == m_known.end() ? 0 : it->second;
}

nlohmann::json CataloguePusher::answer(const PeerMessage& message)
{
    if (message.body.contains("delta"))
        m_reader.apply(message.body.at("delta"));
    noteRevision(message.from.address, message.body.at("revision").get<std::uint64_t>());
    return { { "revision", m_catalogue.revision() } };
}

} // namespace kumquatbank
