#include "LimitService.h"

#include "LimitMessage.h"
#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/KeepRunning.h"
#include "kumquatbank/engine/LogFailure.h"

#include <boost/asio/co_spawn.hpp>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr std::string_view coordinatorDuty = "account limits";
    /// Coordinators that a host tries, in its region first.
    constexpr std::size_t maxCoordinators = 3;
    constexpr milliseconds requestTimeout { 150 };
    /// Between two requests of a coordinator to the others for accounts that are short.
    constexpr milliseconds exchangeInterval { 100 };
    /// Between two requests if hosts wait for tokens.
    constexpr milliseconds minExchangeInterval { 50 };
    /// Between two requests to the others if no account is short; they carry the number of hosts.
    constexpr milliseconds exchangeIdleInterval { 500 };
    /// Between two rounds while there is no coordinator to ask.
    constexpr milliseconds idleInterval { 100 };
    /// Between two requests for the same operation.
    constexpr milliseconds minAskInterval { 10 };
    constexpr milliseconds logInterval { 1000 };
    constexpr milliseconds defaultRetryAfter { 200 };
    constexpr std::string_view limitReached = "the account's limit is reached";
    constexpr std::string_view noCoordinator = "no host that counts the account's limit answers";
    /// Without limits, the tasks wait for their wake-up; the time has no meaning.
    constexpr std::chrono::hours forever { 24 };

    std::uint64_t randomRun() { return (static_cast<std::uint64_t>(std::random_device {}()) << 32U) | std::random_device {}(); }

} // namespace

LimitService::LimitService(asio::io_context& io, const HostDirectory& hosts, const PoolerSettings& settings, const ServiceRegistry& registry, PoolerMetrics& metrics)
    : m_io(io)
    , m_hosts(hosts)
    , m_settings(settings)
    , m_registry(registry)
    , m_metrics(metrics)
    , m_share(settings.host, BootClock::now())
    , m_pool(randomRun(), BootClock::now())
    , m_wakeRequests(io)
    , m_wakeExchange(io)
{
}

void LimitService::start()
{
    keepRunning(m_io, "limit_requests", [this] { return runRequests(); });
    keepRunning(m_io, "limit_exchange", [this] { return runExchange(); });
}

void LimitService::refresh()
{
    const auto config = m_registry.config();
    const auto now = BootClock::now();
    if (!config)
        return;
    if (config != m_config || m_bound != m_settings.limitBound) {
        m_config = config;
        m_bound = m_settings.limitBound;
        LimitTermsByAccount terms;
        for (const auto& [name, account] : config->accounts) {
            if (account.limit)
                terms.emplace(name, LimitTerms::of(*account.limit, m_bound));
        }
        const bool hadLimits = m_share.hasLimits();
        m_share.setTerms(terms, now);
        m_pool.setTerms(terms, now);
        std::erase_if(m_refusals, [&](const auto& item) { return !terms.contains(item.first); });
        if (hadLimits != m_share.hasLimits())
            EventLog::info("limits_in_force", { { "accounts", terms.size() }, { "config_version", config->version } });
        m_wakeRequests.wake();
        m_wakeExchange.wake();
    }
    if (!m_hosts.isPopulated())
        return;
    const int hosts = static_cast<int>(m_hosts.peers().size()) + 1;
    m_share.recordHostCount(hosts, now);
    m_pool.recordHostCount(hosts, now);
    if (m_share.hasLimits() && m_hostsVersion != m_hosts.version())
        updateRankings();
}

void LimitService::updateRankings()
{
    m_hostsVersion = m_hosts.version();
    m_ranking.clear();
    m_otherCoordinators.clear();
    const auto& placement = m_hosts.placement();
    const auto candidates = placement.holders(coordinatorDuty, m_settings.region);
    std::ranges::transform(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(std::min(candidates.size(), maxCoordinators)), std::back_inserter(m_ranking), &PlacementHost::name);
    for (const auto& region : placement.lendingRegions()) {
        const auto first = placement.holders(coordinatorDuty, region).front().name;
        if (first != m_settings.host)
            m_otherCoordinators.push_back(first);
    }
    const auto isGone = [this](const auto& item) {
        const auto* peer = m_hosts.find(item.first);
        return peer == nullptr || peer->loanAddress != item.second->address();
    };
    std::erase_if(m_links, isGone);
    std::erase_if(m_exchangeLinks, isGone);
}

