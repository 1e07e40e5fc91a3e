#include "../ProxyCommandLine.h"
#include "kumquatbank/pooler/pooler.h"

#include <csignal>
#include <cstdlib>
#include <exception>

using namespace kumquatbank;

namespace {

int runPooler(const PoolerSettings& settings, const std::string& file)
{
    asio::io_context io(1);
    PoolerProcess process(io, settings, file);
    process.run();
    // Suspended coroutines refer to the process and to the event loop, so that neither can be destroyed before the other.
    std::_Exit(exitStopped);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Also in EarlyReloadRequests.cpp; here for loaders that do not run the functions of .preinit_array.
    std::signal(SIGHUP, SIG_IGN);
    try {
        return runProxyCommandLine<PoolerSettings>("kumquatbank-pooler", KUMQUATBANK_VERSION,
            "Database proxy with session consistency, for line-protocol clients", argc, argv, runPooler);
    } catch (const std::exception& e) {
        std::cerr << "kumquatbank-pooler: cannot serve: " << e.what() << "\n";
        return exitCannotStart;
    }
}
