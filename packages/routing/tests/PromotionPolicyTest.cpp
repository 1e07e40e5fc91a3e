#include "kumquatbank/routing/PromotionPolicy.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds longServingTime { 5000 };
constexpr unsigned randomSeed = 30;

EndpointStatus status(const std::string& id, Term term, std::uint64_t position, bool isDraining = false, milliseconds servingTime = longServingTime)
{
    EndpointStatus result;
    result.id = id;
    result.received = { term, position };
    result.isDraining = isDraining;
    result.servingTime = servingTime;
    return result;
}

EndpointStatus stopped(EndpointStatus status)
{
    status.isStopped = true;
    return status;
}

/// Three endpoints, of which the primary is lost.
PromotionSituation situation(std::vector<EndpointStatus> answered, int syncReplicas = 0)
{
    PromotionSituation result;
    result.answered = std::move(answered);
    result.listedEndpoints = 3;
    result.members = 3;
    result.syncReplicas = syncReplicas;
    return result;
}

std::string chosen(const PromotionSituation& situation)
{
    const auto choice = choosePromotionCandidate(situation);
    return choice.candidate ? choice.candidate->id : std::string(promotionBlockName(choice.block));
}

std::vector<PeerReport> reports(int reaching, int notReaching, int notAnswering)
{
    std::vector<PeerReport> result;
    result.insert(result.end(), reaching, { true, true });
    result.insert(result.end(), notReaching, { true, false });
    result.insert(result.end(), notAnswering, { false, false });
    return result;
}

} // namespace

TEST_GROUP(PromotionPolicy) {};

TEST(PromotionPolicy, ChoosesTheNewestReceivedPosition)
{
    STRCMP_EQUAL("b", chosen(situation({ status("a", 1, 10), status("b", 1, 12) })).c_str());
    STRCMP_EQUAL("b", chosen(situation({ status("a", 1, 99), status("b", 2, 12) })).c_str());
    STRCMP_EQUAL("too_few_answered", chosen({}).c_str());
}

// Guards against the loss of commits that only an endpoint about to leave has received.
TEST(PromotionPolicy, ANewerLogCountsMoreThanStaying)
{
    STRCMP_EQUAL("b", chosen(situation({ status("a", 1, 10), status("b", 1, 12, true) })).c_str());
    STRCMP_EQUAL("a", chosen(situation({ status("a", 1, 12), status("b", 1, 12, true) })).c_str());
    STRCMP_EQUAL("a", chosen(situation({ status("b", 1, 12, true), status("a", 1, 12) })).c_str());
}

// Guards against requests at an endpoint whose time to serve has ended.
TEST(PromotionPolicy, AnEndpointWithoutServingTimeIsPromotedOnlyToHandOver)
{
    const auto ending = status("b", 1, 12, true, minServingTime - milliseconds(1));
    auto alone = situation({ ending });
    alone.listedEndpoints = 1;
    STRCMP_EQUAL("leaving", chosen(alone).c_str());
    alone.answered.push_back(status("c", 1, 11, true, milliseconds(0)));
    STRCMP_EQUAL("leaving", chosen(alone).c_str());
    STRCMP_EQUAL("b", chosen(situation({ status("a", 1, 10), ending })).c_str());
    alone.answered = { status("b", 1, 12, true, minServingTime) };
    STRCMP_EQUAL("b", chosen(alone).c_str());
}

// The only endpoint that answers may have been cut off during an earlier change of primary; as the primary it would
// restore commits that this change rolled back.
TEST(PromotionPolicy, RequiresStatusesOfHalfTheEndpoints)
{
    STRCMP_EQUAL("too_few_answered", chosen(situation({ status("a", 1, 10) })).c_str());
    auto two = situation({ status("a", 1, 10) });
    two.listedEndpoints = 2;
    STRCMP_EQUAL("a", chosen(two).c_str());
    STRCMP_EQUAL("a", chosen(situation({ status("a", 1, 10), status("b", 1, 9) })).c_str());
}

// Guards against a promotion while the endpoint that holds the newest acknowledged commits is silent, has disappeared or
// is not known yet.
TEST(PromotionPolicy, SynchronousReplicasRequireAnAnswerOfOneInEveryPossibleSet)
{
    const auto a = stopped(status("a", 1, 10));
    const auto b = stopped(status("b", 1, 9));
    STRCMP_EQUAL("too_few_answered", chosen(situation({ a }, 1)).c_str());
    STRCMP_EQUAL("a", chosen(situation({ a, b }, 1)).c_str());
    auto disappeared = situation({ a, b }, 1);
    disappeared.members = 4;
    STRCMP_EQUAL("too_few_answered", chosen(disappeared).c_str());
    auto unknown = situation({ a, b }, 1);
    unknown.areMembersKnown = false;
    STRCMP_EQUAL("members_unknown", chosen(unknown).c_str());
    STRCMP_EQUAL("a", chosen(situation({ a }, 2)).c_str());
    // The former primary, which leads no more, counts like any other member.
    auto formerPrimary = situation({ stopped(status("p", 1, 12)), b }, 1);
    STRCMP_EQUAL("p", chosen(formerPrimary).c_str());
}

