// A session's prepared statements over a change of primary that leaves the former primary running as a replica.
#include "../../standins-2/tests/World.h"

#include <iostream>
#include <thread>

using namespace review;
using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t clientPort = 8784;
constexpr std::uint16_t readyPort = 8785;
constexpr int statements = 10; ///< Of a transaction; clients send up to 12.
constexpr int writers = 3;
constexpr int readers = 6;
constexpr int readRounds = 12;
constexpr milliseconds statementPause { 500 };
constexpr milliseconds readPause { 15 };
constexpr milliseconds cutTime { 6500 };

std::string nameOf(int n) { return "s" + std::to_string(n); }

bool prepareAll(Client& client)
{
    bool isPrepared = true;
    for (int n = 0; n < statements; ++n)
        isPrepared = client.ask("PREPARE " + nameOf(n) + " READ q" + std::to_string(n)).code.empty() && isPrepared;
    return isPrepared;
}

/// Runs one transaction of prepared reads; stops at the first error. Returns whether a prepared name was unknown.
bool readInTransaction(Client& client, const std::string& begin, milliseconds pause)
{
    bool wasUnknown = false;
    auto answer = client.ask(begin);
    for (int n = 0; n < statements && answer.code.empty(); ++n) {
        answer = client.ask("EXEC " + nameOf(n) + " item" + std::to_string(n));
        wasUnknown = wasUnknown || answer.code == "NOSTMT";
        std::this_thread::sleep_for(pause);
    }
    client.ask(answer.code.empty() ? "COMMIT" : "ROLLBACK");
    return wasUnknown;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5) {
        std::cerr << "usage: scenario IP RECORD TROUBLE HOST-IP...\n";
        return 2;
    }
    const bool hasTrouble = std::string(argv[3]) != "0";
    const std::vector<std::string> hosts(argv + 4, argv + argc);
    World world(argv[1], 8783, argv[2]);
    world.startDatabases({ "i-a", "i-b", "i-c" });
    world.writeConfig(7, 41, 0);
    if (!waitForProxies(hosts, readyPort, milliseconds(9000), milliseconds(30'000)))
        return 2;

    std::atomic<int> unknown = 0;
    std::atomic<bool> isOpen = true;
    std::vector<std::thread> threads;
    if (hasTrouble) {
        // Four of seven hosts.
        world.cut("i-a", { "host-3", "host-4", "host-5", "host-6" });
    }
    for (int k = 0; k < writers; ++k) {
        threads.emplace_back([&, k] {
            Client client(world, "t" + std::to_string(k));
            if (!client.open(hosts[0], clientPort, "tickets") || !prepareAll(client)) {
                isOpen = false;
                return;
            }
            std::this_thread::sleep_for(statementPause * k / writers);
            if (readInTransaction(client, "BEGIN", statementPause))
                ++unknown;
        });
    }
    if (hasTrouble) {
        const auto began = Clock::now();
        if (!world.waitForPromotion("i-a", cutTime))
            isOpen = false;
        std::this_thread::sleep_until(began + cutTime);
        world.heal("i-a");
    }
    for (auto& thread : threads)
        thread.join();
    threads.clear();
    for (int k = 0; k < readers; ++k) {
        threads.emplace_back([&, k] {
            Client client(world, "r" + std::to_string(k));
            if (!client.open(hosts[0], clientPort, "tickets") || !prepareAll(client)) {
                isOpen = false;
                return;
            }
            for (int round = 0; round < readRounds; ++round) {
                if (readInTransaction(client, "BEGIN READ", readPause))
                    ++unknown;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    if (!isOpen) {
        std::cout << "the case could not run: no session, or no change of primary" << std::endl;
        std::_Exit(2);
    }
    std::cout << "transactions in which a prepared name was unknown: " << unknown << std::endl;
    world.record().write("transactions in which a prepared name was unknown: " + std::to_string(unknown));
    std::_Exit(unknown > 0 ? 1 : 0);
}
