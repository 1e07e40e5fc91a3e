#include "RawListener.h"
#include "kumquatbank/transport/transport.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <latch>
#include <thread>
#include <vector>

using namespace kumquatbank;

namespace {

PeerMessage makeMessage(nlohmann::json body, PeerMessageType type = PeerMessageType::Forward)
{
    return { type, { { "127.0.0.1", 1 }, 7, "lj-tivoli" }, std::move(body) };
}

} // namespace

TEST_GROUP(Peer)
{
    const HostAddress address = freeAddress();
    PeerClient client;

    void startServer(PeerServer & server) { CHECK_TRUE(server.start().has_value()); }
};

// Guards against concurrent requests to one peer that wait for each other or get each other's responses.
TEST(Peer, AnswersConcurrentRequests)
{
    constexpr int count = 32;
    std::latch allArrived(count);
    PeerServer server(address, count, [&](const PeerMessage& message) {
        allArrived.arrive_and_wait();
        return message.body;
    });
    startServer(server);
    std::atomic<int> correct = 0;
    std::vector<std::thread> callers;
    for (int n = 0; n < count; ++n) {
        callers.emplace_back([&, n] {
            const auto response = client.call(address, makeMessage(n), Milliseconds(3000));
            if (response && *response == n)
                ++correct;
        });
    }
    for (auto& caller : callers)
        caller.join();
    CHECK_EQUAL(count, correct.load());
}

// Guards against a message losing its type, its sender or bytes above 1 MB.
TEST(Peer, CarriesTheWholeMessageAndCountsControlBytes)
{
    const std::string large(5'000'000, 'x');
    PeerServer server(address, 2, [&](const PeerMessage& message) {
        const bool isWhole = message.type == PeerMessageType::Snapshot && message.from.incarnation == 7
            && message.from.place == "lj-tivoli" && message.body == large;
        return nlohmann::json { { "isWhole", isWhole }, { "data", large } };
    });
    startServer(server);
    const auto response = client.call(address, makeMessage(large, PeerMessageType::Snapshot), Milliseconds(3000));
    CHECK_TRUE(response.has_value());
    CHECK_TRUE((*response)["isWhole"] == true);
    CHECK_TRUE((*response)["data"] == large);
    const auto bytes = client.controlBytes();
    CHECK_TRUE(bytes > 10'000'000);
    CHECK_TRUE(client.call(address, makeMessage(1), Milliseconds(1000)).has_value());
    CHECK_EQUAL(bytes, client.controlBytes());
}

// Guards against a type without a name, which reads past the table of names when it is sent.
TEST(Peer, CarriesEveryMessageType)
{
    using enum PeerMessageType;
    for (const auto type : { Forward, Exchange, CataloguePush, IndirectProbe, Snapshot, Ping, Inspect }) {
        const nlohmann::json json = makeMessage(1, type);
        CHECK_TRUE(json.get<PeerMessage>().type == type);
    }
}

// Guards against a request being run twice: its peer dies after receiving it and comes back on the same address.
TEST(Peer, DeliversAtMostOnceWhenThePeerDiesMidRequest)
{
    const RawListener listener;
    std::atomic<int> deliveries = 0;
    std::thread peer([&] {
        // Waits well beyond the time of a new connection after the last one, so that a resend would be seen.
        for (int fd = listener.accept(Milliseconds(2000)); fd >= 0; fd = listener.accept(Milliseconds(1500))) {
            if (readUntil(fd, "put a 1").find("put a 1") != std::string::npos)
                ++deliveries;
            ::close(fd);
        }
    });
    const auto startedAt = Clock::now();
    const auto result = client.call(listener.address(), makeMessage("put a 1"), Milliseconds(3000));
    const auto elapsed = Clock::now() - startedAt;
    peer.join();
    CHECK_EQUAL(1, deliveries.load());
    CHECK_TRUE(result.error().verdict == Verdict::MayHaveRun);
    CHECK_TRUE(result.error().code == FailureCode::ConnectionLost);
    CHECK_TRUE(elapsed < Milliseconds(1000));
}

