#include "Fleet.h"
#include "RowCodec.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <thread>

using namespace kumquatbank;

namespace {

constexpr std::uint16_t platformPort = 24100;

/// A quarter of the production times, to keep the tests short.
MembershipOptions fastTiming()
{
    MembershipOptions options;
    options.gossipInterval = Milliseconds(250);
    options.probeTimeout = Milliseconds(200);
    options.suspicionTime = Milliseconds(600);
    options.hostListInterval = Milliseconds(1000);
    options.watchTime = Milliseconds(500);
    return options;
}

bool hasLimit(const Fleet& fleet, const std::string& entry, unsigned limit)
{
    return fleet.all([&](TestProcess& it) { return it.limitOf(entry) == limit; });
}

bool isRelay(const TestProcess& process) { return process.membership.state().at("isRelay").get<bool>(); }

} // namespace

TEST_GROUP(Fleet) {};

// Guards against changes that take longer than 5 s, processes that call the platform without need, and holders
// that differ from process to process. Runs with the production times.
TEST(Fleet, ChangeIsInForceOnEightProcessesWithinFiveSeconds)
{
    PlatformProcess platform(platformPort);
    platform.putEntry("save", 1);
    Fleet fleet(24110, 8, platform.address(), {});
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(10'000), [&] { return fleet.isComplete() && hasLimit(fleet, "save", 1); }));

    for (unsigned limit = 2; limit <= 6; ++limit) {
        platform.putEntry("save", limit);
        CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return hasLimit(fleet, "save", limit); }));
    }
    platform.removeEntry("save");
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return hasLimit(fleet, "save", 0); }));

    DatabaseDefinition database;
    database.name = "zapisnik-1-a";
    database.slots = { { 0, { "127.0.0.1", 1 }, "place-b" } };
    const auto expected = fleet.processes[0]->membership.holderCandidates(database);
    CHECK_EQUAL(8, expected.size());
    CHECK_TRUE(fleet.all([&](TestProcess& it) {
        const auto hosts = it.membership.holderCandidates(database);
        return std::ranges::equal(hosts, expected, {}, &HostIdentity::address, &HostIdentity::address);
    }));
    CHECK_EQUAL(6, std::ranges::count_if(fleet.processes, [](const auto& it) { return isRelay(*it); }));
    CHECK_TRUE(fleet.all([](TestProcess& it) { return isRelay(it) || it.platform.callCount() == 0; }));

    // A dead process is known everywhere within about 4 s, and its successor as relay takes over.
    const auto relay = std::ranges::find_if(fleet.processes, [](const auto& it) { return isRelay(*it); });
    const auto index = static_cast<std::size_t>(relay - fleet.processes.begin());
    fleet.processes[index]->kill();
    const HostAddress dead = fleet.address(index);
    const TimePoint killed = Clock::now();
    const auto isDead = [&](TestProcess& it) { return it.identity().address == dead || !it.stateOf(dead); };
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return fleet.all(isDead); }));
    const std::chrono::duration<double> detection = Clock::now() - killed;
    UT_PRINT(StringFromFormat("dead process known on all after %.1f s", detection.count()).asCharString());
    fleet.start(index);
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete(); }));
}

// Guards against a place that gets no changes after both of its relays have died.
TEST(Fleet, RelaysFailOver)
{
    PlatformProcess platform(platformPort);
    platform.putEntry("save", 1);
    Fleet fleet(24120, 9, platform.address(), fastTiming());
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete() && hasLimit(fleet, "save", 1); }));
    std::vector<std::size_t> relays;
    for (std::size_t i = 0; i < 9; ++i) {
        if (isRelay(*fleet.processes[i]))
            relays.push_back(i);
    }
    CHECK_EQUAL(6, relays.size());
    for (const std::size_t i : relays)
        fleet.kill(i);
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete(); }));
    platform.putEntry("save", 2);
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return hasLimit(fleet, "save", 2); }));
    CHECK_TRUE(fleet.all([](TestProcess& it) { return isRelay(it); }));
}

// Guards against halves of a fleet that hold each other as dead for ever, or declare their own side dead when
// they meet; and against the side without the platform reverting the other's changes.
TEST(Fleet, HealsAfterASplit)
{
    PlatformProcess platform(platformPort);
    platform.putEntry("save", 1);
    Fleet fleet(24130, 8, platform.address(), fastTiming());
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete() && hasLimit(fleet, "save", 1); }));

    for (std::size_t i = 0; i < 4; ++i)
        fleet.network.setSide(fleet.address(i), 1);
    const auto seesHalf = [](TestProcess& it) { return it.membership.members().size() == 4; };
    CHECK_TRUE(waitFor(Milliseconds(10'000), [&] { return fleet.all(seesHalf); }));
    platform.putEntry("save", 2);
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return hasLimit(fleet, "save", 2); }));
    // Checks that were started before the split must not be what ends it.
    std::this_thread::sleep_for(Milliseconds(2000));

    fleet.network.heal();
    std::size_t fewest = 8;
    // 30 s at the production times.
    CHECK_TRUE(waitFor(Milliseconds(7500), [&] {
        fleet.all([&](TestProcess& it) {
            fewest = std::min(fewest, it.membership.members().size());
            return true;
        });
        return fleet.isComplete();
    }));
    CHECK_EQUAL(4, fewest);
    CHECK_TRUE(hasLimit(fleet, "save", 2));
}

