#include "ClientSession.h"
#include "FreeAddress.h"
#include "PoolerFixture.h"
#include "kumquatbank/engine/TcpListener.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

/// Sessions in front of one endpoint. Its address cannot be converted, so that each attempt to connect to it ends by an
/// exception. Suspended coroutines refer to its members, so it is never destroyed.
class SessionsOfFaultyEndpoint {
public:
    SessionsOfFaultyEndpoint()
        : m_registry(m_io, "host", m_metrics)
        , m_address(freeAddress())
        , m_listener(m_io, m_address, [this](asio::ip::tcp::socket socket) {
            const auto session = std::make_shared<ClientSession>(m_io, std::move(socket), m_registry, m_metrics, m_tracker);
            asio::co_spawn(m_io, session->run(), asio::detached);
        })
    {
        auto config = std::make_shared<RoutingConfig>();
        config->version = 1;
        config->services["service"] = { "service", 10, 0 };
        config->routes["db"].database = "db";
        config->routes["db"].service = "service";
        m_registry.apply(config, "test");
        m_registry.setHostCount(1, 0);
        EndpointEntry entry;
        entry.id = "i-1";
        entry.service = "service";
        entry.address = { "not-an-address", 1 };
        entry.role = EndpointRole::Primary;
        m_registry.setEndpoints({ { entry.id, entry } }, true, BootClock::now());
    }

    /// Runs the statements of @p before, then sends @p lines at once; returns the answers up to the end of the connection.
    std::vector<TestClient::Answer> ask(std::vector<std::string> before, std::string lines)
    {
        std::vector<TestClient::Answer> answers;
        asio::co_spawn(m_io, askOnce(std::move(before), std::move(lines), answers), [this](const std::exception_ptr&) { m_io.stop(); });
        m_io.run();
        return answers;
    }

private:
    Task<void> askOnce(std::vector<std::string> before, std::string lines, std::vector<TestClient::Answer>& answers)
    {
        TestClient client(m_io);
        const std::string database = "db";
        co_await client.start(m_address, database);
        for (auto& text : before)
            co_await client.query(std::move(text));
        auto answer = co_await client.sendRaw(std::move(lines));
        while (!answer.ready.empty()) {
            answers.push_back(std::move(answer));
            answer = co_await client.receive();
        }
    }

    asio::io_context m_io { 1 };
    PoolerMetrics m_metrics;
    SessionTracker m_tracker;
    ServiceRegistry m_registry;
    HostAddress m_address;
    TcpListener m_listener;
};

/// Checks for one answer with this code and state, and the end of the connection after it.
void checkOnlyAnswer(const std::vector<TestClient::Answer>& answers, const char* code, char state)
{
    LONGS_EQUAL(1, answers.size());
    STRCMP_EQUAL(code, answers.front().code().c_str());
    BYTES_EQUAL(state, answers.front().state());
}

} // namespace

TEST_GROUP(ClientSession) {};

// Guards against a connection that ends without an answer because an exception ended the session: the outcome of a write is
// not known.
TEST(ClientSession, AWriteThatEndsByAnExceptionIsAnsweredAsInDoubt)
{
    auto& sessions = *new SessionsOfFaultyEndpoint;
    checkOnlyAnswer(sessions.ask({}, "QUERY 01 WRITE item x\r\n"), "INDOUBT", 'I');
}

// Guards against a connection that ends without an answer because an exception ended the session: nothing of an open
// transaction is kept.
TEST(ClientSession, AStatementOfATransactionThatEndsByAnExceptionIsAnsweredAsAborted)
{
    auto& sessions = *new SessionsOfFaultyEndpoint;
    checkOnlyAnswer(sessions.ask({ "BEGIN" }, "QUERY 01 WRITE item x\r\n"), "ABORTED", 'E');
}

// Guards against requests without an answer that were read together with one that ends by an exception.
TEST(ClientSession, RequestsBehindAnExceptionAreRefused)
{
    auto& sessions = *new SessionsOfFaultyEndpoint;
    const auto answers = sessions.ask({}, "QUERY 01 READ item\r\nQUERY 02 WRITE item x\r\n");
    LONGS_EQUAL(2, answers.size());
    STRCMP_EQUAL("TIMEOUT", answers[0].code().c_str());
    STRCMP_EQUAL("BUSY", answers[1].code().c_str());
    BYTES_EQUAL('I', answers[1].state());
}
