#include "PromotionController.h"

#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Between two attempts to let endpoints resume after a promotion that was not carried out.
    constexpr milliseconds resumeInterval { 1000 };
    /// An endpoint whose slots are all in use refuses the command and is asked again.
    constexpr int surveyAttempts = 3;
    constexpr milliseconds surveyRetryDelay { 80 };

    std::string_view leadName(Lead lead)
    {
        constexpr std::array<std::string_view, 4> names { "unasked", "confirmed", "other", "unknown" };
        return names.at(static_cast<std::size_t>(lead));
    }

} // namespace

Task<Lead> PromotionController::askLead(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> primary)
{
    const auto askedAt = BootClock::now();
    // The probe opens a transaction and runs no statement, so that it takes no slot on an idle connection.
    co_await service->probe(primary);
    LeadEvidence evidence;
    evidence.hasPrimaryAnswered = service->primary() == primary && service->primaryConfirmedAt() >= askedAt;
    evidence.isListedPrimary = primary->entry.role == EndpointRole::Primary && !primary->missingSince;
    evidence.members = service->memberCount();
    for (int n = 0; n < surveyAttempts; ++n) {
        const auto answered = co_await m_survey.askAll(service, primary->entry.id);
        evidence.hasOtherPrimary = co_await findOtherPrimary(service, answered);
        evidence.answeredReplicas = answered.size();
        if (evidence.hasOtherPrimary || evidence.hasPrimaryAnswered || evidence.answeredReplicas + 1 >= evidence.members)
            break;
        co_await sleepFor(m_io, surveyRetryDelay);
    }
    const auto lead = judgeLead(evidence);
    EventLog::info("lead_asked", { { "service", service->name() }, { "endpoint", primary->entry.id }, { "lead", leadName(lead) }, { "primary_answered", evidence.hasPrimaryAnswered }, { "listed_primary", evidence.isListedPrimary }, { "replicas_answered", evidence.answeredReplicas }, { "members", evidence.members } });
    co_return lead;
}

Task<void> PromotionController::resumeMembers(std::shared_ptr<DatabaseService> service)
{
    auto& progress = m_progress[service->name()];
    progress.notBefore = BootClock::now() + resumeInterval;
    const auto primary = service->primary();
    if (!primary)
        co_return;
    const auto name = service->name();
    const auto id = primary->entry.id;
    const auto begunAt = BootClock::now();
    std::optional<std::uint64_t> token;
    ResumeProgress reached;
    auto step = nextResumeStep(reached);
    for (auto previous = step; step != ResumeStep::GiveUp; previous = step) {
        switch (step) {
        case ResumeStep::TakeToken: {
            PromotionTokens::Purpose purpose { name, "", id, false };
            token = co_await takeToken(std::move(purpose));
            if (!token)
                co_return;
            reached.hasToken = true;
            break;
        }
        case ResumeStep::AskLead:
            reached.lead = co_await askLead(service, primary);
            break;
        case ResumeStep::Fence: {
            const bool isAccepted = co_await order(service, id, *token);
            reached.fence = isAccepted ? ResumeProgress::Fence::Accepted : ResumeProgress::Fence::NotAccepted;
            progress.notBefore = BootClock::now() + resumeInterval;
            break;
        }
        case ResumeStep::AwaitEffect:
            co_await sleepFor(m_io, promotionEffectTime);
            reached.isEffectAwaited = true;
            break;
        case ResumeStep::AskLeadAgain:
            reached.leadAfter = co_await askLead(service, primary);
            break;
        case ResumeStep::CheckToken: {
            const bool isNewest = co_await m_tokens.isNewest(name, *token);
            reached.token = isNewest ? ResumeProgress::Token::Newest : ResumeProgress::Token::NotNewest;
            break;
        }
        case ResumeStep::Resume: {
            std::set<std::string> ids;
            for (const auto& [member, endpoint] : service->endpoints()) {
                if (member != id)
                    ids.insert(member);
            }
            const bool areResumed = co_await m_survey.resumeAll(service, std::move(ids), begunAt + resumeSendLimit);
            m_metrics.resumeCompleted(areResumed ? "resumed" : "not_confirmed");
            if (areResumed) {
                progress.stoppedFor.reset();
                service->commits() = {};
            }
            co_return;
        }
        case ResumeStep::GiveUp:
            break;
        }
        reached.age = std::chrono::duration_cast<milliseconds>(BootClock::now() - begunAt);
        step = nextResumeStep(reached);
        if (step == ResumeStep::GiveUp) {
            m_metrics.resumeCompleted(resumeStepName(previous));
            EventLog::warn("resume_given_up", { { "service", name }, { "after", resumeStepName(previous) }, { "age_ms", reached.age.count() } });
        }
    }
}

} // namespace kumquatbank
