#include "PromotionTrigger.h"
#include "GroupView.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace kumquatbank;

namespace {

constexpr std::size_t slotCount = 3;
constexpr std::size_t majority = 2;
/// Longer than the time for which a primary has to be isolated before it is replaced.
constexpr Milliseconds isolation { 1700 };

/// Reports the status of all slots: @p primary leads @p term, and no replica has contact with it.
void reportIsolated(GroupView& view, std::size_t primary, Term term)
{
    for (std::size_t n = 0; n < slotCount; ++n) {
        const bool isPrimary = n == primary;
        view.applyStatus(n, { { "promisedTerm", term }, { "logTerm", term }, { "position", 1 }, { "role", isPrimary ? "primary" : "replica" }, { "claim", 1 }, { "leaving", false }, { "primaryContactMs", isPrimary ? 0 : 60'000 } }, Clock::now(), false);
    }
}

} // namespace

TEST_GROUP(PromotionTrigger) {};

// Guards against a new primary that is replaced at once, by the former one: it was taken for isolated since its
// predecessor was, because the replicas had not had contact with it yet.
TEST(PromotionTrigger, ANewPrimaryIsNotIsolatedSinceItsPredecessorWas)
{
    GroupView view(slotCount, majority);
    PromotionTrigger trigger(view, Milliseconds(60'000));
    reportIsolated(view, 0, 1);
    CHECK_FALSE(trigger.check().has_value());
    std::this_thread::sleep_for(isolation);
    CHECK_TRUE(trigger.check().has_value());
    reportIsolated(view, 1, 2);
    CHECK_FALSE(trigger.check().has_value());
    std::this_thread::sleep_for(isolation);
    CHECK_TRUE(trigger.check().has_value());
}
