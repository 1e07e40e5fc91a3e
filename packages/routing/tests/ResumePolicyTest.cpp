#include "kumquatbank/routing/ResumePolicy.h"

#include <deque>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

// Behind the standard headers, because it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

using Policy = std::function<ResumeStep(const ResumeProgress&)>;

/// One state of a service whose replicas are stopped for a promotion, of the platform, and of two hosts: a decider, which may
/// promote a replica at any time and end after each of its steps, and a resumer, which follows a policy and may end as well.
/// Both begin anew after their end. Numbers are small, so that all states can be visited.
struct Model {
    static constexpr int maxDecisions = 3;
    static constexpr int maxResumptions = 3;

    // Platform and databases.
    int seenToken = 0; ///< Newest one that a call had.
    bool isPromoting = false; ///< An accepted call has not taken effect yet.
    int promotionEpoch = 0; ///< Resumptions before the decision that is taking effect.
    bool isReplaced = false; ///< The replica leads.
    bool areStopped = false;
    int newestToken = 0; ///< In the store.
    int resumptions = 0; ///< Times that replicas were let go.
    // A promote call without an answer, which may be executed at any time; 0 if there is none.
    int orderToken = 0;
    int orderEpoch = 0;
    // The decider.
    int decisions = 0;
    int deciderToken = 0; ///< 0 if no decision is under way.
    bool hasStopped = false;
    int deciderEpoch = 0;
    // The resumer.
    int resumerToken = 0; ///< 0 if no resumption is under way.
    bool hasLease = false; ///< Others may still have to wait for the resumer.
    ResumeProgress progress {};
    int attempts = 0;
    // What must not happen: a promotion chosen before replicas were let go has taken effect after it.
    bool isLost = false;

    auto key() const
    {
        const auto step = std::tuple(progress.hasToken, progress.lead, progress.fence, progress.isEffectAwaited, progress.leadAfter, progress.token);
        return std::tuple(std::tuple(seenToken, isPromoting, promotionEpoch, isReplaced, areStopped, newestToken, resumptions, orderToken, orderEpoch), std::tuple(decisions, deciderToken, hasStopped, deciderEpoch, resumerToken, hasLease, attempts, isLost), step);
    }

    void beginPromotion(int token, int epoch)
    {
        if (token < seenToken)
            return;
        seenToken = token;
        if (isReplaced || isPromoting)
            return;
        isPromoting = true;
        promotionEpoch = epoch;
    }

    void endResumption()
    {
        resumerToken = 0;
        progress = {};
    }
};

using Models = std::vector<Model>;

template <typename Change>
void add(Models& next, const Model& from, Change change)
{
    auto model = from;
    change(model);
    next.push_back(model);
}

/// Steps of the platform that need nobody.
void addPlatformSteps(Models& next, const Model& model)
{
    if (model.orderToken != 0) {
        add(next, model, [](Model& it) {
            it.beginPromotion(it.orderToken, it.orderEpoch);
            it.orderToken = 0;
        });
        add(next, model, [](Model& it) { it.orderToken = 0; });
    }
    if (model.isPromoting) {
        add(next, model, [](Model& it) {
            it.isPromoting = false;
            it.isReplaced = true;
            it.areStopped = false;
            it.isLost = it.isLost || it.promotionEpoch < it.resumptions;
        });
    }
}

void addDeciderSteps(Models& next, const Model& model, bool respectsLease)
{
    if (model.deciderToken == 0) {
        if (model.decisions < Model::maxDecisions && !model.isReplaced && !(respectsLease && model.hasLease))
            add(next, model, [](Model& it) { it.deciderToken = it.newestToken = it.newestToken + 1; ++it.decisions; });
        return;
    }
    // It may end after each step.
    add(next, model, [](Model& it) { it.deciderToken = 0; it.hasStopped = false; });
    if (!model.hasStopped) {
        add(next, model, [](Model& it) {
            it.hasStopped = true;
            it.areStopped = it.areStopped || !it.isReplaced;
            it.deciderEpoch = it.resumptions;
        });
    } else if (model.orderToken == 0) {
        add(next, model, [](Model& it) {
            it.orderToken = it.deciderToken;
            it.orderEpoch = it.deciderEpoch;
            it.deciderToken = 0;
            it.hasStopped = false;
        });
    }
}

