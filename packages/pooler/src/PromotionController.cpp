#include "PromotionController.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/KeepRunning.h"
#include "kumquatbank/engine/Random.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds checkInterval { 100 };
    /// A primary is suspected after this time without an answer and primaryFailureThreshold failed attempts to reach
    /// it.
    constexpr milliseconds primarySilenceThreshold { 800 };
    constexpr int primaryFailureThreshold = 2;
    /// A replacement starts when no endpoint has been primary for this time.
    constexpr milliseconds noPrimaryThreshold { 1200 };
    constexpr milliseconds promoteTimeout { 1500 };
    /// Time for a promotion to take effect before the next attempt.
    constexpr milliseconds attemptInterval { 2200 };
    constexpr milliseconds retryDelay { 400 };
    /// Delay before such a decision is read again; every read is a call to the store.
    constexpr milliseconds peerDecisionRecheckDelay { 1200 };
    /// Where connections are lent, the next holders in rank replace a leaving primary after this time per rank, in case
    /// the holders before them do not.
    constexpr milliseconds leavingRankDelay { 1500 };
    constexpr std::size_t leavingRankCount = 3;
    /// Random delay that spreads the hosts' attempts, so that most find the decision already made.
    constexpr milliseconds maxStartJitter { 150 };
    /// Suggested retry delay for requests to the primary while no endpoint can be promoted.
    constexpr milliseconds blockedRetryAfter { 1000 };

} // namespace

PromotionController::PromotionController(asio::io_context& io, std::shared_ptr<ObjectStore> store, const PoolerSettings& settings, ServiceRegistry& registry, PeerService& peers, PoolerMetrics& metrics)
    : m_io(io)
    , m_settings(settings)
    , m_registry(registry)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_survey(io)
    , m_tokens(std::move(store), settings.host, metrics)
    , m_call(std::make_shared<PromotionClient>(io, settings.promotionAddress))
    , m_pausedUntil(BootClock::now())
{
}

void PromotionController::start()
{
    keepRunning(m_io, "supervise_primaries", [this] { return supervise(); });
}

Task<void> PromotionController::supervise()
{
    while (true) {
        co_await sleepFor(m_io, checkInterval);
        for (const auto& [name, service] : m_registry.services()) {
            auto& progress = m_progress[name];
            // A promotion lets all endpoints go on.
            if (progress.stoppedFor != service->lastPrimary())
                progress.stoppedFor.reset();
            if (progress.isBusy || BootClock::now() < progress.notBefore)
                continue;
            const auto reason = replacementReason(*service);
            if (reason == ReplacementReason::None)
                continue;
            progress.isBusy = true;
            asio::co_spawn(m_io, runReplacement(service, reason), asio::detached);
        }
    }
}

PromotionController::ReplacementReason PromotionController::replacementReason(const DatabaseService& service) const
{
    if (service.endpoints().size() < 2)
        return ReplacementReason::None;
    const auto now = BootClock::now();
    const auto primary = service.primary();
    if (!service.monitorsPrimary()) {
        const auto rank = service.holderRank();
        const bool isNext = rank && *rank < leavingRankCount && primary && primary->entry.isDraining;
        if (isNext && now - primary->drainingSince >= leavingRankDelay * *rank)
            return ReplacementReason::Leaving;
        return primary && hasStoppedMembers(service) ? ReplacementReason::Stopped : ReplacementReason::None;
    }
    if (!primary)
        return now - std::max(service.primarySince(), m_pausedUntil) >= noPrimaryThreshold ? ReplacementReason::Lost : ReplacementReason::None;
    if (primary->failures >= primaryFailureThreshold && now - std::max(primary->lastAnswer, m_pausedUntil) >= primarySilenceThreshold)
        return ReplacementReason::Lost;
    if (primary->entry.isDraining)
        return ReplacementReason::Leaving;
    return hasStoppedMembers(service) ? ReplacementReason::Stopped : ReplacementReason::None;
}

