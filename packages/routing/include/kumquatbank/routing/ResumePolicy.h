#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

namespace kumquatbank {

/// What is known about who leads a service.
struct LeadEvidence {
    bool hasPrimaryAnswered = false; ///< The primary has accepted a transaction that may write.
    bool isListedPrimary = false; ///< The store lists it as primary.
    bool hasOtherPrimary = false; ///< Another endpoint says that it leads.
    std::size_t members = 0; ///< Endpoints that may hold acknowledged commits, with the primary.
    std::size_t answeredReplicas = 0; ///< Of the other ones, those that answered and do not lead.
};

enum class Lead {
    Unasked,
    Confirmed, ///< The recorded primary leads, or nobody does.
    Other,
    Unknown,
};

/// Stalled commits hold the slots and connections of a primary, so that its own answer is one of two ways: if every other
/// member answers that it does not lead, only the listed primary can.
Lead judgeLead(const LeadEvidence& evidence);

/// Time after an accepted call to promote in which it takes effect; the pages say "some hundred ms".
constexpr std::chrono::milliseconds promotionEffectTime { 1500 };

/// A host that lets endpoints resume sends nothing to them later than this after it began to take its token.
constexpr std::chrono::milliseconds resumeSendLimit { 2300 };
/// Other hosts take no token of a service for this time after they have seen that one was taken to resume its endpoints.
/// Covers resumeSendLimit and the time-out of the last command.
constexpr std::chrono::milliseconds resumeLease { 2800 };

enum class ResumeStep {
    TakeToken, ///< So that no other host begins a promotion, for resumeLease.
    AskLead,
    Fence, ///< A promote call for the present primary changes nothing, and older calls are refused from then on.
    AwaitEffect, ///< Of a promotion that was accepted before the fence.
    AskLeadAgain,
    CheckToken,
    Resume,
    GiveUp, ///< A later attempt begins with the first step.
};

std::string_view resumeStepName(ResumeStep step);

/// How far a host has come in letting endpoints resume that were stopped for a promotion.
struct ResumeProgress {
    enum class Fence {
        NotCalled,
        Accepted,
        NotAccepted,
    };
    enum class Token {
        Unasked,
        Newest,
        NotNewest, ///< Or not known.
    };

    bool hasToken = false;
    Lead lead = Lead::Unasked;
    Fence fence = Fence::NotCalled;
    bool isEffectAwaited = false;
    Lead leadAfter = Lead::Unasked;
    Token token = Token::Unasked;
    std::chrono::milliseconds age { 0 }; ///< Since the host began to take the token.
};

/// The next step. No step needs a slot or a new connection of the primary, nor the host that has stopped the endpoints; a
/// promotion that may still take effect, or that another host has begun, is not undone.
ResumeStep nextResumeStep(const ResumeProgress& progress);

} // namespace kumquatbank
