#include "LoadSimulation.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <numeric>

using namespace kumquatbank;
using std::chrono::milliseconds;
using Milliseconds = LoadSimulation::Milliseconds;
using Clients = std::vector<LoadSimulation::Client>;

namespace {

constexpr std::size_t accountCount = 86;

/// Order of requests before there were accounts: by priority, then by arrival; every eighth grant to the oldest. Serves
/// two endpoints without regard to their costs.
class OrderWithoutAccounts {
public:
    struct Waiting {
        int id;
        int priority;
        bool needsPrimary;
        BootTime arrivedAt;
    };

    void add(const Waiting& request)
    {
        m_waiting.insert(std::ranges::upper_bound(m_waiting, request.priority, {}, &Waiting::priority), request);
    }
    /// Returns the id of the request that is granted next; -1 if none can be.
    int next(bool isPrimaryFree, bool isPrimaryFreeForReads, bool isReplicaFree)
    {
        const auto isServable = [&](const Waiting& request) { return request.needsPrimary ? isPrimaryFree : isReplicaFree || isPrimaryFreeForReads; };
        const bool byAge = (m_grants + 1) % 8 == 0;
        auto best = m_waiting.end();
        for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
            if (isServable(*it) && (best == m_waiting.end() || (byAge && it->arrivedAt < best->arrivedAt)))
                best = it;
        }
        if (best == m_waiting.end())
            return -1;
        ++m_grants;
        const int id = best->id;
        m_waiting.erase(best);
        return id;
    }

private:
    std::vector<Waiting> m_waiting; ///< By priority, then by arrival.
    unsigned m_grants = 0;
};

/// Worth of the operations of all accounts but @p left that were served in time.
double worthOfOthers(const Clients& clients, const std::string& left, bool passesAccounts)
{
    double worth = 0;
    for (const unsigned seed : { 1U, 2U }) {
        for (const auto& [account, result] : LoadSimulation(clients, passesAccounts, seed).run(Milliseconds(20'000), Milliseconds(2'000)))
            worth += account == left ? 0 : result.worth;
    }
    return worth;
}

/// Fraction of their worth that the others lose when the largest account sends ten times its usual traffic.
double lossOfOthers(bool sendsOnlyUrgent, bool passesAccounts)
{
    auto clients = LoadSimulation::usualClients(accountCount, LoadSimulation::fullLoad());
    const auto hot = clients.front().account;
    const auto usual = worthOfOthers(clients, hot, passesAccounts);
    clients.front().perSecond *= 10;
    if (sendsOnlyUrgent)
        clients.front().shares = { 1, 0, 0 };
    return 1.0 - worthOfOthers(clients, hot, passesAccounts) / usual;
}

/// Fraction of the time granted to two accounts that "a" gets.
double shareOfFirst(const Clients& clients, bool passesAccounts, Milliseconds from, Milliseconds until)
{
    auto results = LoadSimulation(clients, passesAccounts, 1).run(until, from);
    return results["a"].held / (results["a"].held + results["b"].held);
}

} // namespace

TEST_GROUP(QueueingOrder)
{
    ServiceScheduler scheduler;
    BootTime now = BootTime(std::chrono::seconds(100));
    std::vector<std::string> grantOrder;
    std::vector<std::unique_ptr<ServiceScheduler::Ticket>> tickets;

    PermitRequest request(std::string account, int priority, milliseconds deadline = milliseconds(500))
    {
        return { Eligibility::PrimaryOnly, priority, now + deadline, {}, std::move(account), 100 };
    }

    void wait(const std::string& name, const PermitRequest& waiting)
    {
        tickets.push_back(scheduler.enqueue(waiting, now += milliseconds(1), [this, name](const std::string&) { grantOrder.push_back(name); }));
    }

    /// Releases the only permit after @p hold, @p count times.
    void release(int count, const std::string& account, milliseconds hold = milliseconds(10))
    {
        for (int n = 0; n < count; ++n) {
            scheduler.advanceTo(now += hold);
            scheduler.release("p", hold, PermitCharge { Eligibility::PrimaryOnly, account });
        }
    }
};

// Guards against a change of the order in deployments without accounts.
TEST(QueueingOrder, WithoutAccountsEveryGrantIsThatOfTheOrderBefore)
{
    int grants = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        ServiceScheduler service;
        OrderWithoutAccounts reference;
        std::vector<std::unique_ptr<ServiceScheduler::Ticket>> waiting;
        std::vector<std::string> held;
        std::vector<int> granted;
        std::vector<int> expected;
        service.setEndpoint("p", true, true, 4);
        service.setEndpoint("r", true, false, 3);
        for (int id = 0; id < 2000; ++id) {
            now += milliseconds(random() % 5);
            service.advanceTo(now);
            if (random() % 2 == 0) {
                const bool needsPrimary = random() % 3 == 0;
                const PermitRequest request { needsPrimary ? Eligibility::PrimaryOnly : Eligibility::Any, static_cast<int>(random() % 3), now + milliseconds(random() % 100) };
                if (const auto endpoint = service.tryAcquire(request)) {
                    held.push_back(*endpoint);
                    continue;
                }
                reference.add({ id, request.priority, needsPrimary, now });
                waiting.push_back(service.enqueue(request, now, [&, id](const std::string& endpoint) {
                    granted.push_back(id);
                    held.push_back(endpoint);
                }));
            } else if (!held.empty()) {
                std::swap(held[random() % held.size()], held.back());
                const auto endpoint = held.back();
                held.pop_back();
                auto inUse = [&](const std::string& name) { return std::ranges::count(held, name); };
                if (const auto id = reference.next(inUse("p") < 4, inUse("p") < 2, inUse("r") < 3); id >= 0)
                    expected.push_back(id);
                service.release(endpoint, milliseconds(10), PermitCharge {});
            }
        }
        CHECK_TRUE(granted == expected);
        grants += static_cast<int>(granted.size());
    }
    CHECK_TRUE(grants > 5000);
}

