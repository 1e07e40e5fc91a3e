#include "Gossip.h"

namespace kumquatbank {

// Fields of an exchange, one letter each because every process sends four of these a second:
//   v: catalogue revision, n: revision of the leaving notices, r: member rows, d: digests per place,
//   p and q: hash and rows of a differing place, c: catalogue changes, l: leaving notices.

Gossip::Gossip(MemberTable& table, LeavingNotices& notices, PeerCaller& caller, CataloguePusher& pusher,
    CatalogueReader& reader, CatalogueParts& parts)
    : m_table(table)
    , m_notices(notices)
    , m_caller(caller)
    , m_pusher(pusher)
    , m_reader(reader)
    , m_parts(parts)
{
}

std::optional<Member> Gossip::doubtAbout(const HostAddress& peer) const
{
    const auto row = m_table.find(peer);
    return row && row->state != MemberState::Alive ? row : std::nullopt;
}

nlohmann::json Gossip::ownState(const std::optional<Member>& claim)
{
    std::vector<Member> rows = m_table.takeUpdates();
    rows.push_back(m_table.selfRow());
    if (claim)
        rows.push_back(*claim);
    return { { "v", m_reader.revision() }, { "n", m_notices.revision() }, { "r", packRows(rows) } };
}

bool Gossip::exchangeWith(const HostAddress& peer, Milliseconds timeout, std::optional<Member> claim)
{
    nlohmann::json body = ownState(claim ? claim : doubtAbout(peer));
    body["d"] = packDigests(m_table.digests());
    const auto answer = m_caller.call(peer, PeerMessageType::Exchange, std::move(body), timeout);
    if (!answer)
        return false;
    try {
        mergeAnswer(peer, *answer, timeout);
    } catch (const std::exception& ex) {
        LOG4CXX_WARN(partLogger("membership"), "bad exchange answer from " << peer.toString() << ": " << ex.what());
    }
    return true;
}

void Gossip::mergeAnswer(const HostAddress& peer, const nlohmann::json& answer, Milliseconds timeout)
{
    m_table.merge(unpackRows(answer.at("r")), Clock::now());
    if (answer.contains("q")) {
        const std::vector<Member> theirs = unpackRows(answer.at("q"));
        m_table.merge(theirs, Clock::now());
        const std::vector<Member> newer = m_table.newerRows(answer.at("p").get<std::uint64_t>(), theirs);
        if (!newer.empty()) {
            nlohmann::json body = ownState(std::nullopt);
            body["q"] = packRows(newer);
            m_caller.call(peer, PeerMessageType::Exchange, std::move(body), timeout);
        }
    }
    if (answer.contains("l"))
        m_notices.merge(answer.at("l"));
    if (answer.contains("c"))
        m_reader.apply(answer.at("c"));
    m_pusher.noteRevision(peer, answer.at("v").get<std::uint64_t>());
    if (answer.at("n").get<std::uint64_t>() < m_notices.revision()) {
        nlohmann::json body = ownState(std::nullopt);
        body["l"] = m_notices.pack();
        m_caller.call(peer, PeerMessageType::Exchange, std::move(body), timeout);
    }
}

nlohmann::json Gossip::answer(const PeerMessage& message)
{
    const TimePoint now = Clock::now();
    const nlohmann::json& body = message.body;
    m_table.merge(unpackRows(body.at("r")), now);
    if (body.contains("q"))
        m_table.merge(unpackRows(body.at("q")), now);
    if (body.contains("l"))
        m_notices.merge(body.at("l"));

    nlohmann::json answer = ownState(doubtAbout(message.from.address));
    if (body.contains("d")) {
        if (const auto place = m_table.differingPlace(unpackDigests(body.at("d")), now)) {
            answer["p"] = *place;
            answer["q"] = packRows(m_table.rowsOf(*place));
        }
    }
    if (body.at("n").get<std::uint64_t>() < m_notices.revision())
        answer["l"] = m_notices.pack();
    const auto revision = body.at("v").get<std::uint64_t>();
    if (nlohmann::json changes = m_parts.small(revision); !changes.is_null())
        answer["c"] = std::move(changes);
    else
        m_pusher.noteRevision(message.from.address, revision);
    return answer;
}

} // namespace kumquatbank
