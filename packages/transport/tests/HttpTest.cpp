#include "RawListener.h"
#include "kumquatbank/transport/transport.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <latch>
#include <thread>
#include <vector>

using namespace kumquatbank;

namespace {

HttpResponse echo(const HttpRequest& request)
{
    const nlohmann::json seen { { "method", request.method }, { "path", request.path },
        { "query", request.query }, { "size", request.body.size() } };
    return { 200, seen.dump(), "application/json" };
}

} // namespace

TEST_GROUP(Http)
{
    const HostAddress address = freeAddress();

    void startServer(HttpServer & server)
    {
        const auto started = server.start();
        CHECK_TRUE(started.has_value());
    }
};

// Guards against parts of a request or response getting lost, also on a reused connection.
TEST(Http, CarriesMethodPathQueryAndBody)
{
    HttpServer server(address, {}, echo);
    startServer(server);
    HttpClient client(address);
    for (const auto* method : { "GET", "POST", "PUT", "DELETE" }) {
        const std::string body(std::string(method) == "GET" ? 0 : 1'500'000, 'x');
        const auto response = client.send(
            { method, "/v1/objects/entry/a b%2F\xc4\x8d", { { "expected", "1&2=3" }, { "k", "a,b" } }, body },
            Milliseconds(2000));
        CHECK_TRUE(response.has_value());
        CHECK_EQUAL(200, response->status);
        const auto seen = nlohmann::json::parse(response->body);
        CHECK_TRUE(seen["method"] == method);
        CHECK_TRUE(seen["path"] == "/v1/objects/entry/a b%2F\xc4\x8d");
        CHECK_TRUE(seen["query"]["expected"] == "1&2=3");
        CHECK_TRUE(seen["query"]["k"] == "a,b");
        CHECK_TRUE(seen["size"] == body.size());
    }
}

