#include "PromotionTokens.h"

#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/Random.h"
#include "kumquatbank/routing/FencingToken.h"
#include "kumquatbank/routing/ResumePolicy.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr ObjectKind promotionKind { "kumquatbank-promotions", AnswerReader::Promotions, PromotionDecision::fields, {}, true };
    constexpr milliseconds storeTimeout { 700 };
    /// Time for another host's decision to take effect and to be observed here.
    constexpr milliseconds peerDecisionTimeout { 2500 };
    constexpr int tokenAttempts = 4;

} // namespace

bool PromotionTokens::leavesToPeer(const Purpose& purpose, const PromotionDecision& decision, StoreRevision revision)
{
    auto& tokens = m_services[purpose.service];
    if (tokens.peerDecisionRevision != revision) {
        tokens.peerDecisionRevision = revision;
        tokens.peerDecisionSeenAt = BootClock::now();
    }
    // One of an earlier era is older than the copy from which the store has come back.
    const bool isOfThisEra = decision.era == revision.era;
    // The peer may be about to let endpoints resume; what is stopped meanwhile would be undone.
    const bool isResumption = decision.lost.empty() && !decision.endpoint.empty();
    // A decision for an endpoint other than the one that this host considers lost is newer than the recorded state of
    // this host, or has not taken effect yet.
    const bool namesOtherEndpoint = !decision.endpoint.empty() && decision.endpoint != purpose.lost;
    const auto patience = isResumption ? resumeLease : peerDecisionTimeout;
    if (decision.run == m_runId || !isOfThisEra || (!namesOtherEndpoint && !isResumption) || BootClock::now() - tokens.peerDecisionSeenAt >= patience)
        return false;
    EventLog::info("promotion_left_to_peer", { { "service", purpose.service }, { "peer", decision.holder }, { "token", decision.token }, { "era", decision.era }, { "resumes", isResumption } });
    return true;
}

std::optional<std::uint64_t> PromotionTokens::reuse(const Purpose& purpose, const std::string& storeDetail) const
{
    const auto held = m_services.at(purpose.service).held;
    if (held != 0 && purpose.mayReuse) {
        EventLog::warn("promotion_token_reused", { { "service", purpose.service }, { "token", held }, { "store", storeDetail } });
        return held;
    }
    EventLog::warn("promotion_without_store", { { "service", purpose.service }, { "store", storeDetail }, { "held_token", held } });
    return std::nullopt;
}

Task<StoreListing> PromotionTokens::read(std::string service)
{
    const auto store = m_store; // New settings may replace it during the call.
    auto current = co_await store->get(promotionKind, std::move(service), storeTimeout);
    m_metrics.storeCall("get_promotion", storeStatusName(current.status));
    co_return current;
}

Task<bool> PromotionTokens::isNewest(std::string service, std::uint64_t token)
{
    const auto current = co_await read(service);
    if (current.status != StoreStatus::Ok || current.objects.empty())
        co_return false;
    const auto known = PromotionDecision::parse(current.objects.front().content, current.revision.era);
    co_return known && known->run == m_runId && known->token == token && known->era == current.revision.era;
}

Task<PromotionTokens::Result> PromotionTokens::take(Purpose purpose)
{
    const auto& service = purpose.service;
    auto& tokens = m_services[service];
    std::uniform_int_distribution<std::uint64_t> stepDistribution(1, FencingToken::maxStep);
    std::uint64_t unconfirmedToken = 0; // Of a write whose answer is missing; 0 if there is none.
    for (int n = 0; n < tokenAttempts; ++n) {
        const auto current = co_await read(service);
        const auto era = current.revision.era;
        const bool isPresent = current.status == StoreStatus::Ok && !current.objects.empty();
        if (!isPresent && current.status != StoreStatus::NotFound)
            co_return Result { reuse(purpose, current.detail) };
        const auto known = isPresent ? PromotionDecision::parse(current.objects.front().content, era) : std::nullopt;
        // Written by another writer. It is replaced, because no primary could be promoted otherwise.
        const bool isUnreadable = isPresent && !known;
        if (known) {
            EventLog::info("promotion_object_read", { { "service", service }, { "token", known->token }, { "token_era", known->era }, { "revision", current.revision.number }, { "era", era }, { "by", known->holder } });
            if (leavesToPeer(purpose, *known, current.revision))
                co_return Result { std::nullopt, true };
            tokens.newest = std::max(tokens.newest, known->token);
            if (known->run == m_runId && known->era == era && known->token == unconfirmedToken) {
                tokens.held = unconfirmedToken;
                co_return Result { unconfirmedToken };
            }
        } else if (isUnreadable) {
            EventLog::error("promotion_object_unreadable", { { "service", service }, { "revision", current.revision.number }, { "newest_token", tokens.newest } });
        } else {
            EventLog::info("promotion_object_absent", { { "service", service }, { "era", era }, { "newest_token", tokens.newest } });
        }
        const auto step = stepDistribution(randomEngine());
        PromotionDecision decision;
        decision.token = isUnreadable ? FencingToken::afterUnknown(tokens.newest, era, step) : FencingToken::next(tokens.newest, era, step);
        decision.era = era;
        decision.run = m_runId;
        decision.holder = m_host;
        decision.lost = purpose.lost;
        decision.endpoint = purpose.candidate;
        StoreObject object;
        object.name = service;
        object.revision = current.revision;
        object.content = decision.toJson();
        const auto store = m_store;
        const auto written = co_await store->put(promotionKind, object, storeTimeout);
        m_metrics.storeCall("take_promotion", storeStatusName(written.status));
        tokens.newest = decision.token;
        if (written.status == StoreStatus::Ok) {
            tokens.held = decision.token;
            co_return Result { decision.token };
        }
        if (written.status == StoreStatus::Unknown)
            unconfirmedToken = decision.token;
        EventLog::info("promotion_token_not_confirmed", { { "service", service }, { "token", decision.token }, { "era", era }, { "status", storeStatusName(written.status) } });
    }
    EventLog::warn("promotion_token_not_taken", { { "service", service }, { "attempts", tokenAttempts } });
    co_return Result {};
}

} // namespace kumquatbank