// Guards against commits that are acknowledged between the choice and the promotion.
TEST(PromotionPolicy, SynchronousReplicasHaveToBeStopped)
{
    const auto a = status("a", 1, 10);
    const auto b = status("b", 1, 9);
    STRCMP_EQUAL("not_stopped", chosen(situation({ a, b }, 1)).c_str());
    STRCMP_EQUAL("not_stopped", chosen(situation({ a, stopped(b) }, 1)).c_str());
    STRCMP_EQUAL("a", previewPromotionCandidate(situation({ a, b }, 1)).candidate->id.c_str());
    // The newer position of a member that is not stopped is no proof.
    auto five = situation({ a, stopped(b), stopped(status("c", 1, 8)), stopped(status("d", 1, 9)) }, 1);
    five.members = 4;
    STRCMP_EQUAL("b", chosen(five).c_str());
}

// Any acknowledged commit is on the primary and on as many other members as are synchronous. For random sets of members
// that answer and random logs, the choice never lacks one.
TEST(PromotionPolicy, ChosenLogsHaveEveryAcknowledgedCommit)
{
    constexpr int rounds = 20'000;
    std::mt19937 random(randomSeed);
    int choices = 0;
    for (int n = 0; n < rounds; ++n) {
        const std::size_t replicas = 1 + random() % 5;
        const int synchronous = 1 + static_cast<int>(random() % replicas);
        std::vector<std::uint64_t> logs(replicas);
        std::ranges::generate(logs, [&] { return random() % 6; });
        auto sorted = logs;
        std::ranges::sort(sorted, std::ranges::greater());
        // The position that the required number of replicas has received.
        const auto acknowledged = sorted[static_cast<std::size_t>(synchronous) - 1];
        PromotionSituation drawn;
        drawn.members = drawn.listedEndpoints = replicas + 1;
        drawn.syncReplicas = synchronous;
        for (std::size_t i = 0; i < replicas; ++i) {
            if (random() % 3 == 0)
                continue;
            drawn.answered.push_back(status(std::to_string(i), 1, logs[i], random() % 3 == 0));
            drawn.answered.back().isStopped = random() % 8 != 0;
        }
        const auto choice = choosePromotionCandidate(drawn);
        if (!choice.candidate)
            continue;
        ++choices;
        CHECK_TRUE_TEXT(choice.candidate->received.position >= acknowledged, ("seed " + std::to_string(randomSeed) + ", round " + std::to_string(n)).c_str());
    }
    CHECK_TRUE(choices > rounds / 10);
}

// A leaving primary hands over only to an endpoint that stays and has its whole log.
TEST(PromotionPolicy, SuccessorsStay)
{
    STRCMP_EQUAL("a", chooseSuccessor({ status("a", 1, 10), status("b", 1, 12, true), status("c", 1, 9) })->id.c_str());
    CHECK_FALSE(chooseSuccessor({ status("b", 1, 12, true) }).has_value());
    CHECK_FALSE(hasWholeLog(status("a", 1, 10), { 1, 11 }));
    CHECK_FALSE(hasWholeLog(status("a", 1, 99), { 2, 3 }));
    CHECK_TRUE(hasWholeLog(status("a", 1, 11), { 1, 11 }));
}

// An endpoint that was first seen draining may have reported it at any time before.
TEST(PromotionPolicy, ServiceOfADrainingEndpointEnds)
{
    const auto now = BootTime(std::chrono::hours(1));
    CHECK_TRUE(drainingServiceEnd(std::nullopt, milliseconds(7000), now) <= now);
    const auto known = now - milliseconds(2000);
    CHECK_TRUE(drainingServiceEnd(known, milliseconds(7000), now) < known + milliseconds(7000));
    CHECK_TRUE(drainingServiceEnd(known, milliseconds(7000), now) > now);
}

// A single host that is cut off from a healthy primary must not replace it.
TEST(PromotionPolicy, MajorityOfAnsweringPeersMustNotReachThePrimary)
{
    CHECK_FALSE(isPrimaryLost(reports(7, 0, 0), true));
    CHECK_FALSE(isPrimaryLost(reports(4, 3, 0), true));
    CHECK_TRUE(isPrimaryLost(reports(3, 4, 0), true));
    CHECK_TRUE(isPrimaryLost(reports(0, 2, 5), true));
}

TEST(PromotionPolicy, DecidesWithoutPeersOnlyIfAllowed)
{
    CHECK_TRUE(isPrimaryLost(reports(0, 0, 7), true));
    CHECK_FALSE(isPrimaryLost(reports(0, 0, 7), false));
    CHECK_TRUE(isPrimaryLost({}, false));
}
