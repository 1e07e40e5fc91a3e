#include "kumquatbank/proxy/proxy.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <pthread.h>

using namespace kumquatbank;

namespace {

constexpr int exitInvalidInput = 2;
constexpr int exitCannotStart = 4;

/// Blocks the signals that end the process in every thread, so that waitForShutdown() receives them.
void blockShutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForShutdown()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

int runProxy(const Settings& settings)
{
    blockShutdownSignals();
    ProxyProcess process(settings);
    if (const auto started = process.start(); !started) {
        std::cerr << "kumquatbank: " << started.error().message << "\n";
        return exitCannotStart;
    }
    waitForShutdown();
    process.drain();
    // Everything is finished and saved. Closing the peer connections is left to the kernel, because nng_close() of
    // nng 1.5.2 can wait forever.
    std::cout.flush();
    std::_Exit(0);
}

int runCommandLine(int argc, char** argv)
{
    cxxopts::Options options("kumquatbank", "Database proxy with session consistency");
    options.add_options()("settings", "Settings file (JSON)", cxxopts::value<std::string>())(
        "check", "Check the settings and stop")("print-defaults", "Print a commented settings file and stop")(
        "version", "Print the version and stop")("h,help", "Print this text and stop");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help")) {
        std::cout << options.help();
        return 0;
    }
    if (arguments.count("version")) {
        std::cout << "kumquatbank " KUMQUATBANK_VERSION "\n";
        return 0;
    }
    if (arguments.count("print-defaults")) {
        std::cout << Settings::example();
        return 0;
    }
    if (!arguments.count("settings")) {
        std::cerr << "kumquatbank: option --settings is missing; --help shows all options\n";
        return exitInvalidInput;
    }
    const auto settings = Settings::load(arguments["settings"].as<std::string>());
    if (!settings) {
        std::cerr << "kumquatbank: " << settings.error().message << "\n";
        return exitInvalidInput;
    }
    if (arguments.count("check")) {
        std::cout << arguments["settings"].as<std::string>() << ": valid\n";
        return 0;
    }
    if (const auto configured = configureLogging(settings->logLevels); !configured) {
        std::cerr << "kumquatbank: " << configured.error().message << "\n";
        return exitInvalidInput;
    }
    return runProxy(*settings);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runCommandLine(argc, argv);
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << "kumquatbank: " << e.what() << "\n";
        return exitInvalidInput;
    }
}
