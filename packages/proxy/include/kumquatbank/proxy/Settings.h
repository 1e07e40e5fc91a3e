#pragma once

#include "kumquatbank/core/core.h"

#include <map>
#include <string>
#include <vector>

namespace kumquatbank {

/// Validated settings of one proxy process.
struct Settings {
    std::string deployment; ///< Name of the deployment; session tokens of other deployments are refused.
    std::string place;
    HostAddress callerAddress; ///< HTTP for callers and operators.
    HostAddress peerAddress; ///< Messages from other proxy processes.
    HostAddress metricsAddress; ///< Prometheus exposition.
    HostAddress platformAddress;
    std::vector<HostAddress> seeds; ///< Peer addresses of the processes that are contacted to join.
    std::map<std::string, std::string> logLevels;
    unsigned callerThreads = 256;
    unsigned peerThreads = 256;
    double platformCallsPerSecond = 5;
    Milliseconds probeInterval { 250 };
    Milliseconds probeTimeout { 500 };
    Milliseconds gossipInterval { 1000 };
    Milliseconds delayThreshold { 100 };
    Milliseconds transactionIdle { 30'000 };
    Milliseconds drainNotice { 2000 }; ///< Time to keep serving after /ready reports false.
    std::string admissionPolicy = "ranked"; ///< "ranked", "strict" or "fifo"; the last two are baselines.
    bool confirmByReplica = true;

    /// Reads and validates a settings file. The failure's message is one line with the file, key, value and allowed
    /// values.
    static Result<Settings> load(const std::string& file);

    /// Like load(), but from text; @p source is its name in messages.
    static Result<Settings> parse(const std::string& text, const std::string& source);

    /// Example settings with comments, accepted by parse().
    static std::string example();
};

} // namespace kumquatbank
