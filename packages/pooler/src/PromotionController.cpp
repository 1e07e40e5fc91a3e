#include "PromotionController.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/Random.h"
#include "kumquatbank/routing/FencingToken.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr const char* promotionKind = "kumquatbank-promotions";
    constexpr milliseconds checkInterval { 100 };
    /// A primary is suspected after this time without an answer and primaryFailureThreshold failed attempts to reach
    /// it.
    constexpr milliseconds primarySilenceThreshold { 800 };
    constexpr int primaryFailureThreshold = 2;
    /// A replacement starts when no endpoint has been primary for this time.
    constexpr milliseconds noPrimaryThreshold { 1200 };
    constexpr milliseconds statusTimeout { 400 };
    constexpr milliseconds storeTimeout { 700 };
    constexpr milliseconds promoteTimeout { 1500 };
    /// An older decision is dropped before the call, because the process may have been paused in between.
    constexpr milliseconds decisionLifetime { 1500 };
    /// Time for a promotion to take effect before the next attempt.
    constexpr milliseconds attemptInterval { 2200 };
    constexpr milliseconds retryDelay { 400 };
    /// Time for another host's decision to take effect and to be observed here.
    constexpr milliseconds peerDecisionTimeout { 2500 };
    /// Delay before such a decision is read again; every read is a call to the store.
    constexpr milliseconds peerDecisionRecheckDelay { 1200 };
    /// Where connections are lent, the next holders in rank replace a leaving primary after this time per rank, in case
    /// the holders before them do not.
    constexpr milliseconds leavingRankDelay { 1500 };
    constexpr std::size_t leavingRankCount = 3;
    constexpr int tokenAttempts = 4;
    /// Random delay that spreads the hosts' attempts, so that most find the decision already made.
    constexpr milliseconds maxStartJitter { 150 };
    /// For a planned change: time for the successor to receive the rest of the log.
    constexpr milliseconds catchUpTimeout { 600 };
    constexpr milliseconds catchUpPollInterval { 20 };
    /// For a planned change, in log positions. Writes are not stopped while the successor is further behind.
    constexpr std::uint64_t maxHandOverLag = 50;

} // namespace

PromotionController::PromotionController(asio::io_context& io, std::shared_ptr<ObjectStore> store, const PoolerSettings& settings, ServiceRegistry& registry, PeerService& peers, PoolerMetrics& metrics)
    : m_io(io)
    , m_store(std::move(store))
    , m_settings(settings)
    , m_registry(registry)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_call(std::make_shared<PromotionClient>(io, settings.promotionAddress))
    , m_pausedUntil(BootClock::now())
{
}

void PromotionController::start() { asio::co_spawn(m_io, supervise(), asio::detached); }