bool PromotionController::hasStoppedMembers(const DatabaseService& service) const
{
    if (service.lacksCommits())
        return true;
    const auto it = m_progress.find(service.name());
    return it != m_progress.end() && it->second.stoppedFor.has_value();
}

Task<void> PromotionController::runReplacement(std::shared_ptr<DatabaseService> service, ReplacementReason reason)
{
    try {
        co_await replace(service, reason);
    } catch (const std::exception& e) {
        EventLog::error("replacement_failed", { { "service", service->name() }, { "error", e.what() } });
    }
    m_progress[service->name()].isBusy = false;
}

Task<std::optional<std::uint64_t>> PromotionController::takeToken(PromotionTokens::Purpose purpose)
{
    const auto service = purpose.service;
    const auto result = co_await m_tokens.take(std::move(purpose));
    if (result.isLeftToPeer)
        m_progress[service].notBefore = BootClock::now() + peerDecisionRecheckDelay;
    co_return result.token;
}

PromotionSituation PromotionController::situationOf(const DatabaseService& service, std::vector<EndpointStatus> answered)
{
    PromotionSituation situation;
    situation.answered = std::move(answered);
    situation.listedEndpoints = static_cast<std::size_t>(std::ranges::count_if(service.endpoints(), [](const auto& item) { return !item.second->missingSince; }));
    situation.members = service.memberCount();
    situation.areMembersKnown = service.areMembersKnown();
    situation.syncReplicas = service.syncReplicas();
    return situation;
}

void PromotionController::recordBlock(DatabaseService& service, const PromotionSituation& situation, PromotionBlock block)
{
    service.refuseWritesUntil(BootClock::now() + blockedRetryAfter);
    EventLog::warn("promotion_blocked", { { "service", service.name() }, { "reason", promotionBlockName(block) }, { "answered", situation.answered.size() }, { "listed", situation.listedEndpoints }, { "members", situation.members }, { "synchronous", situation.syncReplicas } });
}

Task<bool> PromotionController::order(std::shared_ptr<DatabaseService> service, std::string endpoint, std::uint64_t token)
{
    PromotionRequest request;
    request.service = service->name();
    request.endpoint = endpoint;
    request.holder = m_settings.host;
    request.token = token;
    auto& progress = m_progress[service->name()];
    progress.notBefore = BootClock::now() + attemptInterval;
    const auto client = m_call; // New settings may replace it during the call.
    const auto outcome = co_await client->promote(request, promoteTimeout);
    m_metrics.promotionCompleted(promotionOutcomeName(outcome));
    EventLog::info("promotion", { { "service", service->name() }, { "endpoint", endpoint }, { "token", token }, { "outcome", promotionOutcomeName(outcome) } });
    if (outcome == PromotionOutcome::NotDone || outcome == PromotionOutcome::Refused)
        progress.notBefore = BootClock::now() + retryDelay;
    co_return outcome == PromotionOutcome::Accepted;
}

Task<bool> PromotionController::isLostForPeers(std::shared_ptr<DatabaseService> service, std::string lost, PeerOpinion& opinion)
{
    const auto peerReports = co_await m_peers.queryPeersAboutPrimary(service->name(), lost);
    const auto answered = std::ranges::count_if(peerReports, &PeerReport::answered);
    const auto seeing = std::ranges::count_if(peerReports, &PeerReport::reachesPrimary);
    const bool isLost = isPrimaryLost(peerReports, true);
    opinion.mayReuseToken = answered > 0 || peerReports.empty();
    opinion.isSeenByNone = seeing == 0;
    EventLog::info("primary_suspected", { { "service", service->name() }, { "endpoint", lost }, { "silence_ms", service->primary() ? toMs(BootClock::now() - service->primary()->lastAnswer) : -1 }, { "peers_asked", peerReports.size() }, { "peers_answered", answered }, { "peers_seeing_it", seeing }, { "lost", isLost } });
    co_return isLost;
}

