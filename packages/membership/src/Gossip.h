#pragma once

#include "CatalogueParts.h"
#include "CataloguePusher.h"
#include "LeavingNotices.h"
#include "MemberTable.h"
#include "PeerCaller.h"

#include <optional>

namespace kumquatbank {

/// The exchange of member rows, digests, leaving notices and catalogue revisions with one peer. Thread-safe.
class Gossip {
public:
    Gossip(MemberTable& table, LeavingNotices& notices, PeerCaller& caller, CataloguePusher& pusher,
        CatalogueReader& reader, CatalogueParts& parts);

    /// Exchanges with @p peer. @p claim: a row the peer should refute; by default the own row of the peer if
    /// it is not Alive. @return false if there was no answer in time.
    bool exchangeWith(const HostAddress& peer, Milliseconds timeout, std::optional<Member> claim = std::nullopt);

    /// Answers an Exchange message; throws std::exception on bad input.
    nlohmann::json answer(const PeerMessage& message);

private:
    nlohmann::json ownState(const std::optional<Member>& claim);
    std::optional<Member> doubtAbout(const HostAddress& peer) const;
    void mergeAnswer(const HostAddress& peer, const nlohmann::json& answer, Milliseconds timeout);

    MemberTable& m_table;
    LeavingNotices& m_notices;
    PeerCaller& m_caller;
    CataloguePusher& m_pusher;
    CatalogueReader& m_reader;
    CatalogueParts& m_parts;
};

} // namespace kumquatbank
