#pragma once

#include "HostDirectory.h"
#include "LenderLink.h"
#include "kumquatbank/routing/LenderRanking.h"

namespace kumquatbank {

/// Gets database connections from the hosts that hold them, where databases accept fewer connections than there are
/// hosts. Every host then shares one queue a region with the others, so that urgent work goes first on all of them.
class ConnectionBorrower {
public:
    ConnectionBorrower(asio::io_context& io, const HostDirectory& hosts, const PoolerSettings& settings, PoolerMetrics& metrics);

    /// True if this host holds connections to @p service for its region.
    bool isLender(const std::string& service);

    /// Asks the lenders of @p service in their order. Empty if this host should use its own connections: it is the next
    /// lender itself, or none of the others could be asked. Nothing has run then.
    Task<std::optional<tl::expected<ConnectionLease, AcquireFailure>>> borrow(std::shared_ptr<DatabaseService> service, PermitRequest request, std::chrono::milliseconds answerTimeout);

private:
    const std::vector<LenderCandidate>& ranking(const std::string& service);
    /// Null if the host is not known any more.
    std::shared_ptr<LenderLink> linkTo(const std::string& host);

    asio::io_context& m_io;
    const HostDirectory& m_hosts;
    const PoolerSettings& m_settings;
    PoolerMetrics& m_metrics;
    std::uint64_t m_hostsVersion = 0; ///< Of the directory that the rankings were made from.
    std::map<std::string, std::vector<LenderCandidate>> m_rankings; ///< By service.
    std::map<std::string, std::shared_ptr<LenderLink>> m_links; ///< By host.
};

} // namespace kumquatbank