std::shared_ptr<LimitLink> LimitService::link(const std::string& host)
{
    const auto* peer = m_hosts.find(host);
    if (peer == nullptr || !peer->loanAddress)
        return nullptr;
    auto& found = m_links[host];
    if (!found)
        found = std::make_shared<LimitLink>(m_io, *peer->loanAddress);
    return found;
}

LimitDecision LimitService::admitted(BootTime sendUntil)
{
    m_metrics.limitDecided("admitted");
    return { true, milliseconds(0), {}, sendUntil };
}

LimitDecision LimitService::refuse(const std::string& account, milliseconds retryAfter, std::string_view reason)
{
    m_metrics.limitDecided(reason == limitReached ? "limit_reached" : "no_coordinator");
    const auto now = BootClock::now();
    auto& refusals = m_refusals[account];
    ++refusals.count;
    if (refusals.loggedAt + logInterval <= now) {
        const auto answeredAt = m_share.coordinatorAnsweredAt(m_coordinator);
        const auto it = m_config->accounts.find(account);
        const bool isLimited = it != m_config->accounts.end() && it->second.limit;
        EventLog::warn("limit_refused", { { "account", account }, { "reason", reason }, { "refused", refusals.count }, { "limit_per_s", isLimited ? static_cast<std::int64_t>(it->second.limit->perSecond) : -1 }, { "demand_here_per_s", static_cast<std::int64_t>(m_share.demand(account, now)) }, { "coordinator", m_coordinator }, { "coordinator_age_ms", answeredAt ? toMs(now - *answeredAt) : -1 }, { "config_version", m_config->version }, { "retry_after_ms", retryAfter.count() } });
        refusals = { now, 0 };
    }
    return { false, retryAfter, reason, {} };
}

LimitDecision LimitService::refuseWithoutCoordinator(const std::string& account, BootTime now)
{
    return refuse(account, std::max(defaultRetryAfter, m_share.untilReturn(now)), noCoordinator);
}

Task<LimitDecision> LimitService::admit(std::string account)
{
    refresh();
    if (!m_share.isLimited(account))
        co_return LimitDecision();
    const auto now = BootClock::now();
    m_share.recordDemand(account, now);
    const bool isFirst = std::ranges::find(m_waiters, account, &Waiter::account) == m_waiters.end();
    if (const auto sendUntil = isFirst ? m_share.take(account, now) : std::nullopt) {
        if (m_share.needsTokensAhead(account, now))
            m_wakeRequests.wake();
        co_return admitted(*sendUntil);
    }
    if (const auto retryAfter = m_share.knownShortage(account, now))
        co_return refuse(account, *retryAfter, limitReached);
    auto& waiter = m_waiters.emplace_back(m_io);
    const auto it = std::prev(m_waiters.end());
    waiter.account = account;
    waiter.deadline = now + LimitTimes::maxWait;
    waiter.askAt = now;
    m_wakeRequests.wake();
    co_await waiter.event.wait(waiter.deadline);
    const auto decision = waiter.decision;
    m_waiters.erase(it);
    if (decision)
        co_return *decision;
    const auto end = BootClock::now();
    if (const auto sendUntil = m_share.take(account, end))
        co_return admitted(*sendUntil);
    if (m_isCoordinatorSilent)
        co_return refuseWithoutCoordinator(account, end);
    co_return refuse(account, defaultRetryAfter, limitReached);
}

BootTime LimitService::nextRequestAt() const
{
    auto next = m_share.nextRequestAt();
    for (const auto& waiter : m_waiters) {
        if (!waiter.decision)
            next = std::min(next, waiter.askAt);
    }
    return next;
}

