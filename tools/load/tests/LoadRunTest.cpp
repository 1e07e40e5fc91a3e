#include "LoadRun.h"
#include "PassThroughProxy.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

using namespace kumquatbank;
using namespace kumquatbank::load;
using standin::DatabaseStandInOptions;
using standin::TestGroup;

namespace {

/// Ports differ between test processes that run at the same time.
std::uint16_t testPort(unsigned n)
{
    constexpr unsigned firstPort = 20'000;
    constexpr unsigned portRange = 10'000;
    return static_cast<std::uint16_t>(firstPort + (static_cast<unsigned>(getpid()) * 10 + n) % portRange);
}

/// A second of reads, writes and transactions through two proxies with the same fault.
LoadResult runWith(Fault fault)
{
    DatabaseStandInOptions group;
    group.connectionLimit = 200;
    // A replica that lags makes reads without the session's position return old data.
    group.lag = Milliseconds(fault == Fault::ReadsStale ? 100 : 5);
    TestGroup slots(2, group);
    PassThroughProxy first(slots, fault);
    PassThroughProxy second(slots, fault);
    LoadOptions options;
    options.proxies = { { "127.0.0.1", testPort(1) }, { "127.0.0.1", testPort(2) } };
    CHECK_TRUE(first.start(options.proxies[0]).has_value());
    CHECK_TRUE(second.start(options.proxies[1]).has_value());
    options.databases = { { "base-1-a", { slots.slot(0).controlAddress(), slots.slot(1).controlAddress() } } };
    options.mix = {
        { .entry = "{service}-save", .rank = Rank::Urgent, .kind = WorkKind::Write, .callers = 2, .ratePerSecond = 200 },
        { .entry = "{service}-pull", .rank = Rank::Normal, .kind = WorkKind::Read, .callers = 2, .ratePerSecond = 200 },
    };
    // Transactions bind to the proxy that began them here, so they get one proxy of their own.
    const bool needsTransactions = fault == Fault::TearsTransactions || fault == Fault::MixesTransactions;
    if (fault == Fault::None || needsTransactions) {
        options.proxies.resize(1);
        // The service time makes transactions overlap, without which nothing can mix.
        options.mix.push_back({ .entry = "{service}-save",
            .rank = Rank::Urgent,
            .kind = WorkKind::Transaction,
            .callers = 4,
            .ratePerSecond = 100,
            .service = Milliseconds(5) });
    }
    options.duration = Milliseconds(1000);
    options.runName = "test";
    return runLoad(options);
}

/// The fault must be found as this kind of violation; @p others may be consequences of it.
void checkFound(Fault fault, std::uint64_t Violations::*kind, std::vector<std::uint64_t Violations::*> others = {})
{
    auto violations = runWith(fault).violations;
    CHECK_TRUE(violations.*kind > 0);
    violations.*kind = 0;
    for (const auto other : others)
        violations.*other = 0;
    LONGS_EQUAL(0, violations.total());
}

} // namespace

TEST_GROUP(LoadRun) {};

// Guards against false alarms, and against a run that reports success without having done anything.
TEST(LoadRun, AcceptsACorrectProxy)
{
    const auto result = runWith(Fault::None);
    LONGS_EQUAL(0, result.violations.total());
    CHECK_TRUE(result.confirmed > 100);
    LONGS_EQUAL(0, result.notRun + result.uncertain);
    CHECK_TRUE(result.statistics->reads() > 100);
    CHECK_TRUE(result.statistics->replicaReads() > 0);
    CHECK_TRUE(result.statistics->longestWriteGap(0).value() < Milliseconds(500));
}

// Guards against a driver that does not notice a broken guarantee.
TEST(LoadRun, FindsBrokenGuarantees)
{
    checkFound(Fault::LosesWrites, &Violations::lost, { &Violations::stale });
    checkFound(Fault::RunsTwice, &Violations::doubled);
    checkFound(Fault::DeniesRunning, &Violations::notRunButRun);
    checkFound(Fault::ReadsStale, &Violations::stale);
    checkFound(Fault::CrossesAnswers, &Violations::crossed);
}

// Guards against a driver that does not notice torn or mixed transactions.
TEST(LoadRun, FindsBrokenTransactions)
{
    checkFound(Fault::TearsTransactions, &Violations::torn, { &Violations::stale });
    checkFound(Fault::MixesTransactions, &Violations::mixed, { &Violations::torn, &Violations::notRunButRun });
}