Task<void> PromotionController::supervise()
{
    while (true) {
        co_await sleepFor(m_io, checkInterval);
        for (const auto& [name, service] : m_registry.services()) {
            auto& progress = m_progress[name];
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
        return isNext && now - primary->drainingSince >= leavingRankDelay * *rank ? ReplacementReason::Leaving : ReplacementReason::None;
    }
    if (!primary)
        return now - std::max(service.primarySince(), m_pausedUntil) >= noPrimaryThreshold ? ReplacementReason::Lost : ReplacementReason::None;
    if (primary->failures >= primaryFailureThreshold && now - std::max(primary->lastAnswer, m_pausedUntil) >= primarySilenceThreshold)
        return ReplacementReason::Lost;
    return primary->entry.isDraining ? ReplacementReason::Leaving : ReplacementReason::None;
}

Task<void> PromotionController::runReplacement(std::shared_ptr<DatabaseService> service, ReplacementReason reason)
{
    co_await replace(service, reason);
    m_progress[service->name()].isBusy = false;
}

Task<std::optional<EndpointStatus>> PromotionController::queryStatus(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::string command)
{
    auto lease = co_await service->acquireProbe(endpoint, statusTimeout);
    if (!lease)
        co_return std::nullopt;
    const auto sentAt = BootClock::now();
    std::vector<DatabaseReply> replies;
    const auto exchanged = co_await lease->connection().exchange(std::move(command), replies, 1, sentAt + statusTimeout);
    if (exchanged != ExchangeStatus::Ok) {
        service->recordFailure(*endpoint, "status");
        co_return std::nullopt;
    }
    service->recordAnswer(*endpoint, sentAt);
    auto parsed = WireDialect::parseStatusRow(replies[0].firstRow);
    if (!parsed) {
        EventLog::warn("status_refused", { { "service", service->name() }, { "endpoint", endpoint->entry.id }, { "code", replies[0].code ? errorCodeName(*replies[0].code) : "unreadable" } });
        co_return std::nullopt;
    }
    parsed->id = endpoint->entry.id;
    parsed->isDraining = endpoint->entry.isDraining;
    co_return parsed;
}

Task<std::vector<EndpointStatus>> PromotionController::queryStatuses(std::shared_ptr<DatabaseService> service, std::string except)
{
    std::vector<std::shared_ptr<Endpoint>> queried;
    for (const auto& [id, endpoint] : service->endpoints()) {
        if (id != except && !endpoint->missingSince)
            queried.push_back(endpoint);
    }
    // Concurrently, because an endpoint that does not answer takes the whole timeout.
    std::vector<EndpointStatus> found;
    std::size_t missing = queried.size();
    const auto waiter = std::make_shared<AutoResetEvent>(m_io);
    const auto queryOne = [&, waiter](std::shared_ptr<Endpoint> endpoint) -> Task<void> {
        const auto command = WireDialect::status();
        auto answered = co_await queryStatus(service, endpoint, command);
        if (answered)
            found.push_back(std::move(*answered));
        if (--missing == 0)
            waiter->wake();
    };
    for (const auto& endpoint : queried)
        asio::co_spawn(m_io, queryOne(endpoint), asio::detached);
    // The lambda queryOne is part of this coroutine's frame, so all calls must end before the coroutine does.
    while (missing > 0)
        co_await waiter->wait(BootClock::now() + statusTimeout);
    co_return found;
}

bool PromotionController::leavesToPeer(const std::string& service, const PromotionDecision& decision, StoreRevision revision, const std::string& lost)
{
    auto& progress = m_progress[service];
    if (progress.peerDecisionRevision != revision) {
        progress.peerDecisionRevision = revision;
        progress.peerDecisionSeenAt = BootClock::now();
    }
    // One of an earlier era is older than the copy from which the store has come back.
    const bool isOfThisEra = decision.era == revision.era;
    // A decision for an endpoint other than the one that this host considers lost is newer than the recorded state of
    // this host, or has not taken effect yet.
    const bool namesOtherEndpoint = !decision.endpoint.empty() && decision.endpoint != lost;
    if (decision.run == m_runId || !isOfThisEra || !namesOtherEndpoint || BootClock::now() - progress.peerDecisionSeenAt >= peerDecisionTimeout)
        return false;
    EventLog::info("promotion_left_to_peer", { { "service", service }, { "peer", decision.holder }, { "token", decision.token }, { "era", decision.era } });
    progress.notBefore = BootClock::now() + peerDecisionRecheckDelay;
    return true;
}

std::optional<std::uint64_t> PromotionController::reuseToken(const std::string& service, const std::string& storeDetail, bool mayReuse) const
{
    const auto held = m_progress.at(service).heldToken;
    if (held != 0 && mayReuse) {
        EventLog::warn("promotion_token_reused", { { "service", service }, { "token", held }, { "store", storeDetail } });
        return held;
    }
    EventLog::warn("promotion_without_store", { { "service", service }, { "store", storeDetail }, { "held_token", held } });
    return std::nullopt;
}

Task<std::optional<std::uint64_t>> PromotionController::takeToken(const std::string& service, const std::string& lost, const std::string& candidate, bool mayReuse)
{
    auto& progress = m_progress[service];
    std::uniform_int_distribution<std::uint64_t> stepDistribution(1, FencingToken::maxStep);
    std::uint64_t unconfirmedToken = 0; // Of a write whose answer is missing; 0 if there is none.
    for (int n = 0; n < tokenAttempts; ++n) {
        const auto current = co_await m_store->get(promotionKind, service, storeTimeout);
        m_metrics.storeCall("get_promotion", storeStatusName(current.status));
        const auto era = current.revision.era;
        if (current.status == StoreStatus::Ok && !current.objects.empty()) {
            const auto decision = PromotionDecision::parse(current.objects.front().content, era);
            if (!decision) {
                EventLog::error("promotion_object_unreadable", { { "service", service }, { "revision", current.revision.number } });
                co_return std::nullopt;
            }
            EventLog::info("promotion_object_read", { { "service", service }, { "token", decision->token }, { "token_era", decision->era }, { "revision", current.revision.number }, { "era", era }, { "by", decision->holder } });
            if (leavesToPeer(service, *decision, current.revision, lost))
                co_return std::nullopt;
            progress.newestToken = std::max(progress.newestToken, decision->token);
            if (decision->run == m_runId && decision->era == era && decision->token == unconfirmedToken) {
                progress.heldToken = unconfirmedToken;
                co_return unconfirmedToken;
            }
        } else if (current.status == StoreStatus::NotFound) {
            EventLog::info("promotion_object_absent", { { "service", service }, { "era", era }, { "newest_token", progress.newestToken } });
        } else {
            co_return reuseToken(service, current.detail, mayReuse);
        }
        PromotionDecision decision;
        decision.token = FencingToken::next(progress.newestToken, era, stepDistribution(randomEngine()));
        decision.era = era;
        decision.run = m_runId;
        decision.holder = m_settings.host;
        decision.lost = lost;
        decision.endpoint = candidate;
        StoreObject object;
        object.name = service;
        object.revision = current.revision;
        object.content = decision.toJson();
        const auto written = co_await m_store->put(promotionKind, object, storeTimeout);
        m_metrics.storeCall("take_promotion", storeStatusName(written.status));
        progress.newestToken = decision.token;
        if (written.status == StoreStatus::Ok) {
            progress.heldToken = decision.token;
            co_return decision.token;
        }
        if (written.status == StoreStatus::Unknown)
            unconfirmedToken = decision.token;
        EventLog::info("promotion_token_not_confirmed", { { "service", service }, { "token", decision.token }, { "era", era }, { "status", storeStatusName(written.status) } });
    }
    EventLog::warn("promotion_token_not_taken", { { "service", service }, { "attempts", tokenAttempts } });
    co_return std::nullopt;
}

Task<bool> PromotionController::handOver(std::shared_ptr<DatabaseService> service, EndpointStatus candidate)
{
    const auto primary = service->primary();
    const auto successor = service->find(candidate.id);
    if (!primary || !successor)
        co_return false;
    const auto statusCommand = WireDialect::status();
    const auto before = co_await queryStatus(service, primary, statusCommand);
    if (!before || !before->isPrimary || candidate.received.position + maxHandOverLag < before->received.position) {
        EventLog::info("hand_over_waits", { { "service", service->name() }, { "candidate", candidate.id }, { "reason", before ? "successor is behind" : "primary has no status" } });
        co_return false;
    }
    const auto demoteCommand = WireDialect::demote(before->term + 1);
    const auto demoted = co_await queryStatus(service, primary, demoteCommand);
    EventLog::info("primary_demoted", { { "service", service->name() }, { "endpoint", primary->entry.id }, { "term", before->term + 1 }, { "accepted", demoted && !demoted->isPrimary } });
    const auto target = demoted ? demoted->received : before->received;
    const auto until = BootClock::now() + catchUpTimeout;
    while (BootClock::now() < until) {
        const auto now = co_await queryStatus(service, successor, statusCommand);
        if (now && now->received >= target)
            co_return true;
        co_await sleepFor(m_io, catchUpPollInterval);
    }
    EventLog::warn("hand_over_incomplete", { { "service", service->name() }, { "candidate", candidate.id }, { "waited_ms", toMs(catchUpTimeout) } });
    co_return true;
}

Task<void> PromotionController::replace(std::shared_ptr<DatabaseService> service, ReplacementReason reason)
{
    auto& progress = m_progress[service->name()];
    const auto lost = service->lastPrimary();
    progress.notBefore = BootClock::now() + retryDelay;
    co_await sleepFor(m_io, randomDelay(milliseconds(0), maxStartJitter));
    if (replacementReason(*service) != reason || service->lastPrimary() != lost)
        co_return;
    // A host that reaches neither the store nor a peer may be partitioned itself, so it must not reuse its token.
    bool mayReuseToken = true;
    if (reason == ReplacementReason::Lost) {
        const auto peerReports = co_await m_peers.queryPeersAboutPrimary(service->name(), lost);
        const auto answered = std::ranges::count_if(peerReports, &PeerReport::answered);
        const auto seeing = std::ranges::count_if(peerReports, &PeerReport::reachesPrimary);
        const bool isLost = isPrimaryLost(peerReports, true);
        mayReuseToken = answered > 0 || peerReports.empty();
        EventLog::info("primary_suspected", { { "service", service->name() }, { "endpoint", lost }, { "silence_ms", service->primary() ? toMs(BootClock::now() - service->primary()->lastAnswer) : -1 }, { "peers_asked", peerReports.size() }, { "peers_answered", answered }, { "peers_seeing_it", seeing }, { "lost", isLost } });
        if (!isLost)
            co_return;
    }
    const std::string except = service->primary() ? lost : "";
    const auto found = co_await queryStatuses(service, except);
    for (const auto& status : found) {
        if (status.isPrimary && !status.isDraining) {
            co_await service->probe(service->find(status.id));
            co_return;
        }
    }
    const auto known = std::ranges::count_if(service->endpoints(), [](const auto& item) { return !item.second->missingSince; });
    const auto candidate = choosePromotionCandidate(found, static_cast<std::size_t>(known));
    if (!candidate || replacementReason(*service) != reason) {
        EventLog::info("promotion_dropped", { { "service", service->name() }, { "reason", candidate ? "no longer needed" : "too few endpoints answer" }, { "answered", found.size() }, { "known", known } });
        co_return;
    }
    const auto decidedAt = BootClock::now();
    const auto token = co_await takeToken(service->name(), lost, candidate->id, mayReuseToken);
    if (!token)
        co_return;
    if (reason == ReplacementReason::Leaving) {
        const bool isReady = co_await handOver(service, *candidate);
        if (!isReady)
            co_return;
    }
    if (BootClock::now() - decidedAt > decisionLifetime + (reason == ReplacementReason::Leaving ? catchUpTimeout : milliseconds(0))) {
        EventLog::warn("promotion_dropped", { { "service", service->name() }, { "reason", "the decision is too old" }, { "age_ms", toMs(BootClock::now() - decidedAt) } });
        co_return;
    }
    PromotionRequest order;
    order.service = service->name();
    order.endpoint = candidate->id;
    order.holder = m_settings.host;
    order.token = *token;
    progress.notBefore = BootClock::now() + attemptInterval;
    const auto outcome = co_await m_call->promote(order, promoteTimeout);
    m_metrics.promotionCompleted(promotionOutcomeName(outcome));
    EventLog::info("promotion", { { "service", service->name() }, { "lost", lost }, { "endpoint", candidate->id }, { "received", fmt::format("{}.{}", candidate->received.term, candidate->received.position) }, { "token", *token }, { "planned", reason == ReplacementReason::Leaving }, { "outcome", promotionOutcomeName(outcome) } });
    if (outcome == PromotionOutcome::NotDone || outcome == PromotionOutcome::Refused)
        progress.notBefore = BootClock::now() + retryDelay;
}

} // namespace kumquatbank
