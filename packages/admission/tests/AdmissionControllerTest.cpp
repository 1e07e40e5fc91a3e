#include "kumquatbank/admission/admission.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

using namespace kumquatbank;

namespace {

constexpr Milliseconds longWait { 20'000 };

CatalogueEntry makeEntry(const std::string& name, Rank rank, double floorPercent = 0)
{
    CatalogueEntry entry;
    entry.name = name;
    entry.owner = name + "-owner";
    entry.rank = rank;
    entry.floorPercent = floorPercent;
    entry.maxQueue = longWait;
    return entry;
}

AdmissionOptions optionsWithCapacity(unsigned capacity)
{
    AdmissionOptions options;
    options.capacity = capacity;
    return options;
}

/// Polls until other threads have made the condition true.
void waitUntil(const std::function<bool()>& condition)
{
    const auto deadline = Deadline::after(longWait);
    while (!condition() && !deadline.hasPassed())
        std::this_thread::sleep_for(Milliseconds(1));
    CHECK_TRUE(condition());
}

/// Requests that each wait in a separate thread; records the order in which they ran.
class QueuedRequests {
public:
    explicit QueuedRequests(AdmissionController& controller)
        : m_controller(controller)
    {
    }

    ~QueuedRequests() { join(); }

    /// Submits one request and returns once it waits or was refused.
    void add(const CatalogueEntry& entry, Milliseconds service = Milliseconds(0))
    {
        const auto expected = m_controller.waiting() + 1;
        const auto refusedBefore = m_refused.load();
        m_threads.emplace_back([this, entry, service] {
            auto ticket = m_controller.admit(entry, Deadline::after(longWait));
            const std::scoped_lock lock(m_mutex);
            if (!ticket) {
                ++m_refused;
                CHECK_TRUE(ticket.error().verdict == Verdict::NotRun);
                return;
            }
            m_order.push_back(entry.name);
            std::this_thread::sleep_for(service);
        });
        waitUntil([&] { return m_controller.waiting() >= expected || m_refused > refusedBefore; });
    }

    void join()
    {
        for (auto& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    std::vector<std::string> order() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_order;
    }

    std::size_t refused() const { return m_refused; }

private:
    AdmissionController& m_controller;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_order;
    std::atomic<std::size_t> m_refused { 0 };
    std::deque<std::thread> m_threads;
};

/// Submits requests of an entry from @p count threads in a loop and sums the connection time they received.
class LoadGenerator {
public:
    LoadGenerator(AdmissionController& controller, const CatalogueEntry& entry, int count, Milliseconds service)
    {
        for (int n = 0; n < count; ++n) {
            m_threads.emplace_back([this, &controller, entry, service](const std::stop_token& stop) {
                while (!stop.stop_requested()) {
                    const auto ticket = controller.admit(entry, Deadline::after(longWait));
                    if (!ticket) {
                        std::this_thread::sleep_for(Milliseconds(1));
                        continue;
                    }
                    std::this_thread::sleep_for(service);
                    m_serviceMs += service.count();
                }
            });
        }
    }

    void stop()
    {
        for (auto& thread : m_threads)
            thread.request_stop();
        m_threads.clear();
    }

    double serviceMs() const { return static_cast<double>(m_serviceMs.load()); }

private:
    std::atomic<std::int64_t> m_serviceMs { 0 };
    std::vector<std::jthread> m_threads;
};

} // namespace

TEST_GROUP(AdmissionController) {};

// Guards against an urgent request waiting behind less urgent ones that arrived earlier.
TEST(AdmissionController, MostUrgentRankGoesFirst)
{
    AdmissionController controller(optionsWithCapacity(1));
    auto running = controller.admit(makeEntry("first", Rank::Background), Deadline::after(longWait));
    CHECK_TRUE(running.has_value());
    QueuedRequests queued(controller);
    queued.add(makeEntry("lookup", Rank::Background));
    queued.add(makeEntry("save", Rank::Urgent));
    running->release();
    queued.join();
    CHECK_TRUE(queued.order().front() == "save");
}

// Guards against starvation of a rank: without floors, a save overload leaves no connections for proofs and tickets.
TEST(AdmissionController, RankKeepsItsFloorUnderUrgentOverload)
{
    const auto shareOfPulls = [](AdmissionPolicy policy) {
        auto options = optionsWithCapacity(8);
        options.policy = policy;
        AdmissionController controller(options);
        LoadGenerator saves(controller, makeEntry("save", Rank::Urgent), 30, Milliseconds(3));
        LoadGenerator pulls(controller, makeEntry("pull", Rank::Normal), 10, Milliseconds(6));
        std::this_thread::sleep_for(Milliseconds(800));
        const double total = saves.serviceMs() + pulls.serviceMs();
        const double share = pulls.serviceMs() / total;
        saves.stop();
        pulls.stop();
        return share;
    };
    CHECK_TRUE(shareOfPulls(AdmissionPolicy::RankedWithFloors) >= 0.8 * 0.20);
    CHECK_TRUE(shareOfPulls(AdmissionPolicy::RankedWithFloors) <= 1.6 * 0.20);
    CHECK_TRUE(shareOfPulls(AdmissionPolicy::StrictPriority) < 0.05);
}

// Guards against an entry losing its floor to another entry of its rank that sends many more requests.
TEST(AdmissionController, EntryKeepsItsFloorAgainstAFloodInItsRank)
{
    auto options = optionsWithCapacity(8);
    options.rankFloorPercent = { 0, 0, 0 };
    AdmissionController controller(options);
    LoadGenerator saves(controller, makeEntry("save", Rank::Urgent), 30, Milliseconds(3));
    LoadGenerator flood(controller, makeEntry("flood", Rank::Normal), 60, Milliseconds(3));
    LoadGenerator proofs(controller, makeEntry("proof", Rank::Normal, 25), 10, Milliseconds(3));
    std::this_thread::sleep_for(Milliseconds(800));
    const double total = saves.serviceMs() + flood.serviceMs() + proofs.serviceMs();
    const double share = proofs.serviceMs() / total;
    saves.stop();
    flood.stop();
    proofs.stop();
    CHECK_TRUE(share >= 0.8 * 0.25);
}

// Guards against one entry filling the queue of its rank, so that every other entry of the rank is refused.
TEST(AdmissionController, FullQueueEvictsFromTheEntryWithMostWaitingRequests)
{
    auto options = optionsWithCapacity(1);
    options.maxWaiting = { 4, 4, 4 };
    AdmissionController controller(options);
    auto running = controller.admit(makeEntry("first", Rank::Normal), Deadline::after(longWait));
    QueuedRequests queued(controller);
    for (int n = 0; n < 4; ++n)
        queued.add(makeEntry("flood", Rank::Normal));
    CHECK_EQUAL(0, queued.refused());
    queued.add(makeEntry("proof", Rank::Normal));
    CHECK_EQUAL(4, controller.waiting());
    running->release();
    queued.join();
    CHECK_EQUAL(1, queued.refused());
    const auto order = queued.order();
    CHECK_TRUE(std::ranges::find(order, "proof") <= order.begin() + 1);
}

// Guards against unbounded queues and against refusals without entry, owner, cause or retryAfter.
TEST(AdmissionController, RefusesAtOnceWithEntryOwnerCauseAndRetryAfter)
{
    auto options = optionsWithCapacity(1);
    options.maxWaiting = { 2, 2, 2 };
    AdmissionController controller(options);
    auto running = controller.admit(makeEntry("proof", Rank::Normal), Deadline::after(longWait));
    QueuedRequests queued(controller);
    queued.add(makeEntry("proof", Rank::Normal));
    queued.add(makeEntry("proof", Rank::Normal));
    const auto before = Clock::now();
    const auto refused = controller.admit(makeEntry("proof", Rank::Normal), Deadline::after(longWait));
    CHECK_TRUE(Clock::now() - before < longWait / 10);
    CHECK_FALSE(refused.has_value());
    CHECK_TRUE(refused.error().verdict == Verdict::NotRun);
    CHECK_TRUE(refused.error().code == FailureCode::Refused);
    CHECK_TRUE(refused.error().cause == Cause::RankQueue);
    STRCMP_EQUAL("proof", refused.error().entry.c_str());
    STRCMP_EQUAL("proof-owner", refused.error().owner.c_str());
    CHECK_TRUE(refused.error().retryAfter > Milliseconds(0));
    running->release();
}

// Guards against queueing a request whose expected wait on arrival already exceeds its deadline or maxQueue.
TEST(AdmissionController, RefusesWhenTheExpectedWaitExceedsTheDeadline)
{
    AdmissionController controller(optionsWithCapacity(1));
    const auto entry = makeEntry("pull", Rank::Normal);
    for (int n = 0; n < 3; ++n) {
        const auto ticket = controller.admit(entry, Deadline::after(longWait));
        std::this_thread::sleep_for(Milliseconds(40));
    }
    auto running = controller.admit(entry, Deadline::after(longWait));
    QueuedRequests queued(controller);
    for (int n = 0; n < 10; ++n)
        queued.add(entry);
    const auto expected = controller.expectedWait(Rank::Normal);
    CHECK_TRUE(expected >= Milliseconds(10 * 40));
    const auto before = Clock::now();
    const auto refused = controller.admit(entry, Deadline::after(expected / 2));
    CHECK_TRUE(Clock::now() - before < expected / 4);
    CHECK_TRUE(refused.error().cause == Cause::RankQueue);
    auto shortWaitEntry = entry;
    shortWaitEntry.maxQueue = expected / 2;
    CHECK_FALSE(controller.admit(shortWaitEntry, Deadline::after(longWait)).has_value());
    running->release();
}

// Guards against a wrong cause: with no request ahead in the queue, the shortage is in connections.
TEST(AdmissionController, BusyConnectionsAreReportedAsFleetCapacity)
{
    AdmissionController controller(optionsWithCapacity(1));
    auto running = controller.admit(makeEntry("lookup", Rank::Background), Deadline::after(longWait));
    const auto refused = controller.admit(makeEntry("save", Rank::Urgent), Deadline::after(Milliseconds(30)));
    CHECK_TRUE(refused.error().cause == Cause::FleetCapacity);
    CHECK_EQUAL(0, controller.waiting());
}

// Guards against connections released twice, so that more requests run than the endpoint accepts, or never.
TEST(AdmissionController, TicketsAreReturnedExactlyOnce)
{
    AdmissionController controller(optionsWithCapacity(2));
    const auto entry = makeEntry("save", Rank::Urgent);
    auto first = controller.admit(entry, Deadline::after(longWait)).value();
    auto second = controller.admit(entry, Deadline::after(longWait)).value();
    first.release();
    first.release();
    CHECK_EQUAL(1, controller.running());
    auto moved = std::move(second);
    CHECK_EQUAL(1, controller.running());
    moved = std::move(first);
    CHECK_EQUAL(0, controller.running());

    LoadGenerator saves(controller, entry, 8, Milliseconds(1));
    LoadGenerator pulls(controller, makeEntry("pull", Rank::Normal), 8, Milliseconds(1));
    std::size_t mostRunning = 0;
    for (int n = 0; n < 100; ++n) {
        mostRunning = std::max(mostRunning, controller.running());
        std::this_thread::sleep_for(Milliseconds(2));
    }
    saves.stop();
    pulls.stop();
    CHECK_EQUAL(2, mostRunning);
    CHECK_EQUAL(0, controller.running());
    CHECK_EQUAL(0, controller.waiting());
}

// Guards against urgent requests finding all connections occupied by long requests of lower ranks.
TEST(AdmissionController, KeepsConnectionsFreeForRecentUrgentTraffic)
{
    const auto startedAfterSaves = [](double idleBudget) {
        auto options = optionsWithCapacity(12);
        options.urgentIdleBudget = idleBudget;
        AdmissionController controller(options);
        {
            LoadGenerator saves(controller, makeEntry("save", Rank::Urgent), 6, Milliseconds(5));
            std::this_thread::sleep_for(Milliseconds(800));
        }
        std::vector<AdmissionTicket> lookups;
        for (int n = 0; n < 12; ++n) {
            if (auto ticket = controller.admit(makeEntry("lookup", Rank::Background), Deadline::after(Milliseconds(1))))
                lookups.push_back(std::move(*ticket));
        }
        return lookups.size();
    };
    CHECK_TRUE(startedAfterSaves(0.04) < 12);
    CHECK_EQUAL(12, startedAfterSaves(0));
}
