#include "HostProcess.h"

using namespace kumquatbank;
using std::chrono::milliseconds;

TEST_GROUP(Suspension) {};

// Guards against a leaving database that gets requests for too long: an answer of the store that waited while the host was
// suspended counted as knowledge of the moment at which it woke up, so that the database was known to be ready until then.
TEST(Suspension, AnAnswerThatWaitedIsNotKnowledgeOfTheMomentOfWakingUp)
{
    constexpr milliseconds suspension { 3000 };
    PoolerFixture fixture({}, 0);
    const HostProcess host(fixture.platform());
    fixture.run([](PoolerFixture& f, const HostProcess& suspended, milliseconds duration) -> Task<void> {
        while (suspended.logged("store_listed").size() < 2)
            co_await f.sleep(milliseconds(50));
        co_await f.sleep(milliseconds(1500));
        suspended.suspend();
        co_await f.sleep(milliseconds(300));
        // Answers the watch that is pending.
        f.platform().announce(f.platform().database(0, 1), false);
        co_await f.sleep(milliseconds(300));
        f.platform().announce(f.platform().primary(0), true);
        co_await f.sleep(duration - milliseconds(600));
        suspended.wakeUp();
        while (suspended.logged("endpoint_draining").empty())
            co_await f.sleep(milliseconds(50));
    }(fixture, host, suspension));
    const auto lines = host.logged("endpoint_draining");
    LONGS_EQUAL(1, lines.size());
    CHECK_TRUE_TEXT(lines.front().at("known_ready_ms").get<int>() >= suspension.count(), lines.front().dump().c_str());
}