// Load pattern: all slots used, and the largest of 86 accounts sends ten times its usual traffic. By priority and arrival
// alone, the others lose 17 to 47 % of the worth of their operations.
TEST(QueueingOrder, AnAccountAtTenTimesItsTrafficCostsTheOthersLessThanATenth)
{
    for (const bool sendsOnlyUrgent : { false, true }) {
        CHECK_TRUE(lossOfOthers(sendsOnlyUrgent, false) > 0.1);
        CHECK_TRUE(lossOfOthers(sendsOnlyUrgent, true) < 0.1);
    }
}

// Load pattern: two accounts of equal weight, one of which sends five times the capacity and the other three times.
TEST(QueueingOrder, AccountsOfEqualWeightShareEvenly)
{
    const auto load = LoadSimulation::fullLoad();
    const Clients clients { { "a", 100, load * 3 }, { "b", 100, load * 5 } };
    DOUBLES_EQUAL(0.5, shareOfFirst(clients, true, Milliseconds(2'000), Milliseconds(20'000)), 0.05);
    CHECK_TRUE(shareOfFirst(clients, false, Milliseconds(2'000), Milliseconds(20'000)) < 0.45);
}

// Load pattern: an account used all slots for ten seconds while nobody else wanted them. Guards against an idle account that
// is given all slots for as long as the other one was alone.
TEST(QueueingOrder, AnIdleAccountGetsNoCreditForThePast)
{
    const auto load = LoadSimulation::fullLoad();
    const Clients clients { { "a", 100, load * 3 }, { "b", 100, load * 3, { 1, 1, 1 }, Milliseconds(10'000) } };
    const auto share = shareOfFirst(clients, true, Milliseconds(10'000), Milliseconds(11'000));
    DOUBLES_EQUAL(0.5, share, 0.1);
}

// Load pattern: one account sends ten times its usual traffic, all of the least urgent kind.
TEST(QueueingOrder, ABurstOfTheLeastUrgentKindDoesNotDelayTheUrgent)
{
    auto clients = LoadSimulation::usualClients(accountCount, LoadSimulation::fullLoad() * 0.8);
    clients.front().perSecond *= 10;
    clients.front().shares = { 0, 0, 1 };
    int sent = 0;
    int served = 0;
    for (const auto& [account, result] : LoadSimulation(clients, true, 1).run(Milliseconds(20'000), Milliseconds(2'000))) {
        sent += result.sent[0];
        served += result.served[0];
    }
    CHECK_TRUE(sent > 500);
    CHECK_TRUE(served > sent * 99 / 100);
}

// Load pattern: an account sends urgent work continuously, beside another one or alone. Its own background request must not
// wait for ever.
TEST(QueueingOrder, ContinuousUrgentWorkOfAnAccountDoesNotStarveItsOwnBackground)
{
    scheduler.setEndpoint("p", true, true, 1);
    scheduler.tryAcquire(request("hot", 0));
    wait("background", request("hot", 2, milliseconds(60'000)));
    for (int n = 0; n < 60; ++n) {
        wait("urgent", request("hot", 0));
        if (n % 4 == 0)
            wait("other", request("other", 0));
    }
    release(60, "hot");
    LONGS_EQUAL(1, std::ranges::count(grantOrder, "background"));
}

// Load pattern: a hot account has filled the queue with requests that hold permits for long. The request of a small one is
// granted next, so it must not be refused by a wait that counts the hot account's requests.
TEST(QueueingOrder, TheExpectedWaitOfASmallAccountLeavesOutTheQueueOfAHotOne)
{
    scheduler.setEndpoint("p", true, true, 1);
    scheduler.tryAcquire(request("hot", 0));
    for (int n = 0; n < 60; ++n)
        wait("hot", request("hot", 0, milliseconds(60'000)));
    for (int n = 0; n < 40; ++n) {
        const bool isHot = grantOrder.empty() || grantOrder.back() == "hot";
        if (isHot)
            wait("small", request("small", 0));
        release(1, isHot ? "hot" : "small", milliseconds(isHot ? 100 : 1));
    }
    CHECK_TRUE(scheduler.isOverShare({ Eligibility::PrimaryOnly, "hot" }));
    CHECK_TRUE(scheduler.expectedWait(request("small", 0)) < scheduler.expectedWait(request("hot", 0, milliseconds(60'000))) / 4);
    const auto granted = grantOrder.size();
    wait("small", request("small", 0));
    release(1, grantOrder.back());
    STRCMP_EQUAL("small", grantOrder.at(granted).c_str());
}

// Guards against requests of one account that expire behind others that have more time.
TEST(QueueingOrder, WithinAnAccountTheEarliestDeadlineThatCanBeMetIsFirst)
{
    scheduler.setEndpoint("p", true, true, 1);
    scheduler.tryAcquire(request("a", 0));
    wait("late", request("a", 1, milliseconds(400)));
    wait("early", request("a", 1, milliseconds(100)));
    wait("missed", request("a", 1, milliseconds(5)));
    release(3, "a");
    STRCMP_EQUAL("early", grantOrder.at(0).c_str());
    STRCMP_EQUAL("late", grantOrder.at(1).c_str());
    STRCMP_EQUAL("missed", grantOrder.at(2).c_str());
}
