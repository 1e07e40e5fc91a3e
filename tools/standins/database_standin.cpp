#include "database/DatabaseStandIn.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

using namespace kumquatbank;
using namespace kumquatbank::standin;

namespace {

HostAddress readAddress(const std::string& text)
{
    const auto address = HostAddress::parse(text);
    if (!address)
        throw std::invalid_argument(address.error().message);
    return *address;
}

DatabaseStandInOptions readOptions(const cxxopts::ParseResult& arguments)
{
    DatabaseStandInOptions options;
    options.address = readAddress(arguments["address"].as<std::string>());
    options.control = readAddress(arguments["control"].as<std::string>());
    options.slot = arguments["slot"].as<unsigned>();
    if (arguments.count("peers")) {
        std::istringstream peers(arguments["peers"].as<std::string>());
        for (std::string peer; std::getline(peers, peer, ',');)
            options.peers.push_back(readAddress(peer));
    }
    options.times.connect = Milliseconds(arguments["connect-ms"].as<unsigned>());
    options.times.execute = Milliseconds(arguments["execute-ms"].as<unsigned>());
    options.connectionLimit = arguments["connection-limit"].as<unsigned>();
    options.lag = Milliseconds(arguments["lag-ms"].as<unsigned>());
    options.isPrimary = arguments.count("primary") > 0;
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options description("database_standin", "One endpoint of a database group, for tests");
    description.add_options()("address", "ip:port for callers and peers", cxxopts::value<std::string>())(
        "control", "ip:port for faults and dumps", cxxopts::value<std::string>())(
        "slot", "number of the slot in its group", cxxopts::value<unsigned>()->default_value("0"))(
        "peers", "ip:port of the other slots, separated by commas", cxxopts::value<std::string>())(
        "connect-ms", "time that a hello takes", cxxopts::value<unsigned>()->default_value("0"))(
        "execute-ms", "time that a statement takes", cxxopts::value<unsigned>()->default_value("0"))(
        "connection-limit", "caller connections accepted", cxxopts::value<unsigned>()->default_value("20"))(
        "lag-ms", "age at which a replica applies a record", cxxopts::value<unsigned>()->default_value("0"))(
        "primary", "start as primary of term 1")("help", "print this text");

    // Signals are blocked before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    try {
        const auto arguments = description.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << description.help();
            return 0;
        }
        DatabaseStandIn standIn(readOptions(arguments));
        if (const auto started = standIn.start(); !started) {
            std::cerr << "database_standin: " << started.error().message << '\n';
            return 1;
        }
        int signal = 0;
        sigwait(&signals, &signal);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "database_standin: " << error.what() << '\n';
        return 2;
    }
}
