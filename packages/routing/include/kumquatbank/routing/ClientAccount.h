#pragma once

#include "kumquatbank/routing/KeyDigest.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbank {

/// Limit on the operations of an account over all hosts.
struct RateLimit {
    double perSecond = 0;
    double burst = 0;

    bool operator==(const RateLimit&) const = default;
};

/// A customer of the operators whose clients identify themselves by keys.
struct ClientAccount {
    std::string name; ///< Databases are told this name.
    int priority = 0; ///< 0 is the highest.
    std::optional<RateLimit> limit; ///< Absent: not limited.
    std::vector<KeyDigest> keys;
};

/// Result of the authentication of a client on a route.
struct ClientIdentity {
    bool isAllowed = false;
    const ClientAccount* account = nullptr; ///< Null if the client is not allowed or has no account.

    /// Empty without an account.
    std::string_view accountName() const { return account == nullptr ? std::string_view() : std::string_view(account->name); }
};

} // namespace kumquatbank
