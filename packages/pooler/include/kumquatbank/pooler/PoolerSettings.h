#pragma once

#include "kumquatbank/core/HostAddress.h"
#include "kumquatbank/routing/LimitTerms.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace kumquatbank {

/// Validated settings of one process.
struct PoolerSettings {
    std::string host; ///< Name of this host; unique in the deployment.
    std::string dataCentre;
    std::string region;
    double processorShare = 1; ///< Part of a processor core that this process may use; above 0.
    int processorSpeed = 1; ///< Speed of the core relative to a standard core.
    HostAddress clientAddress; ///< Clients connect here.
    HostAddress readyAddress; ///< HTTP: readiness probe of the load balancer.
    HostAddress peerAddress; ///< HTTP: other processes of the deployment.
    std::optional<HostAddress> loanAddress {}; ///< Other processes borrow database connections here; absent: none are lent or borrowed.
    HostAddress metricsAddress; ///< HTTP: metrics and the state of the process.
    HostAddress storeAddress; ///< The platform's object store.
    HostAddress promotionAddress; ///< The platform's promotion service.
    std::vector<HostAddress> seeds {}; ///< Peers to query while the store does not answer; may be empty or stale.
    std::chrono::seconds grace { 6 }; ///< Time from SIGTERM to the end of the process.
    std::chrono::milliseconds databaseDrainTime { 7000 }; ///< For which a database serves clients after it has reported that it is leaving.
    /// An endpoint that disappeared counts as one that may hold acknowledged commits for this time. Covers the time after
    /// which crashed databases are usually back with their logs.
    std::chrono::milliseconds memberRetention { 10'000 };
    LimitBound limitBound {}; ///< Promise on the operations of each account that has a limit.
    /// Memory of this process. Without the setting, that of the smallest hosts.
    int memoryMb = 160;
    std::optional<int> maxDescriptors {}; ///< Of this process; absent: its RLIMIT_NOFILE.
    unsigned logLinesPerSecond = 100; ///< For served requests; failures have a separate limit.
    unsigned failureLinesPerSecond = 500;
    bool endpointPacing = false; ///< Whether the use of endpoints is limited by their answers.

    /// Reads and validates a file; the error names the invalid key.
    static Result<PoolerSettings> load(const std::string& file);
    static Result<PoolerSettings> parse(const std::string& text, const std::string& source);
    /// A commented example.
    static std::string example();

    /// Processor capacity of this host, in standard cores; duties are assigned in proportion to it.
    double weight() const { return processorShare * processorSpeed; }

    bool operator==(const PoolerSettings&) const = default;
};

} // namespace kumquatbank
