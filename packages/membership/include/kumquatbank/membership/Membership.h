#pragma once

#include "kumquatbank/catalogue/catalogue.h"
#include "kumquatbank/membership/Member.h"
#include "kumquatbank/platform/platform.h"
#include "kumquatbank/transport/transport.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

namespace kumquatbank {

/// Timing and bootstrap of a Membership.
struct MembershipOptions {
    HostIdentity self;
    std::vector<HostAddress> seeds;
    Milliseconds gossipInterval { 1000 };
    Milliseconds probeTimeout { 500 };
    Milliseconds suspicionTime { 2000 };
    Milliseconds hostListInterval { 5000 }; ///< Read by relays only.
    Milliseconds watchTime { 2000 }; ///< Length of a relay's long poll; stop() waits for it to end.
    std::size_t relaysPerPlace = 2;
    std::size_t pushFanout = 4;
    std::size_t maxMessageBytes = 256 * 1024; ///< Catalogue changes in one message; more are sent in parts.
};

/// The member table of this process and the gossip that keeps it and the catalogue up to date. Thread-safe.
class Membership {
public:
    Membership(MembershipOptions options, Catalogue& catalogue, PeerClient& peers, PlatformClient& platform);
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /// Joins through the seeds and starts the gossip, relay and push threads. Does not wait for a peer.
    void start();
    void stop();

    /// Answers Exchange, CataloguePush, IndirectProbe and Snapshot messages of other processes.
    nlohmann::json handle(const PeerMessage& message);

    /// Tells the peers that this process takes no new duties.
    void announceLeaving();

    /// Checks at once whether the process at @p address is reachable, because a direct call to it failed. Does
    /// not wait, and changes nothing if it answers this process or two others; otherwise it becomes suspect.
    void reportUnreachable(const HostAddress& address);

    /// True once a peer or the platform has supplied a catalogue.
    bool isSynchronized() const;

    std::vector<Member> members() const; ///< Includes this process; without dead ones.

    /// The first 8 holder candidates, best first.
    std::vector<HostIdentity> holderCandidates(const DatabaseDefinition& database) const;

    /// True when a live host stands in @p place; databases whose first slot is there are held there.
    bool hasHosts(const std::string& place) const;

    /// Grows with every change of the member table.
    std::uint64_t version() const;

    /// True when the host list, as spread by the relays, says that the endpoint is leaving.
    bool isEndpointLeaving(const HostAddress& endpoint) const;

    nlohmann::json state() const; ///< For the state dump.

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
