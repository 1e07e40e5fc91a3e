#pragma once

#include "ConnectionRequest.h"
#include "HostDirectory.h"
#include "LenderLink.h"

namespace kumquatbank {

/// Gets database connections from other hosts: from the holders, where databases accept fewer connections than there are
/// hosts, so that every host shares one queue a region with the others; and from hosts that reach an endpoint which this
/// one does not.
class ConnectionBorrower {
public:
    ConnectionBorrower(asio::io_context& io, const HostDirectory& hosts, const PoolerSettings& settings, PoolerMetrics& metrics);

    using BorrowResult = std::optional<tl::expected<ConnectionLease, AcquireFailure>>;

    /// Rank of this host among the holders of @p service, 0 for the first holder in its region; empty if it is not among
    /// those that are asked.
    std::optional<std::size_t> rank(const std::string& service);

    /// Asks the holders of @p service in their order. Empty if this host should use its own connections: it is the next
    /// holder itself, or none of the others could be asked. Nothing has run then.
    Task<BorrowResult> borrow(std::shared_ptr<DatabaseService> service, ConnectionRequest request);

    /// Asks the first holders of the other regions, and of this one, for an endpoint that this host does not reach.
    /// Empty if none of them reaches it, or has a connection to spare.
    Task<BorrowResult> borrowFromAnyRegion(std::shared_ptr<DatabaseService> service, ConnectionRequest request);

private:
    /// One lender's answer; both are empty if the next one is to be asked.
    struct LenderResponse {
        BorrowResult result;
        bool isUnreachable = false; ///< The lender answers, and reaches no endpoint.
    };

    /// The holders that are asked, the first in rank at the front.
    const std::vector<PlacementHost>& ranking(const std::string& service);
    /// Null if the host is not known any more, or did not answer lately.
    std::shared_ptr<LenderLink> usableLink(const std::string& host);
    Task<LenderResponse> requestFrom(std::shared_ptr<LenderLink> link, std::shared_ptr<DatabaseService> service, ConnectionRequest request, bool waitsForEndpoint);

    asio::io_context& m_io;
    const HostDirectory& m_hosts;
    const PoolerSettings& m_settings;
    PoolerMetrics& m_metrics;
    std::uint64_t m_hostsVersion = 0; ///< Of the directory that the rankings were made from.
    std::map<std::string, std::vector<PlacementHost>> m_rankings; ///< By service.
    std::map<std::string, std::shared_ptr<LenderLink>> m_links; ///< By host.
};

} // namespace kumquatbank