Task<void> LimitService::runRequests()
{
    while (true) {
        if (!m_share.hasLimits() || m_ranking.empty()) {
            const auto until = BootClock::now() + (m_share.hasLimits() ? idleInterval : milliseconds(forever));
            co_await m_wakeRequests.wait(until);
            decideWaiters(nullptr, BootClock::now());
            continue;
        }
        const auto suspect = m_share.coordinatorToProbe(m_ranking, BootClock::now());
        if (!suspect.empty())
            asio::co_spawn(m_io, probe(suspect), LogFailure("limit_probe"));
        const auto coordinator = m_share.chooseCoordinator(m_ranking, BootClock::now());
        recordCoordinator(coordinator, BootClock::now());
        if (coordinator.empty()) {
            m_isCoordinatorSilent = true;
            decideWaiters(nullptr, BootClock::now());
            const auto until = BootClock::now() + idleInterval;
            co_await m_wakeRequests.wait(until);
            continue;
        }
        co_await askCoordinator(coordinator);
        const auto next = nextRequestAt();
        co_await m_wakeRequests.wait(next);
    }
}

Task<void> LimitService::askCoordinator(std::string coordinator)
{
    std::map<std::string, int, std::less<>> waiting;
    for (const auto& waiter : m_waiters) {
        if (!waiter.decision)
            ++waiting[waiter.account];
    }
    const auto sentAt = BootClock::now();
    auto request = m_share.makeRequest(coordinator, waiting, sentAt);
    std::optional<LimitReply> reply;
    if (coordinator == m_settings.host) {
        reply = m_pool.handle(request, sentAt);
        if (!reply->retryAfter.empty())
            m_wakeExchange.wake();
    } else if (const auto target = link(coordinator)) {
        const auto deadline = sentAt + requestTimeout;
        reply = co_await target->ask(std::move(request), deadline);
    }
    const auto now = BootClock::now();
    if (reply)
        m_share.applyReply(coordinator, *reply, sentAt, now);
    else
        m_share.recordFailure(coordinator, now);
    m_isCoordinatorSilent = !reply;
    m_metrics.limitRequestCompleted(reply ? "ok" : "failed");
    decideWaiters(reply ? &*reply : nullptr, now);
}

Task<void> LimitService::probe(std::string coordinator)
{
    const auto target = coordinator == m_settings.host ? nullptr : link(coordinator);
    if (!target || target->isBusy())
        co_return;
    const auto sentAt = BootClock::now();
    auto request = m_share.makeProbe(sentAt);
    const auto deadline = sentAt + requestTimeout;
    const auto reply = co_await target->ask(std::move(request), deadline);
    if (reply)
        m_share.applyReply(coordinator, *reply, sentAt, BootClock::now());
}

void LimitService::decideWaiters(const LimitReply* reply, BootTime now)
{
    for (auto& waiter : m_waiters) {
        if (waiter.decision)
            continue;
        if (!m_share.isLimited(waiter.account)) {
            waiter.decision = LimitDecision();
        } else if (const auto sendUntil = m_share.take(waiter.account, now)) {
            waiter.decision = admitted(*sendUntil);
        } else if (reply == nullptr) {
            if (m_share.usesOwnShare(now))
                waiter.decision = refuseWithoutCoordinator(waiter.account, now);
        } else if (const auto it = reply->retryAfter.find(waiter.account); it != reply->retryAfter.end()) {
            if (now + it->second >= waiter.deadline)
                waiter.decision = refuse(waiter.account, it->second, limitReached);
            else
                waiter.askAt = now + std::max(it->second, minAskInterval);
        } else {
            // The coordinator does not know the account yet.
            waiter.askAt = now + minAskInterval;
        }
        if (waiter.decision)
            waiter.event.wake();
    }
}

