#pragma once

#include "kumquatbank/core/core.h"

#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

namespace kumquatbank {

/// Endpoints that the platform's host list reports as leaving, under the revision of that list. A set is only
/// replaced by one of a greater revision, so a relay that reads an older list cannot revert it. Thread-safe.
class LeavingNotices {
public:
    /// Takes over a list read from the platform. An equal set keeps its revision, so that changes of other
    /// hosts cause no gossip.
    void update(std::uint64_t revision, std::set<HostAddress> endpoints);

    bool contains(const HostAddress& endpoint) const;
    std::uint64_t revision() const;
    std::size_t size() const;

    /// The set with its revision, for a peer that holds an older one.
    nlohmann::json pack() const;

    /// Takes over a peer's set if it is newer; throws std::exception on bad input.
    void merge(const nlohmann::json& packed);

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_revision = 0;
    std::set<HostAddress> m_endpoints;
};

} // namespace kumquatbank
