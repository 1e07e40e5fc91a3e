#include "kumquatbank/routing/LimitPool.h"

#include <algorithm>
#include <cmath>

namespace kumquatbank {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

namespace {

    /// Tokens that a coordinator keeps for its own hosts, in seconds of their demand.
    constexpr Seconds reservedDemandTime { 0.25 };
    /// An account whose demand is below this rate needs no tokens in advance.
    constexpr double minDemandPerSecond = 0.01;
    /// Requests to several coordinators together exceed what is needed by this factor, because some give less.
    constexpr double exchangeFactor = 1.5;
    /// Requests of this time that were not granted count as those that ask again.
    constexpr Seconds backlogTime { 0.5 };
    /// Absorbs rounding when fractions of tokens add up to a whole one.
    constexpr double roundingTolerance = 1e-6;
    /// Until tokens of other coordinators may arrive.
    constexpr milliseconds exchangeRetryAfter { 40 };
    /// For which a coordinator is taken to have no tokens to spare. Exceeds the interval of the requests to it.
    constexpr milliseconds shortageMemory { 300 };
    constexpr milliseconds minRetryAfter { 20 };
    constexpr milliseconds maxRetryAfter { 2000 };
    /// Part of the lent shares that a pool counts in the first lease time after its start.
    constexpr double youngPoolPart = 0.5;
    /// Upper bound on the number of tokens in one request, against values that do not come from this program.
    constexpr double maxWanted = 1e6;

} // namespace

LimitPool::LimitPool(std::uint64_t run, BootTime now)
    : m_run(run)
    , m_startedAt(now)
    , m_buckets(now)
{
}

void LimitPool::setTerms(const LimitTermsByAccount& terms, BootTime now)
{
    advance(now);
    m_buckets.setTerms(terms, now);
    std::erase_if(m_accounts, [&](const auto& item) { return !terms.contains(item.first); });
    for (const auto& [name, accountTerms] : terms)
        m_accounts.try_emplace(name);
}

void LimitPool::recordHostCount(int hosts, BootTime now)
{
    advance(now);
    if (hosts > 0)
        m_hostCounts.record(hosts, now);
    updateFraction(now);
}

void LimitPool::updateFraction(BootTime now)
{
    const int hosts = std::max<int>(hostCount(now), static_cast<int>(m_leases.size()));
    // Until a lease after the start, some shares may be counted by another coordinator as well. Half of their production
    // keeps the total within the bound.
    const double part = now < m_startedAt + LimitTimes::lease ? youngPoolPart : 1;
    m_buckets.setFraction(hosts == 0 ? 0 : part * static_cast<double>(m_leases.size()) / hosts, now);
}

void LimitPool::advance(BootTime now)
{
    while (true) {
        const auto first = std::ranges::min_element(m_leases, {}, [](const auto& item) { return item.second; });
        if (first == m_leases.end() || first->second > now)
            return;
        const auto endedAt = first->second;
        std::erase_if(m_leases, [endedAt](const auto& item) { return item.second <= endedAt; });
        updateFraction(endedAt);
    }
}

LimitReply LimitPool::handle(const LimitRequest& request, BootTime now)
{
    advance(now);
    if (request.hosts > 0)
        (request.isExchange ? m_otherHostCounts : m_hostCounts).record(request.hosts, now);
    bool isFirstLease = false;
    if (request.stamp && !request.isExchange && request.stamp->run == m_run && request.stamp->time <= now) {
        const auto leaseEnd = request.stamp->time + LimitTimes::lease;
        if (leaseEnd > now) {
            isFirstLease = request.isFirstLease && !m_leases.contains(request.host);
            auto& lease = m_leases[request.host];
            lease = std::max(lease, leaseEnd);
        }
    }
    updateFraction(now);
    for (const auto& [name, account] : m_accounts) {
        if (isFirstLease)
            m_buckets.put(name, m_buckets.find(name)->startCredit / std::max(1, hostCount(now)), now);
    }
    LimitReply reply;
    reply.stamp = { m_run, now };
    // An earlier run of the host has lent the share to this pool, or to an earlier run of it, whose tokens are gone. Without
    // this, a fleet that restarts as a whole admits nothing for the time of a lease. A pool that has just started cannot rule
    // out that a coordinator which replaced it still counts the share; see updateFraction().
    reply.mayLendAtOnce = m_leases.contains(request.host) || now < m_startedAt + LimitTimes::lease;
    reply.hosts = request.isExchange ? ownHostCount(now) : hostCount(now);
    for (const auto& [name, wants] : request.wants) {
        const auto it = m_accounts.find(name);
        if (it == m_accounts.end())
            continue;
        const double wanted = std::clamp(wants, 0.0, maxWanted);
        if (request.isExchange) {
            if (const double given = takeForOthers(name, it->second, wanted, now); given > 0)
                reply.grants[name] = given;
            continue;
        }
        it->second.requested.add(wanted, now);
        const double granted = takeForHost(name, it->second, wanted, now);
        it->second.granted.add(granted, now);
        if (granted > 0)
            reply.grants[name] = granted;
        if (granted < std::floor(wanted))
            reply.retryAfter[name] = retryAfter(name, it->second, wanted - granted, now);
    }
    return reply;
}

double LimitPool::takeForHost(const std::string& name, Account& account, double wanted, BootTime now)
{
    const double available = account.received.count(now) + m_buckets.level(name, now);
    const double granted = std::floor(std::min(wanted, available + roundingTolerance));
    // Tokens that expire are used first.
    const double fromReceived = account.received.take(granted, now);
    m_buckets.take(name, granted - fromReceived, now);
    return granted;
}

double LimitPool::takeForOthers(const std::string& name, Account& account, double wanted, BootTime now)
{
    // No whole token is reserved: the pools of an account with a low rate could each keep one, or a part of one, and nobody
    // could use them.
    const double spare = m_buckets.level(name, now) - account.requested.perSecond(now) * reservedDemandTime.count();
    return m_buckets.take(name, std::min(wanted, std::max(0.0, spare)), now);
}

bool LimitPool::mayOthersGive(const Account& account, BootTime now) const
{
    const bool haveGiven = now < account.othersGaveAt + shortageMemory;
    const bool haveLacked = now < account.othersLackedAt + shortageMemory;
    return m_hasOthers && (haveGiven || !haveLacked);
}

milliseconds LimitPool::retryAfter(const std::string& name, const Account& account, double missing, BootTime now)
{
    if (mayOthersGive(account, now))
        return exchangeRetryAfter;
    const double production = m_buckets.find(name)->perSecond * m_buckets.fraction();
    // Other hosts have requested in vain as well, and most of them will ask again.
    const double backlog = std::max(0.0, account.requested.perSecond(now) - account.granted.perSecond(now)) * backlogTime.count();
    const double needed = std::max(missing, backlog) - m_buckets.level(name, now);
    if (production <= 0 || Seconds(needed / production) >= Seconds(maxRetryAfter))
        return maxRetryAfter;
    return std::max(minRetryAfter, std::chrono::ceil<milliseconds>(Seconds(needed / production)));
}

std::map<std::string, double, std::less<>> LimitPool::wantedFromOthers(std::size_t others, BootTime now)
{
    std::map<std::string, double, std::less<>> wanted;
    advance(now);
    m_hasOthers = others > 0;
    if (others == 0)
        return wanted;
    for (auto& [name, account] : m_accounts) {
        const double demand = account.requested.perSecond(now);
        if (demand < minDemandPerSecond)
            continue;
        const double needed = 1 + demand * reservedDemandTime.count();
        const double available = m_buckets.level(name, now) + account.received.count(now);
        if (available < needed)
            wanted[name] = (needed - available) * (others > 1 ? exchangeFactor : 1) / static_cast<double>(others);
    }
    return wanted;
}

void LimitPool::applyExchange(const LimitRequest& request, const LimitReply& reply, BootTime sentAt, BootTime now)
{
    advance(now);
    if (reply.hosts > 0)
        m_otherHostCounts.record(reply.hosts, now);
    updateFraction(now);
    for (const auto& [name, wanted] : request.wants) {
        const auto it = m_accounts.find(name);
        if (it == m_accounts.end())
            continue;
        const auto grant = reply.grants.find(name);
        const double given = grant == reply.grants.end() ? 0 : std::clamp(grant->second, 0.0, wanted);
        (given < wanted / 2 ? it->second.othersLackedAt : it->second.othersGaveAt) = now;
        if (now >= sentAt + LimitTimes::exchangeValidity)
            continue;
        const double added = m_buckets.put(name, given, now);
        it->second.received.add(given - added, sentAt, LimitTimes::exchangeValidity);
    }
}

bool LimitPool::isInUse(BootTime now) { return lenders(now) > 0; }

std::size_t LimitPool::lenders(BootTime now)
{
    advance(now);
    return m_leases.size();
}

std::vector<LimitUse> LimitPool::describe(BootTime now)
{
    advance(now);
    std::vector<LimitUse> uses;
    std::ranges::transform(m_accounts, std::back_inserter(uses), [&](const auto& item) {
        return LimitUse { item.first, *m_buckets.find(item.first), m_buckets.level(item.first, now), item.second.requested.perSecond(now), item.second.granted.perSecond(now) };
    });
    return uses;
}

} // namespace kumquatbank