// Guards against a lost or refused connection being reported as "may have run", and against it lasting.
TEST(Peer, IsNotRunWithoutAConnectionAndRecovers)
{
    const auto startedAt = Clock::now();
    const auto refused = client.call(address, makeMessage(1), Milliseconds(2000));
    CHECK_TRUE(refused.error().verdict == Verdict::NotRun);
    CHECK_TRUE(refused.error().code == FailureCode::Unreachable);
    CHECK_TRUE(Clock::now() - startedAt < Milliseconds(500));
    for (int n = 0; n < 3; ++n) {
        PeerServer server(address, 2, [](const PeerMessage& message) { return message.body; });
        startServer(server);
        CHECK_TRUE(client.call(address, makeMessage(n), Milliseconds(1000)).has_value());
        server.stop();
        // Until the client's side has seen the end of the connection, a request may still be written to it.
        std::this_thread::sleep_for(Milliseconds(100));
        const auto gone = client.call(address, makeMessage(n), Milliseconds(300));
        CHECK_TRUE(gone.error().verdict == Verdict::NotRun);
    }
}

// Guards against staying on a connection that hangs while a new one to the same peer works.
TEST(Peer, ReplacesAHangingConnection)
{
    const RawListener listener;
    std::atomic<int> connections = 0;
    std::thread peer([&] {
        const int hanging = listener.accept(Milliseconds(2000));
        const int second = listener.accept(Milliseconds(2000));
        connections = second >= 0 ? 2 : 1;
        ::close(second);
        ::close(hanging);
    });
    const auto late = client.call(listener.address(), makeMessage(1), Milliseconds(200));
    CHECK_TRUE(late.error().verdict == Verdict::MayHaveRun);
    CHECK_TRUE(late.error().code == FailureCode::Timeout);
    CHECK_FALSE(client.call(listener.address(), makeMessage(2), Milliseconds(500)).has_value());
    peer.join();
    CHECK_EQUAL(2, connections.load());
}

// Guards against a planned stop that aborts a request in progress.
TEST(Peer, StopFinishesRequestsInProgress)
{
    std::latch hasStarted(1);
    PeerServer server(address, 2, [&](const PeerMessage&) {
        hasStarted.count_down();
        std::this_thread::sleep_for(Milliseconds(200));
        return nlohmann::json(std::string(1'000'000, 'r'));
    });
    startServer(server);
    Result<nlohmann::json> result;
    std::thread caller([&] { result = client.call(address, makeMessage(1), Milliseconds(3000)); });
    hasStarted.wait();
    server.stop();
    caller.join();
    CHECK_TRUE(result.has_value());
    const RawListener occupied;
    PeerServer second(occupied.address(), 1, [](const PeerMessage&) { return nlohmann::json(); });
    CHECK_TRUE(second.start().error().code == FailureCode::Unavailable);
}

// Guards against a malformed message that ends the server or leaves its sender waiting, and idle links piling up.
TEST(Peer, RefusesMalformedMessagesAndClosesIdleLinks)
{
    PeerServer server(address, 1, [](const PeerMessage& message) { return message.body; });
    startServer(server);
    auto bad = makeMessage(1);
    bad.from.address.ip = "nowhere";
    const auto refused = client.callFresh(address, bad, Milliseconds(1000));
    CHECK_TRUE(refused.error().verdict == Verdict::NotRun);
    CHECK_TRUE(refused.error().code == FailureCode::BadRequest);
    CHECK_TRUE(client.call(address, makeMessage(1), Milliseconds(1000)).has_value());
    CHECK_EQUAL(1, client.closeIdle(Milliseconds(10'000)));
    CHECK_EQUAL(0, client.closeIdle(Milliseconds(0)));
    CHECK_TRUE(client.call(address, makeMessage(1), Milliseconds(1000)).has_value());
}
