#pragma once

#include "kumquatbank/core/core.h"

#include <map>
#include <string>
#include <vector>

namespace kumquatbank {

/// Checked settings of one proxy process.
struct Settings {
    std::string deployment; ///< Session tokens of other deployments are refused.
    std::string place;
    HostAddress callerAddress; ///< HTTP for callers and operators.
    HostAddress peerAddress; ///< Messages of other proxy processes.
    HostAddress metricsAddress; ///< Prometheus exposition.
    HostAddress platformAddress;
    std::vector<HostAddress> seeds; ///< Peer addresses of processes to join through.
    std::map<std::string, std::string> logLevels;
    unsigned callerThreads = 256;
    unsigned peerThreads = 256;
    double platformCallsPerSecond = 5;
    Milliseconds probeInterval { 250 };
    Milliseconds probeTimeout { 500 };
    Milliseconds gossipInterval { 1000 };
    Milliseconds delayThreshold { 100 };
    Milliseconds transactionIdle { 30'000 };
    Milliseconds drainNotice { 2000 }; ///< Keeps serving this long after ready turned false.
    std::string admissionPolicy = "ranked"; ///< "ranked", "strict" or "fifo"; the last two are baselines.
    bool confirmByReplica = true;

    /// Reads and checks a settings file. The failure's message is one line with file, key, value and what is
    /// allowed.
    static Result<Settings> load(const std::string& file);

    /// As load(), from text; @p source names it in messages.
    static Result<Settings> parse(const std::string& text, const std::string& source);

    /// A commented example that parse() accepts.
    static std::string example();
};

} // namespace kumquatbank
