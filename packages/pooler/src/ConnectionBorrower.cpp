#include "ConnectionBorrower.h"

#include "DatabaseService.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Holders of the region that are asked for one request. Beyond them it does better with a connection of this host.
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
        // The rest is never asked, and all hosts for each service would be most of the memory of a large fleet.
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

Task<ConnectionBorrower::Offer> ConnectionBorrower::askOne(std::shared_ptr<LenderLink> link, std::shared_ptr<DatabaseService> service, ConnectionDemand demand, bool waitsForEndpoint)
{
    Offer offer;
    const auto since = BootClock::now();
    LoanRequest asked;
    asked.service = service->name();
    asked.eligibility = demand.permit.eligibility;
    asked.priority = demand.permit.priority;
    asked.maxWait = std::max(milliseconds(0), std::chrono::floor<milliseconds>(demand.permit.giveUpAt - since));
    asked.answerTimeout = demand.answerTimeout;
    asked.excluded = demand.permit.excluded;
    asked.waitsForEndpoint = waitsForEndpoint;
    if (demand.freshness)
        asked.maxStaleness = demand.freshness->maxStaleness;
    auto loan = co_await link->ask(std::move(asked), demand.permit.giveUpAt);
    m_metrics.borrowed(loanOutcomeName(loan.outcome));
    if (loan.outcome == LoanOutcome::Refused)
        offer.loan = tl::unexpected(AcquireFailure { ErrorCode::Busy, "refused by lender " + link->host() + ": " + loan.reason, loan.retryAfter });
    offer.isUnreachable = loan.outcome == LoanOutcome::Unreachable;
    if (loan.outcome != LoanOutcome::Granted)
        co_return offer;
    if (loan.sample)
        service->notePeerSample(*loan.sample, since);
    const auto endpoint = service->find(loan.endpoint);
    if (endpoint) {
        offer.loan = ConnectionLease(service, endpoint, std::move(loan.connection), since, link);
        co_return offer;
    }
    // This host knows other endpoints than the lender; its own connections fit what it knows.
    EventLog::warn("loan_of_unknown_endpoint", { { "service", service->name() }, { "endpoint", loan.endpoint }, { "lender", link->host() } });
    link->takeBack(std::move(loan.connection));
    co_return offer;
}

Task<ConnectionBorrower::Loan> ConnectionBorrower::borrow(std::shared_ptr<DatabaseService> service, ConnectionDemand demand)
{
    // A copy: the ranking may change during a call.
    const auto holders = ranking(service->name());
    std::shared_ptr<LenderLink> unreachable;
    for (const auto& holder : holders) {
        if (holder.name == m_settings.host) {
            if (service->isGivingUpHolding())
                continue;
            if (service->reaches(demand))
                co_return std::nullopt;
            break;
        }
        const auto link = usableLink(holder.name);
        if (!link)
            continue;
        auto offer = co_await askOne(link, service, demand, false);
        if (offer.loan)
            co_return std::move(offer.loan);
        if (offer.isUnreachable) {
            unreachable = link;
            break;
        }
    }
    auto around = co_await borrowAround(service, demand);
    if (around || !unreachable)
        co_return around;
    // Nobody reaches an endpoint now; the first to find one again is the holder, which looks for it all the time.
    auto offer = co_await askOne(unreachable, service, demand, true);
    co_return std::move(offer.loan);
}

Task<ConnectionBorrower::Loan> ConnectionBorrower::borrowAround(std::shared_ptr<DatabaseService> service, ConnectionDemand demand)
{
    for (const auto& region : std::set<std::string>(m_hosts.placement().lendingRegions())) {
        const auto holders = m_hosts.placement().holders(service->name(), region);
        const auto holder = std::ranges::find_if(holders, [this](const PlacementHost& host) { return host.name != m_settings.host; });
        const bool isAsked = region == m_settings.region && service->isLent();
        if (isAsked || holder == holders.end() || BootClock::now() >= demand.permit.giveUpAt)
            continue;
        const auto link = usableLink(holder->name);
        if (!link)
            continue;
        auto offer = co_await askOne(link, service, demand, false);
        if (offer.loan && *offer.loan) {
            EventLog::info("borrowed_around", { { "service", service->name() }, { "lender", link->host() }, { "endpoint", (*offer.loan)->endpointId() } });
            co_return std::move(offer.loan);
        }
    }
    co_return std::nullopt;
}

} // namespace kumquatbank
