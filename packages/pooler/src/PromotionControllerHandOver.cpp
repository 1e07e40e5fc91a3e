#include "PromotionController.h"

#include "kumquatbank/engine/EventLog.h"

#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// For a planned change: time for the successor to receive the rest of the log.
    constexpr milliseconds catchUpTimeout { 600 };
    constexpr milliseconds catchUpPollInterval { 20 };
    /// For a planned change, in log positions. Writes are not stopped while the successor is further behind.
    constexpr std::uint64_t maxHandOverLag = 50;

} // namespace

Task<std::optional<EndpointStatus>> PromotionController::handOver(std::shared_ptr<DatabaseService> service, EndpointStatus successor)
{
    const auto primary = service->primary();
    const auto endpoint = service->find(successor.id);
    if (!primary || !endpoint)
        co_return std::nullopt;
    const auto statusCommand = WireDialect::status();
    const auto before = co_await m_survey.ask(service, primary, statusCommand);
    if (!before.status || !before.status->isPrimary || successor.received.position + maxHandOverLag < before.status->received.position) {
        EventLog::info("hand_over_waits", { { "service", service->name() }, { "candidate", successor.id }, { "reason", before.status ? "successor is behind" : "primary has no status" } });
        co_return std::nullopt;
    }
    const auto demoteCommand = WireDialect::demote(before.status->term + 1);
    auto demoted = co_await m_survey.ask(service, primary, demoteCommand);
    // Its answer may have been lost after it took effect.
    if (!demoted.status)
        demoted = co_await m_survey.ask(service, primary, statusCommand);
    const bool isDemoted = demoted.status && !demoted.status->isPrimary;
    EventLog::info("primary_demoted", { { "service", service->name() }, { "endpoint", primary->entry.id }, { "term", before.status->term + 1 }, { "accepted", isDemoted } });
    if (!isDemoted)
        co_return std::nullopt;
    const auto until = BootClock::now() + catchUpTimeout;
    while (BootClock::now() < until) {
        const auto now = co_await m_survey.ask(service, endpoint, statusCommand);
        if (now.status && hasWholeLog(*now.status, demoted.status->received))
            co_return now.status;
        co_await sleepFor(m_io, catchUpPollInterval);
    }
    // The former primary has every commit and can hand over again later.
    EventLog::warn("hand_over_incomplete", { { "service", service->name() }, { "candidate", successor.id }, { "waited_ms", toMs(catchUpTimeout) }, { "reinstated", primary->entry.id } });
    co_return demoted.status;
}

Task<void> PromotionController::replaceLeaving(std::shared_ptr<DatabaseService> service, std::string lost)
{
    const auto answered = co_await m_survey.askAll(service, lost);
    if (co_await findOtherPrimary(service, answered))
        co_return;
    const auto successor = chooseSuccessor(answered);
    if (!successor || replacementReason(*service) != ReplacementReason::Leaving) {
        EventLog::info("promotion_dropped", { { "service", service->name() }, { "reason", successor ? "no longer needed" : "no endpoint that stays answers" }, { "answered", answered.size() } });
        co_return;
    }
    const auto decidedAt = BootClock::now();
    PromotionTokens::Purpose purpose { service->name(), lost, successor->id, true };
    const auto token = co_await takeToken(std::move(purpose));
    if (!token)
        co_return;
    const auto chosen = co_await handOver(service, *successor);
    if (!chosen || isTooOld(*service, decidedAt, PromotionLimits::decisionLifetime + catchUpTimeout))
        co_return;
    EventLog::info("promotion_chosen", { { "service", service->name() }, { "lost", lost }, { "endpoint", chosen->id }, { "received", fmt::format("{}.{}", chosen->received.term, chosen->received.position) }, { "planned", true }, { "draining", chosen->isDraining } });
    co_await order(service, chosen->id, *token);
}

} // namespace kumquatbank