void addResumerSteps(Models& next, const Model& model, const Policy& policy)
{
    if (model.resumerToken == 0 && model.hasLease)
        add(next, model, [](Model& it) { it.hasLease = false; });
    if (model.attempts > 0 && model.resumerToken != 0)
        add(next, model, [](Model& it) { it.endResumption(); });
    const auto lead = model.isReplaced ? Lead::Other : Lead::Confirmed;
    switch (policy(model.progress)) {
    case ResumeStep::TakeToken:
        if (model.attempts < Model::maxResumptions && model.areStopped && !model.isReplaced)
            add(next, model, [](Model& it) { it.resumerToken = it.newestToken = it.newestToken + 1; it.hasLease = true; it.progress.hasToken = true; ++it.attempts; });
        break;
    case ResumeStep::AskLead:
        add(next, model, [lead](Model& it) { it.progress.lead = lead; });
        break;
    case ResumeStep::Fence:
        add(next, model, [](Model& it) {
            const bool isAccepted = it.resumerToken >= it.seenToken;
            it.seenToken = std::max(it.seenToken, it.resumerToken);
            it.progress.fence = isAccepted && !it.isReplaced ? ResumeProgress::Fence::Accepted : ResumeProgress::Fence::NotAccepted;
        });
        break;
    case ResumeStep::AwaitEffect:
        // What was accepted before takes effect in this time.
        if (!model.isPromoting)
            add(next, model, [](Model& it) { it.progress.isEffectAwaited = true; });
        break;
    case ResumeStep::AskLeadAgain:
        add(next, model, [lead](Model& it) { it.progress.leadAfter = lead; });
        break;
    case ResumeStep::CheckToken:
        add(next, model, [](Model& it) { it.progress.token = it.newestToken == it.resumerToken ? ResumeProgress::Token::Newest : ResumeProgress::Token::NotNewest; });
        break;
    case ResumeStep::Resume:
        add(next, model, [](Model& it) {
            it.resumptions += it.areStopped ? 1 : 0;
            it.areStopped = false;
            it.hasLease = false;
            it.endResumption();
        });
        break;
    case ResumeStep::GiveUp:
        add(next, model, [](Model& it) { it.endResumption(); });
        break;
    }
}

struct Exploration {
    std::size_t states = 0;
    bool canLose = false;
    std::size_t resumed = 0; ///< States in which replicas were let go by the resumer.
    bool hasDeadEnd = false; ///< A state from which replicas stay stopped, though hosts go on.
};

Exploration explore(const Policy& policy, bool respectsLease = true)
{
    std::map<decltype(Model().key()), std::size_t> known;
    Models states;
    std::vector<std::vector<std::size_t>> sources;
    const auto visit = [&](const Model& model, std::size_t from) {
        const auto [it, isNew] = known.emplace(model.key(), states.size());
        if (isNew) {
            states.push_back(model);
            sources.emplace_back();
        }
        sources[it->second].push_back(from);
    };
    visit({}, 0);
    for (std::size_t n = 0; n < states.size(); ++n) {
        const auto model = states[n];
        Models next;
        addPlatformSteps(next, model);
        addDeciderSteps(next, model, respectsLease);
        addResumerSteps(next, model, policy);
        for (const auto& it : next)
            visit(it, n);
    }
    Exploration found;
    found.states = states.size();
    std::deque<std::size_t> pending;
    std::vector<bool> reachesService(states.size(), false);
    for (std::size_t n = 0; n < states.size(); ++n) {
        found.canLose = found.canLose || states[n].isLost;
        found.resumed += states[n].resumptions > 0 ? 1 : 0;
        if (!states[n].areStopped) {
            reachesService[n] = true;
            pending.push_back(n);
        }
    }
    while (!pending.empty()) {
        const auto n = pending.front();
        pending.pop_front();
        for (const auto from : sources[n]) {
            if (!reachesService[from]) {
                reachesService[from] = true;
                pending.push_back(from);
            }
        }
    }
    for (std::size_t n = 0; n < states.size(); ++n)
        found.hasDeadEnd = found.hasDeadEnd || (!reachesService[n] && states[n].attempts < Model::maxResumptions);
    return found;
}

