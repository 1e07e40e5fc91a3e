#include "RawListener.h"
#include "kumquatbank/transport/transport.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <thread>

using namespace kumquatbank;

namespace {

/// Endpoint that accepts one connection and lets the test's function serve it.
class ScriptedEndpoint {
public:
    explicit ScriptedEndpoint(std::function<void(int)> script)
        : m_thread([this, script = std::move(script)] {
            const int fd = m_listener.accept(Milliseconds(2000));
            script(fd);
            ::close(fd);
        })
    {
    }
    ~ScriptedEndpoint() { m_thread.join(); }

    std::unique_ptr<EndpointConnection> open() const
    {
        auto connection = EndpointConnection::open(m_listener.address(), Deadline::after(Milliseconds(1000)));
        CHECK_TRUE(connection.has_value());
        return std::move(*connection);
    }

private:
    RawListener m_listener;
    std::thread m_thread;
};

Result<nlohmann::json> callOnce(EndpointConnection& connection)
{
    return connection.call("execute", { { "statement", "put a 1" } }, Deadline::after(Milliseconds(200)));
}

/// Failure of a call that @p answer answers; the connection must be usable afterwards as @p isUsable says.
Failure failureAfter(const std::string& answer, bool isUsable)
{
    const ScriptedEndpoint endpoint([&](int fd) {
        readUntil(fd, "\n");
        writeText(fd, answer);
    });
    const auto connection = endpoint.open();
    const auto result = callOnce(*connection);
    CHECK_FALSE(result.has_value());
    CHECK_EQUAL(isUsable, connection->isUsable());
    return result.error();
}

} // namespace

TEST_GROUP(EndpointConnection) {};

// Guards against answers that are mixed up, cut or joined on one connection.
TEST(EndpointConnection, MatchesAnswersOfAnySizeById)
{
    const std::string large(3'000'000, 'v');
    const ScriptedEndpoint endpoint([&](int fd) {
        for (int id = 1; id <= 2; ++id) {
            const auto request = nlohmann::json::parse(readUntil(fd, "\n"));
            const nlohmann::json answer { { "jsonrpc", "2.0" }, { "id", request["id"] },
                { "result", { { "method", request["method"] }, { "rows", large } } } };
            writeText(fd, answer.dump() + "\n");
        }
    });
    const auto connection = endpoint.open();
    for (const auto* method : { "status", "execute" }) {
        const auto result = connection->call(method, nlohmann::json::object(), Deadline::after(Milliseconds(2000)));
        CHECK_TRUE(result.has_value());
        CHECK_TRUE((*result)["method"] == method);
        CHECK_TRUE((*result)["rows"] == large);
    }
}

// Guards against a stated "not run" being lost, and against inventing one the endpoint did not state.
TEST(EndpointConnection, TakesTheVerdictFromTheError)
{
    const auto behind = failureAfter(
        R"({"jsonrpc":"2.0","id":1,"error":{"code":-32003,"message":"m","data":{"verdict":"not_run"}}})"
        "\n",
        true);
    CHECK_TRUE(behind.verdict == Verdict::NotRun);
    CHECK_TRUE(behind.code == FailureCode::Behind);
    const auto silent = failureAfter(R"({"jsonrpc":"2.0","id":1,"error":{"code":-32008,"message":"m"}})"
                                     "\n",
        true);
    CHECK_TRUE(silent.verdict == Verdict::MayHaveRun);
    CHECK_TRUE(silent.code == FailureCode::StatementError);
}

// Guards against a connection staying in use after its state is unknown, which would mix up answers.
TEST(EndpointConnection, AbandonsABrokenConnection)
{
    for (const std::string& answer : std::initializer_list<std::string> { "{\"jsonrpc\":\"2.0\",\"id\":7,\"result\":{}}\n", "nonsense\n", "[]\n", "",
             "{\"jsonrpc\":\"2.0\",\"id\":1}\n", "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":3}\n" }) {
        const auto failure = failureAfter(answer, false);
        CHECK_TRUE(failure.verdict == Verdict::MayHaveRun);
        CHECK_TRUE(failure.code == FailureCode::ConnectionLost);
    }
}

// Guards against a late answer to an abandoned request being taken for the next one's.
TEST(EndpointConnection, IsUnusableAfterATimeout)
{
    const ScriptedEndpoint endpoint([](int fd) {
        readUntil(fd, "\n");
        std::this_thread::sleep_for(Milliseconds(300));
        writeText(fd, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}\n");
    });
    const auto connection = endpoint.open();
    const auto late = callOnce(*connection);
    CHECK_TRUE(late.error().verdict == Verdict::MayHaveRun);
    CHECK_TRUE(late.error().code == FailureCode::Timeout);
    CHECK_FALSE(connection->isUsable());
    CHECK_TRUE(callOnce(*connection).error().verdict == Verdict::NotRun);
}

// Guards against refusing to repeat a request that provably never left, as on a connection closed while idle.
TEST(EndpointConnection, SaysNotRunWhenNothingWasSent)
{
    const ScriptedEndpoint endpoint([](int) {});
    const auto connection = endpoint.open();
    std::this_thread::sleep_for(Milliseconds(50));
    const auto passed = connection->call("status", {}, Deadline::after(Milliseconds(0)));
    CHECK_TRUE(passed.error().verdict == Verdict::NotRun);
    CHECK_TRUE(connection->isUsable());
    const auto closed = callOnce(*connection);
    CHECK_TRUE(closed.error().verdict == Verdict::NotRun);
    CHECK_FALSE(connection->isUsable());
    const auto refused = EndpointConnection::open(freeAddress(), Deadline::after(Milliseconds(500)));
    CHECK_TRUE(refused.error().verdict == Verdict::NotRun);
    CHECK_TRUE(refused.error().code == FailureCode::Unreachable);
}
