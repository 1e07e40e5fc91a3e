#include "kumquatbank/routing/ServiceScheduler.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

constexpr int urgent = 0;
constexpr int background = 2;

} // namespace

TEST_GROUP(ServiceScheduler)
{
    ServiceScheduler scheduler;
    BootTime now = BootTime(std::chrono::seconds(100));
    std::vector<std::string> grantOrder; ///< Names of requests in the order of their grants.
    std::vector<std::unique_ptr<ServiceScheduler::Ticket>> tickets;

    void setup() override
    {
        scheduler.setEndpoint("p", true, true, 2);
        scheduler.setEndpoint("r1", true, false, 2);
        scheduler.setEndpoint("r2", true, false, 2);
    }

    PermitRequest request(Eligibility eligibility, int priority, std::set<std::string> excluded = {})
    {
        PermitRequest request;
        request.eligibility = eligibility;
        request.priority = priority;
        request.queueDeadline = now + milliseconds(500);
        request.excluded = std::move(excluded);
        return request;
    }

    void wait(const std::string& name, const PermitRequest& waiting)
    {
        tickets.push_back(scheduler.enqueue(waiting, now += milliseconds(1), [this, name](const std::string&) { grantOrder.push_back(name); }));
    }

    void acquireAll(Eligibility eligibility)
    {
        while (scheduler.tryAcquire(request(eligibility, urgent))) { }
    }
};

// A replica would refuse the write, and the client would have waited without a result.
TEST(ServiceScheduler, WritesGoToThePrimaryOnly)
{
    STRCMP_EQUAL("p", scheduler.tryAcquire(request(Eligibility::PrimaryOnly, urgent))->c_str());
    STRCMP_EQUAL("p", scheduler.tryAcquire(request(Eligibility::PrimaryOnly, urgent))->c_str());
    CHECK_FALSE(scheduler.tryAcquire(request(Eligibility::PrimaryOnly, urgent)).has_value());
}

// Reads that use all connections of the primary would make writes wait while replicas are idle.
TEST(ServiceScheduler, ReadsLeavePermitsOfThePrimaryForWrites)
{
    acquireAll(Eligibility::Any);
    LONGS_EQUAL(2, scheduler.endpoints().at("r1").inUse);
    LONGS_EQUAL(2, scheduler.endpoints().at("r2").inUse);
    LONGS_EQUAL(1, scheduler.endpoints().at("p").inUse);
    CHECK_TRUE(scheduler.tryAcquire(request(Eligibility::PrimaryOnly, urgent)).has_value());
}

// Load pattern: many hosts with few reads each, and databases that accept fewer connections than there are hosts. Reads
// that alternate between all replicas would open a connection for nearly every read.
TEST(ServiceScheduler, ReadsPreferAnIdleConnectionWhenOpeningIsExpensive)
{
    scheduler.setAnswerTime("r1", milliseconds(1));
    scheduler.setAnswerTime("r2", milliseconds(8));
    scheduler.setOpeningCost("p", milliseconds(30));
    scheduler.setOpeningCost("r1", milliseconds(30));
    const auto open = scheduler.tryAcquire(request(Eligibility::Any, background));
    CHECK_TRUE(open == "r2");
    scheduler.setOpeningCost("r2", milliseconds(30));
    const auto second = scheduler.tryAcquire(request(Eligibility::Any, background));
    CHECK_TRUE(second == "r1");
}

// Load pattern: the replicas lagged for a while, all reads went to the primary, and the replicas have caught up. Reads
// that stay on the busy primary because its connections are open would delay the writes.
TEST(ServiceScheduler, ReadsAvoidABusyPrimaryWithAnIdleConnection)
{
    scheduler.setAnswerTime("p", milliseconds(120));
    scheduler.setAnswerTime("r1", milliseconds(16));
    scheduler.setAnswerTime("r2", milliseconds(16));
    scheduler.setOpeningCost("r1", milliseconds(30));
    scheduler.setOpeningCost("r2", milliseconds(30));
    const auto taken = scheduler.tryAcquire(request(Eligibility::Any, background));
    CHECK_TRUE(taken == "r1" || taken == "r2");
}

// Load pattern: one replica has a long queue, and an idle one has the same network latency.
TEST(ServiceScheduler, ReadsAvoidASlowReplica)
{
    scheduler.setAnswerTime("p", milliseconds(40));
    scheduler.setAnswerTime("r1", milliseconds(200));
    scheduler.setAnswerTime("r2", milliseconds(40));
    for (int n = 0; n < 2; ++n)
        CHECK_TRUE(scheduler.tryAcquire(request(Eligibility::Any, background)) == "r2");
}

TEST(ServiceScheduler, ExcludedAndUnusableEndpointsAreNotChosen)
{
    scheduler.setEndpoint("r2", false, false, 2);
    const auto taken = scheduler.tryAcquire(request(Eligibility::Any, urgent, { "r1" }));
    STRCMP_EQUAL("p", taken->c_str());
    CHECK_FALSE(scheduler.tryAcquire(request(Eligibility::Any, urgent, { "r1", "p" })).has_value());
}

