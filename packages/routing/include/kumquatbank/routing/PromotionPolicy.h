#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/core/LogPosition.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbank {

/// Status reported by an endpoint, and what this host knows of it besides.
struct EndpointStatus {
    std::string id;
    bool isPrimary = false;
    Term term = 0; ///< Newest term known to the endpoint.
    LogPosition received; ///< End of its log, including entries that are not applied yet.
    bool isStopped = false; ///< It receives no commits until the next promotion, so that `received` is final.
    bool isDraining = false;
    /// For a draining endpoint: how much longer it may serve clients. Not positive after the end of that time.
    std::chrono::milliseconds servingTime { 0 };
};

/// The situation in which the primary of a service is to be replaced without its cooperation.
struct PromotionSituation {
    std::vector<EndpointStatus> answered; ///< Endpoints that answered, without the primary to be replaced.
    /// Endpoints that the store lists, including the primary to be replaced if it is listed.
    std::size_t listedEndpoints = 0;
    /// Endpoints that may hold acknowledged commits: the listed ones, those that disappeared recently, and in any case
    /// the last primary.
    std::size_t members = 0;
    /// This host has followed the service for long enough to know the endpoints that disappeared recently.
    bool areMembersKnown = true;
    /// Replicas that receive a commit before it is acknowledged; with 0 a commit may exist on the primary alone.
    int syncReplicas = 0;
};

/// Why no endpoint is promoted.
enum class PromotionBlock {
    None,
    MembersUnknown, ///< An endpoint that this host does not know may hold the newest acknowledged commits.
    TooFewAnswered, ///< Those that do not answer may hold the newest acknowledged commits.
    NotStopped, ///< The primary may acknowledge further commits with the help of endpoints that are not stopped.
    Leaving, ///< The newest endpoint may not serve clients for long enough, and there is none to succeed it.
};

std::string_view promotionBlockName(PromotionBlock block);

struct PromotionChoice {
    std::optional<EndpointStatus> candidate;
    PromotionBlock block = PromotionBlock::None;
};

/// A draining endpoint is promoted to serve only if it may do so for this long after the choice; most of it passes until
/// the promotion has taken effect.
constexpr std::chrono::milliseconds minServingTime { 2500 };

/// Chooses the endpoint to promote in place of a primary that does not answer.
///
/// A commit is acknowledged when the primary and `syncReplicas` of the other members hold it. So every acknowledged commit
/// is held by one of any `members - syncReplicas` members; once these have stopped receiving, no further commit can be
/// acknowledged, and the newest log among them has all. Without synchronous replicas there is no such proof; then half of
/// the listed endpoints have to answer, because the only one that answers may have been cut off during an earlier change
/// of primary, and its promotion would restore its outdated log.
///
/// The endpoint with the newest log is chosen, also if it is about to leave: it hands over to another one that has caught
/// up. Of equal logs, one that stays is preferred. An endpoint that may not serve any more is chosen only if another one
/// that stays can take over from it.
PromotionChoice choosePromotionCandidate(const PromotionSituation& situation);

/// As choosePromotionCandidate(), before any endpoint has been stopped: the choice if all that answered are stopped with
/// the positions that they reported.
PromotionChoice previewPromotionCandidate(PromotionSituation situation);

/// Chooses the endpoint to which a leaving primary hands over: the one with the newest log that stays.
std::optional<EndpointStatus> chooseSuccessor(const std::vector<EndpointStatus>& answered);

/// Whether @p candidate has every commit of a primary that leads no more and whose log ends at @p finalPosition.
bool hasWholeLog(const EndpointStatus& candidate, const LogPosition& finalPosition);

/// A peer's report about the primary of a service.
struct PeerReport {
    bool answered = false;
    bool reachesPrimary = false; ///< The peer received an answer from the primary within the silence limit.
};

/// Whether a primary that this host cannot reach is to be replaced: true if most hosts cannot reach it, counting the
/// peers that answered and this host, or if there are no peers. @p decideWithoutPeers: the result if there are peers
/// but none answers, because all may be down.
bool isPrimaryLost(const std::vector<PeerReport>& reports, bool decideWithoutPeers);

/// End of the time in which clients' requests may be sent to a draining endpoint.
/// @param knownReadyAt  the last moment at which it was known not to be draining; empty if it never was.
/// @param drainTime  time that it serves after its report.
/// @param now  when the report was received.
BootTime drainingServiceEnd(std::optional<BootTime> knownReadyAt, std::chrono::milliseconds drainTime, BootTime now);

} // namespace kumquatbank
