#pragma once

#include "kumquatbank/core/HostAddress.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace kumquatbank {

/// Checked settings of one process.
struct PoolerSettings {
    std::string host; ///< Name of this host; unique in the deployment.
    std::string dataCentre;
    std::string region;
    double processorShare = 1; ///< Part of a processor core that this process may use; above 0.
    int processorSpeed = 1; ///< How many times as fast as the usual core it is.
    HostAddress clientAddress; ///< Clients connect here.
    HostAddress readyAddress; ///< HTTP: the ready state, for the load balancer.
    HostAddress peerAddress; ///< HTTP: other processes of the deployment.
    std::optional<HostAddress> loanAddress {}; ///< Other processes borrow database connections here; absent: none are lent or borrowed.
    HostAddress metricsAddress; ///< HTTP: metrics and the dump of the process's state.
    HostAddress storeAddress; ///< The platform's object store.
    HostAddress promotionAddress; ///< The platform's call that changes a primary.
    std::vector<HostAddress> seeds {}; ///< Peer addresses to ask while the store does not answer; may be empty or stale.
    std::chrono::seconds grace { 6 }; ///< Time from SIGTERM to the end of the process.
    unsigned logLinesPerSecond = 100; ///< Of served requests; failures have a rate of their own.
    unsigned failureLinesPerSecond = 500;

    /// Reads and checks a file; the failure names the key that is wrong.
    static Result<PoolerSettings> load(const std::string& file);
    static Result<PoolerSettings> parse(const std::string& text, const std::string& source);
    /// A commented example.
    static std::string example();

    /// Processor time that this host has, in usual cores; hosts get duties in proportion to it.
    double weight() const { return processorShare * processorSpeed; }

    bool operator==(const PoolerSettings&) const = default;
};

} // namespace kumquatbank