// Guards against a body that exhausts memory, is taken for the next request, or goes without a clear error.
TEST(Http, RejectsOversizeAndChunkedBodies)
{
    HttpServer server(address, {}, echo);
    startServer(server);
    HttpClient client(address);
    const auto large = client.send({ "POST", "/x", {}, std::string(2 * 1024 * 1024 + 1, 'x') }, Milliseconds(3000));
    CHECK_TRUE(large.has_value());
    CHECK_EQUAL(413, large->status);
    CHECK_TRUE(nlohmann::json::parse(large->body)["verdict"] == "not_run");

    const int fd = connectRaw(address);
    writeText(fd, "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    CHECK_TRUE(readUntil(fd, "not_run").starts_with("HTTP/1.1 411"));
    ::close(fd);
    for (const auto& head : { std::string("broken\r\n\r\n"),
             "GET / HTTP/1.1\r\nX: " + std::string(5000, 'y') + "\r\n\r\n",
             "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(9000, 'y') + "\r\n\r\n",
             std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n"),
             std::string("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n") }) {
        const int broken = connectRaw(address);
        writeText(broken, head);
        CHECK_FALSE(readUntil(broken, "\r\n\r\n").starts_with("HTTP/1.1 200"));
        ::close(broken);
    }
    CHECK_EQUAL(200, client.send({ "GET", "/x", {}, {} }, Milliseconds(2000))->status);
}

// Guards against a write that runs twice because the client repeats it when a kept-alive connection closes.
TEST(Http, ClientNeverSendsTwice)
{
    const RawListener listener;
    HttpClient client(listener.address());
    std::thread peer([&] {
        const int fd = listener.accept(Milliseconds(2000));
        readUntil(fd, "\r\n\r\n");
        writeText(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        readUntil(fd, "\r\n\r\n");
        ::close(fd);
    });
    CHECK_TRUE(client.send({ "GET", "/", {}, {} }, Milliseconds(2000)).has_value());
    const auto lost = client.send({ "PUT", "/", {}, "x" }, Milliseconds(2000));
    peer.join();
    CHECK_TRUE(lost.error().verdict == Verdict::MayHaveRun);
    CHECK_TRUE(lost.error().code == FailureCode::ConnectionLost);
    CHECK_EQUAL(-1, listener.accept(Milliseconds(300)));
}

// Guards against a failure before anything was sent being reported as "may have run", or the reverse.
TEST(Http, TellsUnreachableFromLate)
{
    HttpClient nobody(address);
    const auto refused = nobody.send({ "GET", "/", {}, {} }, Milliseconds(1000));
    CHECK_TRUE(refused.error().verdict == Verdict::NotRun);
    CHECK_TRUE(refused.error().code == FailureCode::Unreachable);
    const RawListener silent;
    HttpClient waiting(silent.address());
    const auto late = waiting.send({ "GET", "/", {}, {} }, Milliseconds(100));
    CHECK_TRUE(late.error().verdict == Verdict::MayHaveRun);
    CHECK_TRUE(late.error().code == FailureCode::Timeout);
}

// Guards against blocked requests that delay others: threads started late, or connections dropped from a full
// backlog, which TCP repeats after 1 s. Also against a port in use going unnoticed.
TEST(Http, Runs250BlockedRequestsAtOnce)
{
    constexpr int count = 250;
    std::latch allArrived(count);
    HttpServer server(address, {}, [&](const HttpRequest&) {
        allArrived.arrive_and_wait();
        return HttpResponse {};
    });
    startServer(server);
    CHECK_TRUE(HttpServer(address, {}, echo).start().error().code == FailureCode::Unavailable);
    const auto startedAt = Clock::now();
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int n = 0; n < count; ++n) {
        callers.emplace_back([&] {
            const auto response = HttpClient(address).send({ "GET", "/", {}, {} }, Milliseconds(10'000));
            if (response && response->status == 200)
                ++answered;
        });
    }
    for (auto& caller : callers)
        caller.join();
    CHECK_EQUAL(count, answered.load());
    CHECK_TRUE(Clock::now() - startedAt < Milliseconds(900));
}

// Guards against requests beyond the threads and the queue that wait without bound, or get no clear answer.
TEST(Http, RefusesRequestsBeyondTheQueueAtOnce)
{
    std::latch canEnd(1);
    HttpServer server(address, { .minThreads = 1, .maxThreads = 2, .maxQueued = 3 }, [&](const HttpRequest&) {
        canEnd.wait();
        return HttpResponse {};
    });
    startServer(server);
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> callers;
    for (int n = 0; n < 12; ++n) {
        callers.emplace_back([&] {
            const auto response = HttpClient(address).send({ "POST", "/", {}, "{}" }, Milliseconds(5000));
            if (response && response->status == 200)
                ++answered;
            if (response && response->status == 503 && nlohmann::json::parse(response->body)["verdict"] == "not_run")
                ++refused;
        });
    }
    const auto deadline = Deadline::after(Milliseconds(2000));
    while (refused < 7 && deadline.remaining().count() > 0)
        std::this_thread::sleep_for(Milliseconds(5));
    CHECK_EQUAL(7, refused.load());
    canEnd.count_down();
    for (auto& caller : callers)
        caller.join();
    CHECK_EQUAL(5, answered.load());
}

// Guards against connections of callers that vanished without closing, which would accumulate until restart.
TEST(Http, ClosesConnectionsIdleBeyondKeepAlive)
{
    HttpServer server(address, { .minThreads = 2, .maxThreads = 2, .keepAlive = Milliseconds(200) }, echo);
    startServer(server);
    const int fd = connectRaw(address);
    writeText(fd, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK_TRUE(readUntil(fd, "}").starts_with("HTTP/1.1 200"));
    pollfd entry { fd, POLLIN, 0 };
    CHECK_EQUAL(1, ::poll(&entry, 1, 3000));
    CHECK_EQUAL(0, readUntil(fd, "}").size());
    ::close(fd);
}

// Guards against requests sent ahead on one connection getting lost, against an invalid request that gets no clear
// error, and against a connection that stays open after a head that cannot be parsed.
TEST(Http, AnswersPipelinedRequestsAndInvalidOnes)
{
    HttpServer server(address, {}, echo);
    startServer(server);
    const std::string valid = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
    const int fd = connectRaw(address);
    writeText(fd, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi" + valid);
    const auto both = readUntil(fd, "\"size\":0}");
    CHECK_TRUE(both.find("\"/a\"") != std::string::npos);
    CHECK_TRUE(both.find("\"/b\"") != std::string::npos);
    writeText(fd, "broken\r\n\r\n" + valid);
    CHECK_EQUAL(0, readUntil(fd, "}").size());
    ::close(fd);
    const int nameless = connectRaw(address);
    writeText(nameless, "GET /b HTTP/1.1\r\n\r\n");
    const auto refused = readUntil(nameless, "}}");
    CHECK_TRUE(refused.starts_with("HTTP/1.1 400"));
    CHECK_TRUE(refused.find("not_run") != std::string::npos);
    ::close(nameless);
    const int lengthless = connectRaw(address);
    writeText(lengthless, "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2x\r\n\r\n" + valid);
    const auto only = readUntil(lengthless, "\"/b\"");
    CHECK_TRUE(only.starts_with("HTTP/1.1 400"));
    CHECK_TRUE(only.find("not_run") != std::string::npos);
    CHECK_TRUE(only.find("200 OK") == std::string::npos);
    ::close(lengthless);
}

// Guards against a planned stop that aborts a request in progress, or hangs while connections are idle.
TEST(Http, StopAnswersRequestsInProgressAndClosesIdleConnections)
{
    std::latch hasStarted(1);
    HttpServer server(address, {}, [&](const HttpRequest& request) {
        if (request.path == "/slow") {
            hasStarted.count_down();
            std::this_thread::sleep_for(Milliseconds(300));
        }
        return HttpResponse { 200, std::string(1'000'000, 'z'), "application/json" };
    });
    startServer(server);
    std::vector<HttpClient> idle;
    for (int n = 0; n < 20; ++n) {
        idle.emplace_back(address);
        CHECK_EQUAL(200, idle.back().send({ "GET", "/", {}, {} }, Milliseconds(2000))->status);
    }
    Result<HttpResponse> slow;
    std::thread caller([&] { slow = HttpClient(address).send({ "GET", "/slow", {}, {} }, Milliseconds(5000)); });
    hasStarted.wait();
    const auto startedAt = Clock::now();
    server.stop();
    CHECK_TRUE(Clock::now() - startedAt < Milliseconds(2000));
    caller.join();
    CHECK_TRUE(slow.has_value());
    CHECK_EQUAL(1'000'000, slow->body.size());
    CHECK_FALSE(idle.front().send({ "GET", "/", {}, {} }, Milliseconds(500)).has_value());
}

// Guards against a client that sends its next request on a connection that a stopping server closes after an answer.
TEST(Http, AStoppingServerAnnouncesTheCloseWithEachAnswer)
{
    std::latch hasStarted(1);
    HttpServer server(address, {}, [&](const HttpRequest& request) {
        if (request.path == "/slow") {
            hasStarted.count_down();
            std::this_thread::sleep_for(Milliseconds(300));
        }
        return HttpResponse { 200, "{}", "application/json" };
    });
    startServer(server);
    const int slow = connectRaw(address);
    const std::string request = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK_EQUAL(static_cast<ssize_t>(request.size()), ::send(slow, request.data(), request.size(), 0));
    hasStarted.wait();
    server.stop();
    const auto answer = readUntil(slow, "{}");
    CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
    CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
    ::close(slow);
}
