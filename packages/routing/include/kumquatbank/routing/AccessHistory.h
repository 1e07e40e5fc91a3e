#pragma once

#include "kumquatbank/core/BootClock.h"
#include "kumquatbank/routing/RoutingConfig.h"

#include <deque>
#include <memory>

namespace kumquatbank {

/// What a client was allowed when its transaction began.
struct ClientGrant {
    std::string database;
    std::optional<KeyDigest> key;
    std::string account; ///< Empty if the client had none.
};

/// The configurations in force during the last seconds. Decides how long an open transaction may go on after a version has
/// withdrawn its client's key, account or public route. The time counts from the first version without them, so that
/// further versions do not prolong it.
class AccessHistory {
public:
    /// How long an open transaction may go on.
    static constexpr std::chrono::milliseconds transactionGrace { 2000 };
    /// Versions kept. Where more take effect within the grace period, older ones are merged; a transaction may then end
    /// early, but never late.
    static constexpr std::size_t maxVersions = 32;

    /// Records that @p config takes effect.
    void add(std::shared_ptr<const RoutingConfig> config, BootTime activeSince);

    /// Returns since when the configurations no longer allow @p grant; empty if the newest one does.
    std::optional<BootTime> withdrawnSince(const ClientGrant& grant) const;

    /// Returns whether an open transaction of @p grant may run another statement.
    bool mayContinue(const ClientGrant& grant, BootTime now) const;

private:
    struct Version {
        std::shared_ptr<const RoutingConfig> config;
        BootTime activeSince {};
    };

    std::deque<Version> m_versions; ///< The newest is last.
};

} // namespace kumquatbank
