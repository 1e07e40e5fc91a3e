#include "ConnectionBorrower.h"

#include "DatabaseService.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Holders of the region that are queried for one request. After that, a connection of this host is the better
    /// choice.
    constexpr std::size_t maxLenders = 3;

} // namespace

ConnectionBorrower::ConnectionBorrower(asio::io_context& io, const HostDirectory& hosts, const PoolerSettings& settings, PoolerMetrics& metrics)
    : m_io(io)
    , m_hosts(hosts)
    , m_settings(settings)
    , m_metrics(metrics)
{
}

const std::vector<PlacementHost>& ConnectionBorrower::ranking(const std::string& service)
{
    if (m_hostsVersion != m_hosts.version()) {
        m_hostsVersion = m_hosts.version();
        m_rankings.clear();
        std::erase_if(m_links, [this](const auto& item) {
            const auto* peer = m_hosts.find(item.first);
            return peer == nullptr || peer->loanAddress != item.second->address();
        });
    }
    const auto [it, isNew] = m_rankings.try_emplace(service);
    if (isNew) {
        it->second = m_hosts.placement().holders(service, m_settings.region);
        // Holders of lower rank are never queried, and keeping all hosts for each service would take up most of the
        // memory in a large fleet.
        it->second.resize(std::min(it->second.size(), maxLenders));
        it->second.shrink_to_fit();
    }
    return it->second;
}

std::optional<std::size_t> ConnectionBorrower::rank(const std::string& service)
{
    const auto& hosts = ranking(service);
    const auto it = std::ranges::find(hosts, m_settings.host, &PlacementHost::name);
    return it == hosts.end() ? std::nullopt : std::optional(static_cast<std::size_t>(std::distance(hosts.begin(), it)));
}

std::shared_ptr<LenderLink> ConnectionBorrower::usableLink(const std::string& host)
{
    const auto* peer = m_hosts.find(host);
    if (peer == nullptr || !peer->loanAddress)
        return nullptr;
    auto& link = m_links[host];
    if (!link)
        link = std::make_shared<LenderLink>(m_io, host, *peer->loanAddress);
    return link->isUsable() ? link : nullptr;
}

Task<ConnectionBorrower::LenderResponse> ConnectionBorrower::requestFrom(std::shared_ptr<LenderLink> link, std::shared_ptr<DatabaseService> service, ConnectionRequest request, bool waitsForEndpoint)
{
    LenderResponse response;
    const auto requestedAt = BootClock::now();
    LoanRequest loanRequest;
    loanRequest.service = service->name();
    loanRequest.account = request.account;
    loanRequest.eligibility = request.permit.eligibility;
    loanRequest.priority = request.permit.priority;
    loanRequest.maxWait = std::max(milliseconds(0), std::chrono::floor<milliseconds>(request.permit.queueDeadline - requestedAt));
    loanRequest.answerTimeout = request.answerTimeout;
    loanRequest.excluded = request.permit.excluded;
    loanRequest.waitsForEndpoint = waitsForEndpoint;
    loanRequest.isRepeatable = request.permit.isRepeatable;
    if (request.freshness)
        loanRequest.maxStaleness = request.freshness->maxStaleness;
    auto loan = co_await link->requestLoan(std::move(loanRequest), request.permit.queueDeadline, request.sender);
    m_metrics.loanRequestCompleted(loanOutcomeName(loan.outcome));
    if (loan.outcome == LoanOutcome::Refused)
        response.result = tl::unexpected(AcquireFailure { ErrorCode::Busy, "refused by lender " + link->host() + ": " + loan.reason, loan.retryAfter });
    response.isUnreachable = loan.outcome == LoanOutcome::Unreachable;
    if (loan.outcome != LoanOutcome::Granted)
        co_return response;
    if (loan.sample)
        service->recordPeerSample(*loan.sample, requestedAt);
    const auto endpoint = service->find(loan.endpoint);
    if (endpoint) {
        response.result = ConnectionLease(service, endpoint, std::move(loan.connection), requestedAt, link);
        co_return response;
    }
    // This host and the lender have different endpoint lists. Connections of this host match its own list.
    EventLog::warn("loan_of_unknown_endpoint", { { "service", service->name() }, { "endpoint", loan.endpoint }, { "lender", link->host() } });
    link->returnLoan(std::move(loan.connection));
    co_return response;
}

Task<ConnectionBorrower::BorrowResult> ConnectionBorrower::borrow(std::shared_ptr<DatabaseService> service, ConnectionRequest request)
{
    // Copied, because the ranking may change while a call is suspended.
    const auto holders = ranking(service->name());
    std::shared_ptr<LenderLink> unreachable;
    for (const auto& holder : holders) {
        if (holder.name == m_settings.host) {
            if (service->hasStoppedHolding())
                continue;
            if (service->canServe(request))
                co_return std::nullopt;
            break;
        }
        const auto link = usableLink(holder.name);
        if (!link)
            continue;
        auto response = co_await requestFrom(link, service, request, false);
        if (response.result)
            co_return std::move(response.result);
        if (response.isUnreachable) {
            unreachable = link;
            break;
        }
    }
    auto around = co_await borrowFromAnyRegion(service, request);
    if (around || !unreachable)
        co_return around;
    // No host can reach an endpoint at present. Wait at the holder: it probes continuously and is the first to find
    // one.
    auto response = co_await requestFrom(unreachable, service, request, true);
    co_return std::move(response.result);
}

Task<ConnectionBorrower::BorrowResult> ConnectionBorrower::borrowFromAnyRegion(std::shared_ptr<DatabaseService> service, ConnectionRequest request)
{
    for (const auto& region : std::set<std::string>(m_hosts.placement().lendingRegions())) {
        const auto holders = m_hosts.placement().holders(service->name(), region);
        const auto holder = std::ranges::find_if(holders, [this](const PlacementHost& host) { return host.name != m_settings.host; });
        const bool wasAlreadyQueried = region == m_settings.region && service->isLent();
        if (wasAlreadyQueried || request.hasLostSender() || holder == holders.end() || BootClock::now() >= request.permit.queueDeadline)
            continue;
        const auto link = usableLink(holder->name);
        if (!link)
            continue;
        auto response = co_await requestFrom(link, service, request, false);
        if (response.result && *response.result) {
            EventLog::info("borrowed_around", { { "service", service->name() }, { "lender", link->host() }, { "endpoint", (*response.result)->endpointId() } });
            co_return std::move(response.result);
        }
    }
    co_return std::nullopt;
}

} // namespace kumquatbank
