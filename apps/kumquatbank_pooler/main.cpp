#include "kumquatbank/pooler/pooler.h"

#include <csignal>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>

using namespace kumquatbank;

namespace {

constexpr int exitInvalidInput = 2;
constexpr int exitCannotStart = 4;

int runCommandLine(int argc, char** argv)
{
    cxxopts::Options options("kumquatbank-pooler", "Database proxy with session consistency, for line-protocol clients");
    options.add_options()("settings", "Settings file (JSON)", cxxopts::value<std::string>())(
        "check", "Check the settings and stop")("print-defaults", "Print a commented settings file and stop")(
        "version", "Print the version and stop")("h,help", "Print this text and stop");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help")) {
        std::cout << options.help();
        return 0;
    }
    if (arguments.count("version")) {
        std::cout << "kumquatbank-pooler " KUMQUATBANK_VERSION "\n";
        return 0;
    }
    if (arguments.count("print-defaults")) {
        std::cout << PoolerSettings::example();
        return 0;
    }
    if (!arguments.count("settings")) {
        std::cerr << "kumquatbank-pooler: option --settings is missing; --help shows all options\n";
        return exitInvalidInput;
    }
    const auto file = arguments["settings"].as<std::string>();
    const auto settings = PoolerSettings::load(file);
    if (!settings) {
        std::cerr << "kumquatbank-pooler: " << settings.error().message << "\n";
        return exitInvalidInput;
    }
    if (arguments.count("check")) {
        std::cout << file << ": valid\n";
        return 0;
    }
    asio::io_context io(1);
    PoolerProcess process(io, *settings, file);
    process.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // A reload that is asked for before the process listens for it must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    try {
        return runCommandLine(argc, argv);
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "kumquatbank-pooler: " << e.what() << "\n";
        return exitInvalidInput;
    } catch (const std::exception& e) {
        std::cerr << "kumquatbank-pooler: cannot serve: " << e.what() << "\n";
        return exitCannotStart;
    }
}
