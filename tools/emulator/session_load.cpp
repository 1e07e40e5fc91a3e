#include "EmulatedPlatform.h"
#include "KeyWithdrawals.h"
#include "LoadClient.h"
#include "PlannedWorkClient.h"
#include "SessionStateClient.h"
#include "UnknownKeyClient.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

using namespace kumquatbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int exitViolation = 1;
constexpr int exitInvalidInput = 2;

using LoadClients = std::vector<std::unique_ptr<LoadClient>>;
using UnknownKeyClients = std::vector<std::unique_ptr<UnknownKeyClient>>;
using PlannedWorkClients = std::vector<std::unique_ptr<PlannedWorkClient>>;
using SessionStateClients = std::vector<std::unique_ptr<SessionStateClient>>;

/// Records how late the event loop runs.
Task<void> watchDelays(asio::io_context& io, LoadReport& report)
{
    constexpr milliseconds interval { 10 };
    while (true) {
        const auto from = BootClock::now();
        co_await sleepFor(io, interval);
        report.delayed(std::chrono::duration_cast<milliseconds>(BootClock::now() - from - interval));
    }
}

Task<void> runAll(asio::io_context& io, const LoadClients& clients, const PlannedWorkClients& plannedWorkClients, const UnknownKeyClients& unknownKeyClients, const SessionStateClients& sessionStateClients, seconds duration, milliseconds pause, int statements)
{
    const auto until = BootClock::now() + duration;
    auto left = clients.size() + plannedWorkClients.size() + unknownKeyClients.size() + sessionStateClients.size();
    const auto runOne = [&](LoadClient& client) -> Task<void> {
        co_await client.run(until, pause, statements);
        --left;
    };
    const auto runPlanned = [&](PlannedWorkClient& client) -> Task<void> {
        co_await client.run(until);
        --left;
    };
    const auto runUnknown = [&](UnknownKeyClient& client) -> Task<void> {
        co_await client.run(until);
        --left;
    };
    const auto runSessionState = [&](SessionStateClient& client) -> Task<void> {
        co_await client.run(until);
        --left;
    };
    for (const auto& client : sessionStateClients)
        asio::co_spawn(io, runSessionState(*client), asio::detached);
    for (const auto& client : unknownKeyClients)
        asio::co_spawn(io, runUnknown(*client), asio::detached);
    for (const auto& client : clients)
        asio::co_spawn(io, runOne(*client), asio::detached);
    for (const auto& client : plannedWorkClients)
        asio::co_spawn(io, runPlanned(*client), asio::detached);
    while (left > 0)
        co_await sleepFor(io, milliseconds(50));
    for (const auto& client : clients)
        co_await client->checkLast();
    io.stop();
}

