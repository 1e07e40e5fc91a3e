#include "RawListener.h"
#include "kumquatbank/transport/transport.h"

#include <cstdio>
#include <cstdlib>
#include <future>
#include <thread>
#include <vector>

// Last, because it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

namespace {

constexpr std::size_t nodeCount = 8;
constexpr unsigned serverThreads = 8;
constexpr int rounds = 25;
/// A round takes well below 1 s; one that hangs never ends.
constexpr std::chrono::seconds roundLimit { 30 };

PeerMessage makeMessage(int body) { return { PeerMessageType::Exchange, { { "127.0.0.1", 1 }, 7, "a" }, body }; }

/// One process of a small fleet.
struct Node {
    explicit Node(const HostAddress& at)
        : address(at)
        , server(at, serverThreads, [](const PeerMessage& message) { return message.body; })
    {
    }
    HostAddress address;
    PeerServer server;
    PeerClient client;
};

/// Connects every node with every other, then ends all of them at once while calls are in progress.
void startAndCloseFleet()
{
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<HostAddress> addresses;
    for (std::size_t n = 0; n < nodeCount; ++n) {
        auto& node = *nodes.emplace_back(std::make_unique<Node>(freeAddress()));
        if (node.server.start())
            addresses.push_back(node.address);
    }
    std::vector<std::jthread> callers;
    for (auto& node : nodes) {
        for (const auto& peer : addresses) {
            callers.emplace_back([&client = node->client, peer](const std::stop_token& stop) {
                for (int n = 0; !stop.stop_requested(); ++n) {
                    if (n % 2 == 0)
                        client.call(peer, makeMessage(n), Milliseconds(100));
                    else
                        client.callFresh(peer, makeMessage(n), Milliseconds(100));
                }
            });
        }
    }
    std::this_thread::sleep_for(Milliseconds(50));
    {
        std::vector<std::jthread> closers;
        for (auto& node : nodes)
            closers.emplace_back([&node] { node->server.stop(); });
    }
    callers.clear();
    std::vector<std::jthread> closers;
    for (auto& node : nodes)
        closers.emplace_back([&node] { node.reset(); });
}

} // namespace

TEST_GROUP(PeerClose) {};

// Guards against links and servers that wait for each other for ever when many of them close at once.
TEST(PeerClose, ManyLinksAndServersCloseAtOnce)
{
    for (int n = 0; n < rounds; ++n) {
        auto round = std::async(std::launch::async, startAndCloseFleet);
        if (round.wait_for(roundLimit) == std::future_status::ready)
            continue;
        std::fprintf(stderr, "closing hangs in round %d\n", n);
        std::abort(); // The threads that hang cannot be joined.
    }
}
