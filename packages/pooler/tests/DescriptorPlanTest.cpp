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

// Guards against a crowd whose unread input exceeds the memory of the smallest host.
TEST(DescriptorPlan, UnreadInputOfAllClientsFitsIntoAQuarterOfTheMemory)
{
    for (const auto& [limit, memoryMb] : { std::pair(4300, std::size_t { 160 }), std::pair(4200, std::size_t { 260 }), std::pair(264, std::size_t { 160 }) }) {
        const auto plan = DescriptorPlan::of(limit);
        const auto bytes = plan.unreadBytesPerClient(memoryMb);
        CHECK_TRUE(bytes * plan.clients <= (memoryMb << 20) / 4);
        CHECK_TRUE(bytes >= 4096);
    }
}