void LimitService::recordCoordinator(const std::string& coordinator, BootTime now)
{
    if (coordinator == m_coordinator)
        return;
    const auto answeredAt = m_share.coordinatorAnsweredAt(m_coordinator);
    EventLog::info("limit_coordinator_changed", { { "from", m_coordinator }, { "to", coordinator }, { "last_answer_ms", answeredAt ? toMs(now - *answeredAt) : -1 }, { "share_lent_to", m_share.lender(now) }, { "hosts", m_share.hostCount(now) } });
    m_coordinator = coordinator;
}

std::string LimitService::answer(std::string_view line)
{
    refresh();
    const auto request = LimitMessage::parseRequest(line);
    if (!request)
        return {};
    const auto reply = m_pool.handle(*request, BootClock::now());
    if (!reply.retryAfter.empty())
        m_wakeExchange.wake();
    for (const auto& [account, tokens] : reply.grants)
        m_metrics.limitTokensGranted(request->isExchange ? "exchange" : "host", tokens);
    return LimitMessage::formatReply(reply);
}

Task<void> LimitService::runExchange()
{
    auto idleSince = BootClock::now();
    while (true) {
        if (!m_share.hasLimits() || m_otherCoordinators.empty() || !m_pool.isInUse(BootClock::now())) {
            const auto until = BootClock::now() + (m_share.hasLimits() ? exchangeIdleInterval : milliseconds(forever));
            co_await m_wakeExchange.wait(until);
            continue;
        }
        const auto now = BootClock::now();
        const auto wants = m_pool.wantedFromOthers(m_otherCoordinators.size(), now);
        if (!wants.empty() || now - idleSince >= exchangeIdleInterval) {
            idleSince = now;
            for (const auto& coordinator : m_otherCoordinators)
                asio::co_spawn(m_io, exchangeWith(coordinator, wants), LogFailure("limit_exchange"));
        }
        co_await sleepFor(m_io, minExchangeInterval);
        const auto until = now + exchangeInterval;
        co_await m_wakeExchange.wait(until);
    }
}

Task<void> LimitService::exchangeWith(std::string coordinator, std::map<std::string, double, std::less<>> wants)
{
    const auto* peer = m_hosts.find(coordinator);
    if (peer == nullptr || !peer->loanAddress)
        co_return;
    auto& slot = m_exchangeLinks[coordinator];
    if (!slot)
        slot = std::make_shared<LimitLink>(m_io, *peer->loanAddress);
    const auto target = slot;
    if (target->isBusy())
        co_return;
    const auto sentAt = BootClock::now();
    LimitRequest request;
    request.host = m_settings.host;
    request.hosts = m_pool.ownHostCount(sentAt);
    request.isExchange = true;
    request.wants = std::move(wants);
    const auto deadline = sentAt + LimitTimes::exchangeValidity;
    const auto reply = co_await target->ask(request, deadline);
    m_metrics.limitExchangeCompleted(reply ? "ok" : "failed");
    if (reply)
        m_pool.applyExchange(request, *reply, sentAt, BootClock::now());
}

nlohmann::json LimitService::describe()
{
    const auto now = BootClock::now();
    nlohmann::json accounts = nlohmann::json::object();
    for (const auto& use : m_pool.describe(now)) {
        const auto it = m_config ? m_config->accounts.find(use.account) : decltype(m_config->accounts.end()) {};
        nlohmann::json entry { { "demandHerePerS", m_share.demand(use.account, now) } };
        if (m_config && it != m_config->accounts.end() && it->second.limit)
            entry["limitPerS"] = it->second.limit->perSecond;
        if (m_pool.isInUse(now)) {
            entry["requestedPerS"] = use.requestedPerSecond;
            entry["grantedPerS"] = use.grantedPerSecond;
            entry["tokens"] = use.level;
        }
        accounts[use.account] = std::move(entry);
    }
    return { { "coordinator", m_coordinator }, { "shareLentTo", m_share.lender(now) }, { "hosts", m_share.hostCount(now) }, { "lenders", m_pool.lenders(now) }, { "waiting", m_waiters.size() }, { "accounts", std::move(accounts) } };
}

} // namespace kumquatbank
