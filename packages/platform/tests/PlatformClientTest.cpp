#include "Backoff.h"
#include "CallBudget.h"
#include "FreeAddress.h"
#include "kumquatbank/platform/platform.h"
#include "kumquatbank/transport/transport.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace kumquatbank;

namespace {

/// Platform that gives the response the test has set and remembers the request.
class ScriptedPlatform {
public:
    ScriptedPlatform()
        : m_server(m_address, { 4, 4 }, [this](const HttpRequest& request) {
            const std::lock_guard lock(m_mutex);
            m_lastRequest = request;
            ++m_requestCount;
            return m_response;
        })
    {
        CHECK_TRUE(m_server.start().has_value());
    }

    HostAddress address() const { return m_address; }
    void respondWith(int status, const std::string& body)
    {
        const std::lock_guard lock(m_mutex);
        m_response = { status, body, "application/json" };
    }
    HttpRequest lastRequest()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastRequest;
    }
    int requestCount() const { return m_requestCount; }

private:
    HostAddress m_address = freeAddress();
    std::mutex m_mutex;
    HttpResponse m_response;
    HttpRequest m_lastRequest;
    std::atomic<int> m_requestCount = 0;
    HttpServer m_server;
};

/// No backoff to speak of and a large budget, so that a test can go on after a failure.
constexpr PlatformClientOptions eager { Milliseconds(300), 1000, Milliseconds(0), Milliseconds(0) };

} // namespace

TEST_GROUP(PlatformClient)
{
    ScriptedPlatform platform;
    PlatformClient client { platform.address(), eager };
};

// Guards against a field of the object API being sent or read wrongly.
TEST(PlatformClient, SpeaksTheObjectApi)
{
    platform.respondWith(200, R"({"version":3,"revision":9})");
    const auto written = client.put("entry", "a b", { { "x", 1 } }, 2);
    CHECK_TRUE(written.has_value());
    CHECK_EQUAL(3, written->version);
    CHECK_EQUAL(9, written->revision);
    CHECK_TRUE(platform.lastRequest().path == "/v1/objects/entry/a b");
    CHECK_TRUE(platform.lastRequest().query["expected"] == "2");
    platform.respondWith(200, R"({"revision":4,"objects":[{"name":"n","version":1,"revision":2,"value":{}}]})");
    CHECK_TRUE(client.list("database")->objects.at(0).kind == "database");
    platform.respondWith(200, R"({"revision":7,"compacted":false,"changes":[
        {"kind":"entry","name":"n","version":2,"revision":6,"deleted":true,"value":null}]})");
    const auto watched = client.watch(5, { "entry", "database" }, Milliseconds(10));
    CHECK_EQUAL(7, watched->revision);
    CHECK_TRUE(watched->changes.at(0).isDeleted);
    CHECK_TRUE(platform.lastRequest().query["kinds"] == "entry,database");
    platform.respondWith(200, R"({"revision":1,"hosts":[
        {"address":"127.0.0.1:5","place":"p","state":"leaving","role":"endpoint"}]})");
    const auto hosts = client.hosts();
    CHECK_TRUE(hosts->hosts.at(0).isLeaving && hosts->hosts.at(0).isEndpoint);
}

// Guards against an operator being told that a write did not happen although its response was lost.
TEST(PlatformClient, KnowsWhichFailuresMayHaveRun)
{
    for (const auto* lostBody : { "{}", "nonsense" }) {
        platform.respondWith(200, lostBody);
        CHECK_TRUE(client.put("entry", "a", {}, 0).error().verdict == Verdict::MayHaveRun);
    }
    platform.respondWith(500, "{}");
    CHECK_TRUE(client.put("entry", "a", {}, 0).error().verdict == Verdict::MayHaveRun);
    CHECK_TRUE(client.isDown());
    CHECK_TRUE(client.get("entry", "a").error().verdict == Verdict::NotRun);
    platform.respondWith(409, "{}");
    CHECK_TRUE(client.put("entry", "a", {}, 0).error().code == FailureCode::Conflict);
    CHECK_FALSE(client.isDown());
    platform.respondWith(404, "{}");
    CHECK_TRUE(client.get("entry", "a").error().code == FailureCode::NotFound);
    CHECK_TRUE(client.put("entry", "a/b", {}, 0).error().code == FailureCode::BadRequest);
}

// Guards against a fleet that overloads the platform, above all when it is failing.
TEST(PlatformClient, RefusesCallsOverBudgetAndDuringBackoff)
{
    platform.respondWith(200, R"({"revision":1,"hosts":[]})");
    PlatformClient thrifty(platform.address(), { Milliseconds(300), 0.001, Milliseconds(1), Milliseconds(1) });
    CHECK_TRUE(thrifty.hosts().has_value());
    CHECK_TRUE(thrifty.hosts().error().code == FailureCode::Refused);
    CHECK_EQUAL(1, thrifty.callCount());
    CHECK_EQUAL(1, thrifty.refusedCount());

    platform.respondWith(503, "{}");
    constexpr Milliseconds day { 86'400'000 };
    PlatformClient patient(platform.address(), { Milliseconds(300), 1000, day, day });
    CHECK_TRUE(patient.hosts().error().code == FailureCode::Unavailable);
    const int count = platform.requestCount();
    const auto refused = patient.hosts();
    CHECK_TRUE(refused.error().code == FailureCode::Unavailable);
    CHECK_TRUE(refused.error().retryAfter > Milliseconds(0));
    CHECK_EQUAL(count, platform.requestCount());
}

TEST_GROUP(Backoff) {};

// Guards against processes that return at the same moment, and a pause that grows without bound.
TEST(Backoff, SpreadsAndCapsThePause)
{
    const auto now = Clock::now();
    Milliseconds shortest = Milliseconds::max();
    Milliseconds longest { 0 };
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Backoff backoff(Milliseconds(200), Milliseconds(15'000), seed);
        TimePoint at = now;
        for (int n = 0; n < 40; ++n) {
            backoff.recordFailure(at, at);
            CHECK_TRUE(backoff.retryAt() - at <= Milliseconds(15'000));
            if (n < 39)
                at = backoff.retryAt();
        }
        const auto pause = std::chrono::duration_cast<Milliseconds>(backoff.retryAt() - at);
        shortest = std::min(shortest, pause);
        longest = std::max(longest, pause);
        backoff.recordSuccess();
        CHECK_TRUE(backoff.allows(now));
    }
    CHECK_TRUE(shortest < Milliseconds(1000));
    CHECK_TRUE(longest > Milliseconds(14'000));
}

// Guards against one outage being counted once for each of many calls in progress.
TEST(Backoff, CountsConcurrentFailuresOnce)
{
    const auto now = Clock::now();
    Backoff backoff(Milliseconds(1000), Milliseconds(1'000'000), 1);
    backoff.recordFailure(now, now);
    const auto retryAt = backoff.retryAt();
    for (int n = 0; n < 20; ++n)
        backoff.recordFailure(now - Milliseconds(1), now);
    CHECK_TRUE(backoff.retryAt() == retryAt);
}

TEST_GROUP(CallBudget) {};

// Guards against a burst after a quiet time that is larger than one second's calls.
TEST(CallBudget, RefillsUpToOneSecond)
{
    CallBudget budget(5);
    const auto later = Clock::now() + Milliseconds(60'000);
    int taken = 0;
    while (budget.take(later))
        ++taken;
    CHECK_EQUAL(5, taken);
    CHECK_TRUE(budget.take(later + Milliseconds(200)));
    CHECK_FALSE(budget.take(later + Milliseconds(200)));
}
