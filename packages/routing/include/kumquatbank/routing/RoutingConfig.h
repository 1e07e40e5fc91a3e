#pragma once

#include "kumquatbank/routing/ClientAccount.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatbank {

/// Consistency of the reads on a route: the commits that a read must reflect.
enum class ReadPolicy {
    Primary, ///< All acknowledged commits.
    Bounded, ///< All commits acknowledged longer ago than the route's staleness bound.
    ReadYourWrites, ///< As Bounded, and all commits of the same session.
};

std::string_view readPolicyName(ReadPolicy policy);

/// Routing of the statements of one database, and the time limits and consistency that apply to them.
struct Route {
    std::string name;
    std::string database; ///< Name that clients specify when they connect.
    std::string service; ///< Group of endpoints that serves the database.
    ReadPolicy policy = ReadPolicy::Primary;
    std::chrono::milliseconds statementTimeout { 1000 };
    std::chrono::milliseconds targetLatency { 1000 }; ///< Target duration of a whole operation.
    std::chrono::milliseconds maxStaleness { 0 }; ///< Staleness bound of Bounded and ReadYourWrites.
    int priority = 0; ///< 0 is the most urgent.
    bool isPublic = false; ///< Clients without a known key are allowed.
};

/// Limits of one group of endpoints.
struct ServiceLimits {
    std::string name;
    int maxConnections = 1; ///< Per endpoint, for all hosts together.
    int syncReplicas = 0; ///< Replicas that receive a commit before it is acknowledged.
};

/// One version of the operators' configuration. Immutable once it is active.
struct RoutingConfig {
    std::int64_t version = 0;
    std::map<std::string, Route, std::less<>> routes; ///< By database.
    std::map<std::string, ServiceLimits, std::less<>> services;
    std::optional<std::chrono::milliseconds> transactionIdle; ///< Idle time after which an open transaction is ended.

    bool hasAccounts = false; ///< Whether clients identify themselves by keys.
    std::map<std::string, ClientAccount, std::less<>> accounts; ///< By name.
    std::vector<std::string> rejectedAccounts; ///< Why entries of accounts or keys were left out.

    /// Adds an account. A name or a key that an earlier account has is left out and recorded as rejected; nobody is
    /// identified by such a key.
    void addAccount(ClientAccount account);

    /// Identifies a client that opened its session with @p key. Without accounts in the configuration, everybody is allowed.
    ClientIdentity identify(const Route& route, const std::optional<KeyDigest>& key) const;

    /// Returns the weight of an account in the order of waiting requests: the operations per second that it may use. 0 if it
    /// has no limit or is not known.
    double accountWeight(std::string_view account) const;

    /// Returns the route of @p database, or null.
    const Route* findRoute(std::string_view database) const;

private:
    std::unordered_map<KeyDigest, std::string, KeyDigest::Hash> m_accountByKey; ///< An empty name: the key is ambiguous.
};

} // namespace kumquatbank
