#pragma once

#include "ConnectionRequest.h"
#include "HostDirectory.h"
#include "LenderLink.h"

namespace kumquatbank {

/// Borrows database connections from other hosts. Where a database accepts fewer connections than there are hosts, the
/// holders lend them, so that all hosts of a region share one queue. Otherwise this host borrows from hosts that can
/// reach an endpoint which it cannot reach itself.
class ConnectionBorrower {
public:
    ConnectionBorrower(asio::io_context& io, const HostDirectory& hosts, const PoolerSettings& settings, PoolerMetrics& metrics);

    using BorrowResult = std::optional<tl::expected<ConnectionLease, AcquireFailure>>;

    /// Returns the rank of this host among the holders of @p service, 0 for the first holder in its region; empty if
    /// this host is not among the holders that are queried.
    std::optional<std::size_t> rank(const std::string& service);

    /// Queries the holders of @p service in order of rank. The result is empty if this host should use its own
    /// connections: it is the next holder itself, or no other holder could be queried. No statement has run in that
    /// case.
    Task<BorrowResult> borrow(std::shared_ptr<DatabaseService> service, ConnectionRequest request);

    /// Queries the first holder of each region, except where borrow() has queried it already, for an endpoint that this
    /// host cannot reach. The result is empty if none of them can reach one or has a free connection.
    Task<BorrowResult> borrowFromAnyRegion(std::shared_ptr<DatabaseService> service, ConnectionRequest request);

private:
    /// Response of one lender. If it has no result and isUnreachable is false, the next lender is to be queried.
    struct LenderResponse {
        BorrowResult result;
        bool isUnreachable = false; ///< The lender responded, but it can reach no endpoint.
    };

    /// Returns the holders that are queried, in order of rank.
    const std::vector<PlacementHost>& ranking(const std::string& service);
    /// Returns the link to @p host; null if the host is no longer known or did not respond recently.
    std::shared_ptr<LenderLink> usableLink(const std::string& host);
    Task<LenderResponse> requestFrom(std::shared_ptr<LenderLink> link, std::shared_ptr<DatabaseService> service, ConnectionRequest request, bool waitsForEndpoint);

    asio::io_context& m_io;
    const HostDirectory& m_hosts;
    const PoolerSettings& m_settings;
    PoolerMetrics& m_metrics;
    std::uint64_t m_hostsVersion = 0; ///< Version of the directory from which the rankings were computed.
    std::map<std::string, std::vector<PlacementHost>> m_rankings; ///< By service.
    std::map<std::string, std::shared_ptr<LenderLink>> m_links; ///< By host.
};

} // namespace kumquatbank
