#include "../ProxyCommandLine.h"
#include "kumquatbank/proxy/proxy.h"

#include <csignal>
#include <pthread.h>

using namespace kumquatbank;

namespace {

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

int runProxy(const Settings& settings, const std::string& /*file*/)
{
    if (const auto configured = configureLogging(settings.logLevels); !configured) {
        std::cerr << "kumquatbank: " << configured.error().message << "\n";
        return exitInvalidInput;
    }
    blockShutdownSignals();
    ProxyProcess process(settings);
    if (const auto started = process.start(); !started) {
        std::cerr << "kumquatbank: " << started.error().message << "\n";
        return exitCannotStart;
    }
    waitForShutdown();
    process.drain();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return runProxyCommandLine<Settings>("kumquatbank", KUMQUATBANK_VERSION, "Database proxy with session consistency", argc, argv, runProxy);
}
