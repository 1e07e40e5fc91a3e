#include "PoolerFixture.h"
#include "kumquatbank/engine/HttpClient.h"

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

const std::string database = EmulatedPlatform::databaseName(0, ReadPolicy::ReadYourWrites);
constexpr int reads = 10;
constexpr int initialRetries = 3;

/// Sum of the counters of retries on the metrics page of the only host.
Task<int> retries(PoolerFixture& f)
{
    auto metricsAddress = f.peerAddress(0);
    ++metricsAddress.port;
    HttpClient client(f.io(), metricsAddress);
    HttpCall call;
    call.target = "/metrics";
    const auto reply = co_await client.call(std::move(call), milliseconds(500));
    std::istringstream lines(reply.body);
    int sum = 0;
    for (std::string line; std::getline(lines, line);)
        sum += line.starts_with("kumquatbank_retries_total{") ? std::stoi(line.substr(line.find("} ") + 2)) : 0;
    co_return sum;
}

/// Number of retries of reads that no endpoint answers.
int retriesOfUnansweredReads(bool isPaced)
{
    PoolerFixture fixture({}, 1, 3, true, 1, [isPaced](PoolerSettings& settings) { settings.endpointPacing = isPaced; });
    int found = 0;
    fixture.run([](PoolerFixture& f, int& count) -> Task<void> {
        co_await f.writeUntilSuccess(database, "WRITE item x");
        for (int n = 0; n < 3; ++n)
            f.platform().database(0, n).behaviour().answersToLose = 1000;
        int left = reads;
        const auto read = [&]() -> Task<void> {
            TestClient client(f.io());
            co_await client.start(f.clientAddress(), database);
            co_await client.query("READ item");
            --left;
        };
        for (int n = 0; n < reads; ++n)
            asio::co_spawn(f.io(), read(), asio::detached);
        while (left > 0)
            co_await f.sleep(milliseconds(20));
        count = co_await retries(f);
    }(fixture, found));
    return found;
}

} // namespace

TEST_GROUP(RetryBudgetPath) {};

// Load pattern: no endpoint answers. Guards against retries that multiply the load on endpoints that are overloaded already.
TEST(RetryBudgetPath, ReadsThatNobodyAnswersAddLittleLoad)
{
    // The reads and the write before them pay for one further retry.
    CHECK_TRUE(retriesOfUnansweredReads(true) <= initialRetries + 1 + reads / 10);
    CHECK_TRUE(retriesOfUnansweredReads(false) >= reads);
}