/// The policy without one of its steps: what the step would have found out is taken for granted.
Policy without(std::function<void(ResumeProgress&)> assume)
{
    return [assume](ResumeProgress progress) {
        assume(progress);
        return nextResumeStep(progress);
    };
}

} // namespace

TEST_GROUP(ResumePolicy) {};

// Guards against a confirmed change that is lost, and against replicas that nobody lets go: all orders of the steps of two hosts,
// which may end after each of them, and of a platform that carries out calls late.
TEST(ResumePolicy, NoOrderOfStepsUndoesAPromotionOrLeavesReplicasStopped)
{
    const auto found = explore(nextResumeStep);
    UT_PRINT(std::to_string(found.states).append(" states").c_str());
    CHECK_TRUE(found.states > 500);
    CHECK_TRUE(found.resumed > 0);
    CHECK_FALSE(found.canLose);
    CHECK_FALSE(found.hasDeadEnd);
}

// Each step is needed: the model finds a lost change without it.
TEST(ResumePolicy, EachStepPreventsALostChange)
{
    CHECK_TRUE(explore(without([](ResumeProgress& it) { it.fence = ResumeProgress::Fence::Accepted; })).canLose);
    CHECK_TRUE(explore(without([](ResumeProgress& it) { it.isEffectAwaited = true; })).canLose);
    CHECK_TRUE(explore(nextResumeStep, false).canLose);
    CHECK_TRUE(explore(without([](ResumeProgress& it) { it.hasToken = true; })).canLose);
}

// Each way out of the steps, by what was found out.
TEST(ResumePolicy, WhatIsNotConfirmedEndsTheAttempt)
{
    ResumeProgress progress;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::TakeToken);
    progress.hasToken = true;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::AskLead);
    for (const auto lead : { Lead::Other, Lead::Unknown }) {
        progress.lead = lead;
        CHECK_TRUE(nextResumeStep(progress) == ResumeStep::GiveUp);
    }
    progress.lead = Lead::Confirmed;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::Fence);
    progress.fence = ResumeProgress::Fence::NotAccepted;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::GiveUp);
    progress.fence = ResumeProgress::Fence::Accepted;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::AwaitEffect);
    progress.isEffectAwaited = true;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::AskLeadAgain);
    progress.leadAfter = Lead::Other;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::GiveUp);
    progress.leadAfter = Lead::Confirmed;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::CheckToken);
    progress.token = ResumeProgress::Token::NotNewest;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::GiveUp);
    progress.token = ResumeProgress::Token::Newest;
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::Resume);
    // Frozen in between: another host may have begun a promotion.
    progress.age = resumeSendLimit + std::chrono::milliseconds(1);
    CHECK_TRUE(nextResumeStep(progress) == ResumeStep::GiveUp);
}

TEST(ResumePolicy, ALeadIsConfirmedByThePrimaryOrByAllOthers)
{
    LeadEvidence evidence;
    evidence.members = 3;
    CHECK_TRUE(judgeLead(evidence) == Lead::Unknown);
    evidence.answeredReplicas = 2;
    CHECK_TRUE(judgeLead(evidence) == Lead::Unknown);
    evidence.isListedPrimary = true;
    CHECK_TRUE(judgeLead(evidence) == Lead::Confirmed);
    evidence.answeredReplicas = 1;
    CHECK_TRUE(judgeLead(evidence) == Lead::Unknown);
    evidence.hasPrimaryAnswered = true;
    CHECK_TRUE(judgeLead(evidence) == Lead::Confirmed);
    evidence.hasOtherPrimary = true;
    CHECK_TRUE(judgeLead(evidence) == Lead::Other);
}
