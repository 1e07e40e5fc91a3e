#include "kumquatbank/routing/ServicePacing.h"
#include "kumquatbank/routing/ServiceScheduler.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>

using namespace kumquatbank;
using std::chrono::milliseconds;

TEST_GROUP(EndpointHealth)
{
    ServicePacing pacing;
    std::minstd_rand random { 11 };
    BootTime now = BootTime(std::chrono::seconds(1000));

    void setup() override
    {
        for (const auto* id : { "a", "b", "c" })
            pacing.setEndpoint(id, true, 14, 1);
    }

    void record(const std::string& id, bool isGood)
    {
        pacing.record(id, isGood ? StatementOutcome::Good : StatementOutcome::Failed, milliseconds(18), now, 1, now);
    }

    /// Statements to each endpoint, of which a share fails; @p perSecond on each.
    void sendStatements(milliseconds duration, int perSecond, double a, double b, double c)
    {
        const auto end = now + duration;
        while (now < end) {
            for (const auto& [id, share] : { std::pair("a", a), std::pair("b", b), std::pair("c", c) })
                record(id, !std::bernoulli_distribution(share)(random));
            now += milliseconds(1000 / perSecond);
            pacing.compare(now);
        }
    }
};

// Guards against an endpoint that fails 0.4 of its statements for minutes while its entry and its probes look good.
TEST(EndpointHealth, AFailingEndpointIsEjected)
{
    sendStatements(milliseconds(3000), 30, 0.4, 0, 0);
    CHECK_TRUE(pacing.isEjected("a"));
    LONGS_EQUAL(1, pacing.ejectedCount());
}

// Guards against an ejection for failures that have a common cause, such as a client's wrong statements.
TEST(EndpointHealth, EqualFailuresEjectNone)
{
    sendStatements(milliseconds(60'000), 30, 0.4, 0.4, 0.4);
    LONGS_EQUAL(0, pacing.ejectedCount());
}

// Guards against an ejection by chance on a host with little traffic.
TEST(EndpointHealth, FewStatementsEjectNone)
{
    for (int n = 0; n < 9; ++n) {
        record("a", false);
        record("b", true);
        record("c", true);
        pacing.compare(now += milliseconds(100));
    }
    LONGS_EQUAL(0, pacing.ejectedCount());
    now += milliseconds(10'000);
    sendStatements(milliseconds(60'000), 1, 1.0, 0, 0);
    LONGS_EQUAL(0, pacing.ejectedCount());
}

// Guards against ejections by chance: failures of one statement in a hundred are usual.
TEST(EndpointHealth, RareFailuresEjectNone)
{
    for (int n = 0; n < 60; ++n) {
        sendStatements(milliseconds(5000), 30, 0.01, 0.01, 0.01);
        LONGS_EQUAL(0, pacing.ejectedCount());
    }
}

// Guards against a service without any endpoint for reads.
TEST(EndpointHealth, OneEndpointOfThreeIsEjectedAtMost)
{
    sendStatements(milliseconds(10'000), 30, 0.9, 0.5, 0);
    CHECK_TRUE(pacing.ejectedCount() <= 1);
    pacing.setEndpoint("b", false, 14, 1);
    pacing.setEndpoint("c", false, 14, 1);
    CHECK_FALSE(pacing.isEjected("a"));
}

// Guards against an endpoint that stays ejected although its probes are good, or comes back by one lucky probe.
TEST(EndpointHealth, ComesBackAfterGoodProbes)
{
    sendStatements(milliseconds(3000), 30, 1.0, 0, 0);
    CHECK_TRUE(pacing.isEjected("a"));
    int probes = 0;
    for (const auto until = now + milliseconds(5000); now < until && pacing.isEjected("a"); now += milliseconds(100)) {
        if (pacing.takeProbe("a", now)) {
            record("a", true);
            ++probes;
        }
        record("b", true);
        pacing.compare(now);
    }
    CHECK_FALSE(pacing.isEjected("a"));
    LONGS_EQUAL(5, probes);
    LONGS_EQUAL(1, pacing.pace("a")->limit());
}

// Guards against an endpoint that goes on failing and gets the reads back again and again by a few lucky probes.
TEST(EndpointHealth, AnEndpointThatGoesOnFailingStaysEjectedMostly)
{
    constexpr int perSecond = 30;
    constexpr int seconds = 120;
    int sent = 0;
    for (int n = 0; n < perSecond * seconds; ++n) {
        if (!pacing.isEjected("a") || pacing.takeProbe("a", now)) {
            record("a", !std::bernoulli_distribution(0.4)(random));
            ++sent;
        }
        record("b", true);
        record("c", true);
        pacing.compare(now += milliseconds(1000 / perSecond));
    }
    CHECK_TRUE(sent < perSecond * seconds / 5);
}

// Guards against client requests that all suffer from an ejected endpoint, transactions that are sent there, and writes
// that are diverted from the only endpoint that can run them.
TEST(EndpointHealth, OnlyRepeatableReadsProbeAnEjectedEndpoint)
{
    ServiceScheduler scheduler;
    scheduler.setEndpoint("a", true, true, 4);
    scheduler.setEndpoint("b", true, false, 4);
    scheduler.setEjected("a", true, true);
    PermitRequest transaction;
    PermitRequest read;
    read.isRepeatable = true;
    PermitRequest write;
    write.eligibility = Eligibility::PrimaryOnly;
    CHECK_TRUE(scheduler.tryAcquire(transaction) == "b");
    CHECK_TRUE(scheduler.tryAcquire(write) == "a");
    CHECK_TRUE(scheduler.tryAcquire(read) == "a");
    CHECK_TRUE(scheduler.tryAcquire(read) == "b");
}
