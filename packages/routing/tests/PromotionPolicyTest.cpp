#include "kumquatbank/routing/PromotionPolicy.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

EndpointStatus status(const std::string& id, Term term, std::uint64_t position, bool isDraining = false)
{
    EndpointStatus result;
    result.id = id;
    result.received = { term, position };
    result.isDraining = isDraining;
    return result;
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
    STRCMP_EQUAL("b", choosePromotionCandidate({ status("a", 1, 10), status("b", 1, 12) }, 3)->id.c_str());
    STRCMP_EQUAL("b", choosePromotionCandidate({ status("a", 1, 99), status("b", 2, 12) }, 3)->id.c_str());
    CHECK_FALSE(choosePromotionCandidate({}, 0).has_value());
}

// A draining endpoint would have to be replaced again immediately after its promotion.
TEST(PromotionPolicy, ChoosesADrainingEndpointOnlyIfThereIsNoOther)
{
    STRCMP_EQUAL("a", choosePromotionCandidate({ status("a", 1, 10), status("b", 1, 12, true) }, 2)->id.c_str());
    STRCMP_EQUAL("b", choosePromotionCandidate({ status("b", 1, 12, true) }, 2)->id.c_str());
}

// The only endpoint that answers may have been cut off during an earlier change of primary; as the primary it would
// restore commits that this change rolled back.
TEST(PromotionPolicy, RequiresStatusesOfHalfTheEndpoints)
{
    CHECK_FALSE(choosePromotionCandidate({ status("a", 1, 10) }, 3).has_value());
    CHECK_TRUE(choosePromotionCandidate({ status("a", 1, 10) }, 2).has_value());
    CHECK_TRUE(choosePromotionCandidate({ status("a", 1, 10), status("b", 1, 9) }, 3).has_value());
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
