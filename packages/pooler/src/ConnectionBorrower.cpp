#include "ConnectionBorrower.h"

#include "DatabaseService.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Lenders that are asked for one request. Beyond them the request does better with a connection of this host.
    constexpr std::size_t maxLenders = 3;

} // namespace

ConnectionBorrower::ConnectionBorrower(asio::io_context& io, const HostDirectory& hosts, const PoolerSettings& settings, PoolerMetrics& metrics)
    : m_io(io)
    , m_hosts(hosts)
    , m_settings(settings)
    , m_metrics(metrics)
{
}

const std::vector<LenderCandidate>& ConnectionBorrower::ranking(const std::string& service)
{
    if (m_hostsVersion != m_hosts.version()) {
        m_hostsVersion = m_hosts.version();
        m_rankings.clear();
        std::erase_if(m_links, [this](const auto& item) {
            return std::ranges::none_of(m_hosts.peers(), [&](const PeerHost& peer) { return peer.name == item.first && peer.loanAddress == item.second->address(); });
        });
    }
    const auto [it, isNew] = m_rankings.try_emplace(service);
    if (isNew) {
        std::vector<LenderCandidate> candidates { { m_settings.host, m_settings.region } };
        for (const auto& peer : m_hosts.peers()) {
            if (peer.loanAddress)
                candidates.push_back({ peer.name, peer.region });
        }
        it->second = rankLenders(service, m_settings.region, std::move(candidates));
    }
    return it->second;
}

bool ConnectionBorrower::isLender(const std::string& service) { return ranking(service).front().name == m_settings.host; }

std::shared_ptr<LenderLink> ConnectionBorrower::linkTo(const std::string& host)
{
    const auto peer = std::ranges::find(m_hosts.peers(), host, &PeerHost::name);
    if (peer == m_hosts.peers().end() || !peer->loanAddress)
        return nullptr;
    auto& link = m_links[host];
    if (!link)
        link = std::make_shared<LenderLink>(m_io, host, *peer->loanAddress);
    return link;
}

Task<std::optional<tl::expected<ConnectionLease, AcquireFailure>>> ConnectionBorrower::borrow(std::shared_ptr<DatabaseService> service, PermitRequest request, milliseconds answerTimeout)
{
    // A copy: the ranking may change during a call.
    auto lenders = ranking(service->name());
    lenders.resize(std::min(lenders.size(), maxLenders));
    for (const auto& [name, region] : lenders) {
        if (name == m_settings.host)
            co_return std::nullopt;
        const auto link = linkTo(name);
        if (!link || !link->isUsable())
            continue;
        const auto since = BootClock::now();
        LoanRequest asked;
        asked.service = service->name();
        asked.eligibility = request.eligibility;
        asked.priority = request.priority;
        asked.maxWait = std::max(milliseconds(0), std::chrono::floor<milliseconds>(request.giveUpAt - since));
        asked.answerTimeout = answerTimeout;
        asked.excluded = request.excluded;
        auto loan = co_await link->ask(std::move(asked), request.giveUpAt);
        m_metrics.borrowed(loanOutcomeName(loan.outcome));
        if (loan.outcome == LoanOutcome::Refused)
            co_return tl::unexpected(AcquireFailure { ErrorCode::Busy, "refused by lender " + name + ": " + loan.reason, loan.retryAfter });
        if (loan.outcome != LoanOutcome::Granted)
            continue;
        const auto endpoint = service->find(loan.endpoint);
        if (!endpoint) {
            // This host knows other endpoints than the lender; its own connections fit what it knows.
            EventLog::warn("loan_of_unknown_endpoint", { { "service", service->name() }, { "endpoint", loan.endpoint }, { "lender", name } });
            link->takeBack(std::move(loan.connection));
            co_return std::nullopt;
        }
        co_return ConnectionLease(service, endpoint, std::move(loan.connection), since, link);
    }
    co_return std::nullopt;
}

} // namespace kumquatbank