// Load pattern: a burst of background reads is queued when urgent requests arrive.
TEST(ServiceScheduler, UrgentRequestsOvertakeAQueueOfBackgroundWork)
{
    acquireAll(Eligibility::PrimaryOnly);
    for (int n = 0; n < 5; ++n)
        wait("background", request(Eligibility::PrimaryOnly, background));
    wait("urgent", request(Eligibility::PrimaryOnly, urgent));
    scheduler.release("p", milliseconds(10));
    STRCMP_EQUAL("urgent", grantOrder.at(0).c_str());
}

// Load pattern: continuous urgent work. Strict priority would starve all other requests.
TEST(ServiceScheduler, ContinuousUrgentWorkDoesNotStarveTheOldestRequest)
{
    acquireAll(Eligibility::PrimaryOnly);
    wait("background", request(Eligibility::PrimaryOnly, background));
    for (int n = 0; n < 40; ++n)
        wait("urgent", request(Eligibility::PrimaryOnly, urgent));
    for (int n = 0; n < 16; ++n)
        scheduler.release("p", milliseconds(10));
    LONGS_EQUAL(1, std::ranges::count(grantOrder, "background"));
}

TEST(ServiceScheduler, RequestsOfOneClassAreServedInOrderOfArrival)
{
    acquireAll(Eligibility::PrimaryOnly);
    for (const auto* name : { "first", "second", "third" })
        wait(name, request(Eligibility::PrimaryOnly, background));
    for (int n = 0; n < 3; ++n)
        scheduler.release("p", milliseconds(10));
    STRCMP_EQUAL("first", grantOrder.at(0).c_str());
    STRCMP_EQUAL("second", grantOrder.at(1).c_str());
    STRCMP_EQUAL("third", grantOrder.at(2).c_str());
}

// A client that has disconnected must not be granted a connection, because nothing would release it.
TEST(ServiceScheduler, ADestroyedTicketIsNotGranted)
{
    acquireAll(Eligibility::PrimaryOnly);
    wait("left", request(Eligibility::PrimaryOnly, urgent));
    tickets.clear();
    LONGS_EQUAL(0, scheduler.waiting());
    scheduler.release("p", milliseconds(10));
    LONGS_EQUAL(0, grantOrder.size());
    LONGS_EQUAL(1, scheduler.endpoints().at("p").inUse);
}

TEST(ServiceScheduler, WaitingWritesAreGrantedByANewPrimary)
{
    scheduler.setEndpoint("p", false, false, 2);
    wait("write", request(Eligibility::PrimaryOnly, urgent));
    LONGS_EQUAL(0, grantOrder.size());
    scheduler.setEndpoint("r1", true, true, 2);
    LONGS_EQUAL(1, grantOrder.size());
}

TEST(ServiceScheduler, ExpectedWaitGrowsWithTheQueueAndIsUnlimitedWithoutEndpoints)
{
    const auto write = request(Eligibility::PrimaryOnly, urgent);
    LONGS_EQUAL(0, scheduler.expectedWait(write).count());
    acquireAll(Eligibility::PrimaryOnly);
    const auto one = scheduler.expectedWait(write);
    for (int n = 0; n < 20; ++n)
        wait("ahead", write);
    CHECK_TRUE(scheduler.expectedWait(write) > one * 10);
    scheduler.removeEndpoint("p");
    CHECK_TRUE(scheduler.expectedWait(write) == milliseconds::max());
}

// Load pattern: urgent work takes most connections. Background requests that were admitted on the queue length alone
// would wait until their deadline and be refused late.
TEST(ServiceScheduler, ExpectedWaitOfBackgroundWorkIncludesUrgentArrivals)
{
    acquireAll(Eligibility::PrimaryOnly);
    const auto idleWait = scheduler.expectedWait(request(Eligibility::PrimaryOnly, background));
    for (int n = 0; n < 300; ++n) {
        wait("urgent", request(Eligibility::PrimaryOnly, urgent));
        scheduler.release("p", milliseconds(20));
    }
    const auto loadedWait = scheduler.expectedWait(request(Eligibility::PrimaryOnly, background));
    CHECK_TRUE(loadedWait > idleWait * 4);
    CHECK_TRUE(scheduler.expectedWait(request(Eligibility::PrimaryOnly, urgent)) < idleWait * 2);
}

TEST(ServiceScheduler, ReleaseForARemovedEndpointIsIgnored)
{
    CHECK_TRUE(scheduler.tryAcquire(request(Eligibility::PrimaryOnly, urgent)).has_value());
    scheduler.removeEndpoint("p");
    scheduler.release("p", milliseconds(1));
    scheduler.setEndpoint("p", true, true, 2);
    LONGS_EQUAL(0, scheduler.endpoints().at("p").inUse);
}

// Guards against one account that uses all connections of an endpoint although another one waits, and against idle
// connections while only that account waits.
TEST(ServiceScheduler, AccountAboveItsShareGivesWayToAnotherThatWaits)
{
    auto hot = request(Eligibility::PrimaryOnly, urgent);
    hot.account = "hot";
    CHECK_TRUE(scheduler.tryAcquire(hot).has_value());
    CHECK_TRUE(scheduler.tryAcquire(hot).has_value());
    wait("hot", hot);
    auto other = request(Eligibility::PrimaryOnly, background);
    other.account = "other";
    wait("other", other);
    scheduler.release("p", milliseconds(10), "hot");
    CHECK_TRUE(grantOrder == std::vector<std::string>({ "other" }));
    scheduler.release("p", milliseconds(10), "other");
    CHECK_TRUE(grantOrder == std::vector<std::string>({ "other", "hot" }));
}
