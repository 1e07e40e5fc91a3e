#include "kumquatbank/routing/ResumePolicy.h"

#include <array>

namespace kumquatbank {

Lead judgeLead(const LeadEvidence& evidence)
{
    if (evidence.hasOtherPrimary)
        return Lead::Other;
    const bool isOnlyCandidate = evidence.isListedPrimary && evidence.answeredReplicas + 1 >= evidence.members;
    return evidence.hasPrimaryAnswered || isOnlyCandidate ? Lead::Confirmed : Lead::Unknown;
}

std::string_view resumeStepName(ResumeStep step)
{
    constexpr std::array<std::string_view, 8> names { "take_token", "ask_lead", "fence", "await_effect", "ask_lead_again", "check_token", "resume", "give_up" };
    return names.at(static_cast<std::size_t>(step));
}

ResumeStep nextResumeStep(const ResumeProgress& progress)
{
    if (!progress.hasToken)
        return ResumeStep::TakeToken;
    if (progress.age > resumeSendLimit)
        return ResumeStep::GiveUp;
    if (progress.lead == Lead::Unasked)
        return ResumeStep::AskLead;
    if (progress.lead != Lead::Confirmed)
        return ResumeStep::GiveUp;
    if (progress.fence == ResumeProgress::Fence::NotCalled)
        return ResumeStep::Fence;
    if (progress.fence == ResumeProgress::Fence::NotAccepted)
        return ResumeStep::GiveUp;
    if (!progress.isEffectAwaited)
        return ResumeStep::AwaitEffect;
    if (progress.leadAfter == Lead::Unasked)
        return ResumeStep::AskLeadAgain;
    if (progress.leadAfter != Lead::Confirmed)
        return ResumeStep::GiveUp;
    if (progress.token == ResumeProgress::Token::Unasked)
        return ResumeStep::CheckToken;
    return progress.token == ResumeProgress::Token::Newest ? ResumeStep::Resume : ResumeStep::GiveUp;
}

} // namespace kumquatbank