// Guards against a process that stays alone after minutes without any peer, when everyone holds it as dead.
TEST(Fleet, IsolatedProcessReturns)
{
    PlatformProcess platform(platformPort);
    Fleet fleet(24140, 6, platform.address(), fastTiming());
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete(); }));
    fleet.network.setSide(fleet.address(2), 1);
    const auto isSplit = [&](TestProcess& it) {
        return it.membership.members().size() == (it.identity().address == fleet.address(2) ? 1 : 5);
    };
    CHECK_TRUE(waitFor(Milliseconds(10'000), [&] { return fleet.all(isSplit); }));
    fleet.network.heal();
    CHECK_TRUE(waitFor(Milliseconds(7500), [&] { return fleet.isComplete(); }));
}

// Guards against processes that cannot start, or load an incomplete or older catalogue, while the platform is
// down; and against a fleet that floods the platform during an outage or when it returns.
TEST(Fleet, StartsAndRestartsWhileThePlatformIsDown)
{
    PlatformProcess platform(platformPort);
    for (unsigned n = 1; n <= 40; ++n)
        platform.putEntry("entry-" + std::to_string(n), n);
    platform.putEntry("save", 1);
    platform.putEntry("save", 2);
    MembershipOptions timing = fastTiming();
    timing.maxMessageBytes = 1000; // A snapshot of 41 entries takes many parts.
    Fleet fleet(24150, 6, platform.address(), timing);
    fleet.start(0);
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return hasLimit(fleet, "save", 2); }));

    platform.setFaults({ { "down", true } });
    for (std::size_t i = 1; i < 6; ++i)
        fleet.start(i, { fleet.address(0) });
    const auto isLoaded = [](TestProcess& it) { return it.limitOf("save") == 2 && it.catalogue.entries().size() == 41; };
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete() && fleet.all(isLoaded); }));
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.kill(i);
        fleet.start(i);
    }
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete() && fleet.all(isLoaded); }));

    const std::uint64_t before = platform.calls();
    const TimePoint start = Clock::now();
    std::this_thread::sleep_for(Milliseconds(3000));
    const auto callsWhileDown = platform.calls() - before;
    platform.setFaults({ { "down", false } });
    platform.putEntry("save", 3);
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return hasLimit(fleet, "save", 3); }));
    const std::chrono::duration<double> elapsed = Clock::now() - start;
    const auto rate = static_cast<double>(platform.calls() - before) / elapsed.count();
    UT_PRINT(StringFromFormat("6 relays: %u platform calls in 3 s of outage, %.1f a second until the next change",
        static_cast<unsigned>(callsWhileDown), rate)
                 .asCharString());
    CHECK_TRUE(callsWhileDown < 6 * 3 * 4);
    CHECK_TRUE(rate < 6 * 4);
}

// Guards against a peer that is behind, or a push whose answer was lost, reverting a change.
TEST(Fleet, NothingRevertsAChange)
{
    PlatformProcess platform(platformPort);
    platform.putEntry("save", 1);
    Fleet fleet(24160, 3, platform.address(), fastTiming());
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete() && hasLimit(fleet, "save", 1); }));
    Catalogue old;
    old.apply(fleet.processes[0]->catalogue.changesSince(0));

    fleet.network.loseAnswers(6);
    platform.putEntry("save", 2);
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return hasLimit(fleet, "save", 2); }));
    platform.removeEntry("save");
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return hasLimit(fleet, "save", 0); }));

    // A process that was cut off before both changes sends what it has, under its own and under today's revision.
    CatalogueDelta delta = old.changesSince(0);
    for (const std::uint64_t to : { delta.to, fleet.processes[0]->catalogue.revision() }) {
        delta.to = to;
        const PeerMessage push { PeerMessageType::CataloguePush, { fleet.address(9), 1, "place-a" },
            { { "revision", old.revision() }, { "delta", delta } } };
        fleet.processes[0]->membership.handle(push);
        CHECK_TRUE(hasLimit(fleet, "save", 0));
    }
    std::this_thread::sleep_for(Milliseconds(1000));
    CHECK_TRUE(hasLimit(fleet, "save", 0));
    platform.putEntry("save", 5);
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return hasLimit(fleet, "save", 5); }));
}

