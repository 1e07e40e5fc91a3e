#include "DescriptorPlan.h"

#include <CppUTest/TestHarness.h>
#include <initializer_list>

using namespace kumquatbank;

TEST_GROUP(DescriptorPlan) {};

// Guards against clients, or any other address, that take the descriptors for files and for the process's own connections.
TEST(DescriptorPlan, TheUsesLeaveDescriptorsForFilesAndOwnConnections)
{
    for (const int limit : { 264, 400, 1024, 4300, 8192, 1 << 20 }) {
        const auto plan = DescriptorPlan::of(limit);
        const auto accepted = plan.clients + plan.peers + plan.loans + 2 * plan.probes;
        CHECK_TRUE(accepted + DescriptorPlan::fileReserve < static_cast<std::size_t>(limit));
        CHECK_TRUE(plan.clients > accepted / 2);
    }
}

// A process that the system grants few descriptors still serves.
TEST(DescriptorPlan, SmallLimitsLeaveSomethingForEachUse)
{
    for (const int limit : { 16, 64, 256 }) {
        const auto plan = DescriptorPlan::of(limit);
        CHECK_TRUE(plan.clients > 0 && plan.peers > 0 && plan.loans > 0 && plan.probes > 0);
    }
}