int runCommandLine(int argc, char** argv)
{
    cxxopts::Options options("session_load", "Clients that check what they read; exit code 1 on a violation");
    options.add_options()("proxies", "Client addresses of the proxies", cxxopts::value<std::vector<std::string>>())(
        "services", "Services of the emulated platform", cxxopts::value<int>()->default_value("3"))(
        "clients", "Clients of each database", cxxopts::value<int>()->default_value("10"))(
        "planned-work-clients", "Clients of each database that use a connection until it ends and expect an answer to every request that was read", cxxopts::value<int>()->default_value("0"))(
        "session-state-clients", "Clients of each database that set values and prepare statements, and check that they are in force", cxxopts::value<int>()->default_value("0"))(
        "not-kept-file", "Write the ids of statements whose answers promised that nothing is kept to this file", cxxopts::value<std::string>())(
        "extra-databases", "Databases extra-0, extra-1 and so on, with two clients of planned work each", cxxopts::value<int>()->default_value("0"))(
        "seconds", "Duration", cxxopts::value<int>()->default_value("20"))(
        "transaction-writes", "Writes of a transaction, with pauses between them", cxxopts::value<int>()->default_value("1"))(
        "accounts", "Accounts of the emulated platform whose keys the clients send in turn; 0: none has accounts", cxxopts::value<int>()->default_value("0"))(
        "key-file", "Write the answers to clients with a key, with their times, to this file", cxxopts::value<std::string>())(
        "unanswered-file", "Write the ids of statements without an answer to this file", cxxopts::value<std::string>())(
        "unknown-file", "Write the answers NODB, with their times, to this file", cxxopts::value<std::string>())(
        "pause-ms", "Mean pause of a client", cxxopts::value<int>()->default_value("50"))(
        "seed", "Seed of the clients", cxxopts::value<unsigned>()->default_value("1"))("h,help", "Print this text and stop");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") || !arguments.count("proxies")) {
        std::cout << options.help();
        return arguments.count("help") ? 0 : exitInvalidInput;
    }
    std::vector<HostAddress> proxies;
    for (const auto& text : arguments["proxies"].as<std::vector<std::string>>()) {
        const auto address = HostAddress::parse(text);
        if (!address) {
            std::cerr << "session_load: '" << text << "' is not an address\n";
            return exitInvalidInput;
        }
        proxies.push_back(*address);
    }
    asio::io_context io(1);
    LoadReport report;
    LoadClients clients;
    PlannedWorkClients plannedWorkClients;
    SessionStateClients sessionStateClients;
    UnknownKeyClients unknownKeyClients;
    const auto accounts = arguments["accounts"].as<int>();
    auto seed = arguments["seed"].as<unsigned>() * 100'000;
    for (int service = 0; service < arguments["services"].as<int>(); ++service) {
        for (const auto policy : { ReadPolicy::Primary, ReadPolicy::Bounded, ReadPolicy::ReadYourWrites }) {
            for (int n = 0; n < arguments["clients"].as<int>(); ++n) {
                clients.push_back(std::make_unique<LoadClient>(io, EmulatedPlatform::databaseName(service, policy), policy, proxies, ++seed, report));
                if (accounts > 0)
                    clients.back()->useAccount(KeyWithdrawals::accountName(n % accounts), KeyWithdrawals::keyName(n % accounts));
            }
            if (accounts > 0)
                unknownKeyClients.push_back(std::make_unique<UnknownKeyClient>(io, EmulatedPlatform::databaseName(service, policy), proxies, ++seed, report));
            for (int n = 0; n < arguments["session-state-clients"].as<int>(); ++n)
                sessionStateClients.push_back(std::make_unique<SessionStateClient>(io, EmulatedPlatform::databaseName(service, policy), proxies, ++seed, report));
            for (int n = 0; n < arguments["planned-work-clients"].as<int>(); ++n)
                plannedWorkClients.push_back(std::make_unique<PlannedWorkClient>(io, EmulatedPlatform::databaseName(service, policy), proxies, ++seed, report));
        }
    }
    for (int n = 0; n < 2 * arguments["extra-databases"].as<int>(); ++n)
        plannedWorkClients.push_back(std::make_unique<PlannedWorkClient>(io, EmulatedPlatform::extraDatabaseName(n / 2), proxies, ++seed, report));
    asio::co_spawn(io, watchDelays(io, report), asio::detached);
    const seconds duration(arguments["seconds"].as<int>());
    asio::co_spawn(io, runAll(io, clients, plannedWorkClients, unknownKeyClients, sessionStateClients, duration, milliseconds(arguments["pause-ms"].as<int>()), arguments["transaction-writes"].as<int>()), asio::detached);
    io.run();
    report.print(std::cout, duration);
    if (arguments.count("unanswered-file")) {
        std::ofstream file(arguments["unanswered-file"].as<std::string>());
        for (const auto& id : report.unanswered())
            file << id << '\n';
    }
    if (arguments.count("not-kept-file")) {
        std::ofstream file(arguments["not-kept-file"].as<std::string>());
        for (const auto& id : report.notKept())
            file << id << '\n';
    }
    if (arguments.count("unknown-file")) {
        std::ofstream file(arguments["unknown-file"].as<std::string>());
        for (const auto& line : report.unknownDatabases())
            file << line << '\n';
    }
    if (arguments.count("key-file")) {
        std::ofstream file(arguments["key-file"].as<std::string>());
        for (const auto& line : report.keyAnswers())
            file << line << '\n';
    }
    if (accounts > 0)
        std::cout << "sessions refused to keys of no account: " << report.refusedUnknownKeys() << '\n';
    if (accounts > 0 && report.refusedUnknownKeys() == 0) {
        std::cout << "no key of no account was refused\n";
        return exitViolation;
    }
    if (report.served() == 0)
        std::cout << "nothing was served\n";
    return report.hasViolations() || report.served() == 0 ? exitViolation : 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runCommandLine(argc, argv);
    } catch (const std::exception& e) {
        std::cerr << "session_load: " << e.what() << "\n";
        return exitInvalidInput;
    }
}