Task<void> PromotionController::replace(std::shared_ptr<DatabaseService> service, ReplacementReason reason)
{
    auto& progress = m_progress[service->name()];
    const auto lost = service->lastPrimary();
    progress.notBefore = BootClock::now() + retryDelay;
    co_await sleepFor(m_io, randomDelay(milliseconds(0), maxStartJitter));
    if (replacementReason(*service) != reason || service->lastPrimary() != lost)
        co_return;
    if (reason == ReplacementReason::Leaving)
        co_await replaceLeaving(service, lost);
    else if (reason == ReplacementReason::Lost)
        co_await replaceLost(service, lost);
    else
        co_await resumeMembers(service);
}

Task<void> PromotionController::replaceLost(std::shared_ptr<DatabaseService> service, std::string lost)
{
    auto& progress = m_progress[service->name()];
    PeerOpinion opinion;
    const bool isLost = co_await isLostForPeers(service, lost, opinion);
    if (!isLost)
        co_return;
    const std::string except = service->primary() ? lost : "";
    auto answered = co_await m_survey.askAll(service, except);
    if (co_await findOtherPrimary(service, answered))
        co_return;
    const auto situation = situationOf(*service, answered);
    auto choice = previewPromotionCandidate(situation);
    if (!choice.candidate) {
        recordBlock(*service, situation, choice.block);
        co_return;
    }
    if (replacementReason(*service) != ReplacementReason::Lost) {
        EventLog::info("promotion_dropped", { { "service", service->name() }, { "reason", "no longer needed" } });
        co_return;
    }
    auto decidedAt = BootClock::now();
    PromotionTokens::Purpose purpose { service->name(), lost, choice.candidate->id, opinion.mayReuseToken };
    const auto token = co_await takeToken(std::move(purpose));
    if (!token)
        co_return;
    if (service->syncReplicas() > 0) {
        progress.stoppedFor = lost;
        decidedAt = BootClock::now();
        answered = co_await m_survey.stopAll(service, std::move(answered), opinion.isSeenByNone);
        if (co_await findOtherPrimary(service, answered)) {
            // The endpoints that were stopped after that promotion stay so under the new primary.
            progress.stoppedFor = service->lastPrimary();
            co_return;
        }
        const auto stopped = situationOf(*service, answered);
        choice = choosePromotionCandidate(stopped);
        if (!choice.candidate) {
            recordBlock(*service, stopped, choice.block);
            co_return;
        }
    }
    if (isTooOld(*service, decidedAt, PromotionLimits::decisionLifetime))
        co_return;
    const auto& chosen = *choice.candidate;
    EventLog::info("promotion_chosen", { { "service", service->name() }, { "lost", lost }, { "endpoint", chosen.id }, { "received", fmt::format("{}.{}", chosen.received.term, chosen.received.position) }, { "planned", false }, { "draining", chosen.isDraining }, { "answered", answered.size() }, { "members", situation.members }, { "synchronous", situation.syncReplicas } });
    co_await order(service, chosen.id, *token);
}

bool PromotionController::isTooOld(const DatabaseService& service, BootTime decidedAt, milliseconds lifetime)
{
    const auto age = BootClock::now() - decidedAt;
    if (age <= lifetime)
        return false;
    EventLog::warn("promotion_dropped", { { "service", service.name() }, { "reason", "the decision is too old" }, { "age_ms", toMs(age) } });
    return true;
}

Task<bool> PromotionController::findOtherPrimary(std::shared_ptr<DatabaseService> service, std::vector<EndpointStatus> answered)
{
    const auto it = std::ranges::find_if(answered, [](const EndpointStatus& status) { return status.isPrimary; });
    if (it == answered.end())
        co_return false;
    EventLog::info("promotion_dropped", { { "service", service->name() }, { "reason", "another endpoint is primary" }, { "endpoint", it->id }, { "term", it->term } });
    if (const auto endpoint = service->find(it->id))
        co_await service->probe(endpoint);
    co_return true;
}

} // namespace kumquatbank
