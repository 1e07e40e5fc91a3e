#pragma once

#include "kumquatbank/core/core.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatbank {

/// How to reach one proxy: at its own address for callers, or through another proxy.
struct ProxyTarget {
    HostAddress address; ///< Where the request is sent.
    std::string peer; ///< Peer address of the proxy meant; empty when it is the one at the address.

    /// The address of the proxy meant, as text.
    std::string name() const { return peer.empty() ? address.toString() : peer; }
};

/// Answer of one proxy, or why there is none.
struct ProxyAnswer {
    ProxyTarget target;
    Result<nlohmann::json> body;
};

/// GET of a JSON document from one proxy.
Result<nlohmann::json> readProxy(
    const ProxyTarget& proxy, const std::string& path, const std::map<std::string, std::string>& query = {});

/// The same from many proxies at once, in the order of @p proxies.
std::vector<ProxyAnswer> readProxies(const std::vector<ProxyTarget>& proxies, const std::string& path,
    const std::map<std::string, std::string>& query = {});

/// The members that are not dead in the state dump of the proxy at @p seed: by their caller address where the
/// dump has it, else through the seed.
std::vector<ProxyTarget> memberTargets(const HostAddress& seed, const nlohmann::json& state);

} // namespace kumquatbank