// Guards against new work for a leaving process or endpoint, and against a process that stays a member because
// it died after it had announced its shutdown.
TEST(Fleet, SpreadsLeaving)
{
    PlatformProcess platform(platformPort);
    const nlohmann::json endpoint = { { "address", "127.0.0.1:9" }, { "place", "place-a" }, { "role", "endpoint" } };
    nlohmann::json leaving = endpoint;
    leaving["state"] = "leaving";
    Fleet fleet(24170, 6, platform.address(), fastTiming());
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete(); }));
    platform.setHosts({ { "hosts", { leaving } } });
    const HostAddress address { "127.0.0.1", 9 };
    CHECK_TRUE(waitFor(Milliseconds(5000),
        [&] { return fleet.all([&](TestProcess& it) { return it.membership.isEndpointLeaving(address); }); }));

    fleet.processes[3]->membership.announceLeaving();
    const auto seesLeaving = [&](TestProcess& it) { return it.stateOf(fleet.address(3)) == MemberState::Leaving; };
    CHECK_TRUE(waitFor(Milliseconds(500), [&] { return fleet.all(seesLeaving); }));
    fleet.kill(3);
    CHECK_TRUE(waitFor(Milliseconds(5000), [&] { return fleet.isComplete(); }));
}

// Guards against a failed direct call that waits for the next regular round to be noticed, and against one that
// removes a process which the others still reach.
TEST(Fleet, ReportedProcessIsCheckedAtOnce)
{
    PlatformProcess platform(platformPort);
    MembershipOptions timing = fastTiming();
    timing.gossipInterval = Milliseconds(2000);
    Fleet fleet(24180, 3, platform.address(), timing);
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete(); }));
    Membership& reporter = fleet.processes[0]->membership;
    reporter.reportUnreachable(fleet.address(2));
    std::this_thread::sleep_for(Milliseconds(500));
    CHECK_TRUE(fleet.processes[0]->stateOf(fleet.address(2)) == MemberState::Alive);
    fleet.processes[1]->kill();
    reporter.reportUnreachable(fleet.address(1));
    CHECK_TRUE(waitFor(Milliseconds(1500), [&] { return !fleet.processes[0]->stateOf(fleet.address(1)); }));
}

// Guards against a process that missed the suspicion and, told of the death, waits for a whole suspicion of its
// own; and against a false Dead claim that changes anything about a live process. Has the production suspicion.
TEST(Fleet, DeadClaimIsConfirmedSoonOrChangesNothing)
{
    PlatformProcess platform(platformPort);
    MembershipOptions timing;
    timing.gossipInterval = Milliseconds(2000); // No regular round finds the death within this test's limit.
    Fleet fleet(24200, 4, platform.address(), timing);
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(15'000), [&] { return fleet.isComplete(); }));
    TestProcess& told = *fleet.processes[0];
    const auto claimDead = [&](std::size_t index) {
        Member claim { fleet.processes[index]->identity(), MemberState::Dead };
        for (const Member& it : told.membership.members()) {
            if (it.identity.address == claim.identity.address)
                claim.identity = it.identity;
        }
        const nlohmann::json body = { { "v", 0 }, { "n", 0 }, { "r", packRows(std::vector<Member> { claim }) } };
        told.membership.handle({ PeerMessageType::Exchange, { fleet.address(9), 1, "place-a" }, body });
    };
    claimDead(2);
    CHECK_FALSE(waitFor(Milliseconds(1500), [&] { return told.stateOf(fleet.address(2)) != MemberState::Alive; }));
    fleet.processes[1]->kill();
    claimDead(1);
    CHECK_TRUE(waitFor(Milliseconds(1900), [&] { return !told.stateOf(fleet.address(1)); }));
}

// Guards against a live process that is lost to a false suspicion because its refutation does not get through.
TEST(Fleet, FalseSuspicionIsRefuted)
{
    PlatformProcess platform(platformPort);
    Fleet fleet(24190, 5, platform.address(), fastTiming());
    fleet.startAll();
    CHECK_TRUE(waitFor(Milliseconds(8000), [&] { return fleet.isComplete(); }));
    Member claim = fleet.processes[0]->membership.members()[2];
    claim.state = MemberState::Suspect;
    const nlohmann::json body = { { "v", 0 }, { "n", 0 }, { "r", packRows(std::vector<Member> { claim }) } };
    fleet.processes[0]->membership.handle({ PeerMessageType::Exchange, { fleet.address(9), 1, "place-a" }, body });
    CHECK_TRUE(fleet.processes[0]->stateOf(fleet.address(2)) == MemberState::Suspect);
    bool isLost = false;
    const bool isRefuted = waitFor(Milliseconds(3000), [&] {
        isLost = isLost || !fleet.all([&](TestProcess& it) { return it.stateOf(fleet.address(2)).has_value(); });
        const Member row = fleet.processes[0]->membership.members()[2];
        return row.identity.incarnation > claim.identity.incarnation && fleet.isComplete();
    });
    CHECK_TRUE(isRefuted);
    CHECK_FALSE(isLost);
}
