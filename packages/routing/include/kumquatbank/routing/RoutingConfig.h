#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatbank {

/// What a read on a route must see.
enum class ReadPolicy {
    Primary, ///< Every acknowledged commit.
    Bounded, ///< Every commit acknowledged longer ago than the route's staleness bound.
    ReadYourWrites, ///< As Bounded, and every commit of the same session.
};

std::string_view readPolicyName(ReadPolicy policy);

/// Where the statements of one database go, and what their callers expect.
struct Route {
    std::string name;
    std::string database; ///< The name that clients give when they connect.
    std::string service; ///< The group of endpoints that serves it.
    ReadPolicy policy = ReadPolicy::Primary;
    std::chrono::milliseconds statementTimeout { 1000 };
    std::chrono::milliseconds targetLatency { 1000 }; ///< Aim for a whole operation.
    std::chrono::milliseconds maxStaleness { 0 }; ///< Bound of Bounded and ReadYourWrites.
    int priority = 0; ///< 0 is the most urgent.
};

/// Limits of one group of endpoints.
struct ServiceLimits {
    std::string name;
    int maxConnections = 1; ///< Of all hosts together, for each endpoint.
    int syncReplicas = 0; ///< Replicas that receive a commit before it is acknowledged.
};

/// One version of the operators' configuration. Immutable once it is in force.
struct RoutingConfig {
    std::int64_t version = 0;
    std::map<std::string, Route, std::less<>> routes; ///< By database.
    std::map<std::string, ServiceLimits, std::less<>> services;
    std::optional<std::chrono::milliseconds> transactionIdle; ///< A longer pause inside a transaction ends it.

    /// Route of @p database, or null.
    const Route* findRoute(std::string_view database) const;
};

} // namespace kumquatbank
