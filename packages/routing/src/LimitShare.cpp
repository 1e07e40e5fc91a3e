#include "kumquatbank/routing/LimitShare.h"

#include <algorithm>
#include <cmath>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Demand for which tokens are requested ahead, in seconds of it.
    constexpr std::chrono::duration<double> aheadTime { 0.25 };
    /// Accounts that are expected to use fewer tokens than this in aheadTime get none ahead, because most of them would
    /// expire. Four correspond to 16 operations a second on one host.
    constexpr double minTokensAhead = 4;
    constexpr int maxFailures = 2;
    /// Between two probes of a coordinator that did not answer.
    constexpr milliseconds probeInterval { 1000 };
    /// Until the request that lends the share, once its stamp is known.
    constexpr milliseconds followUpDelay { 5 };
    /// Longest time for which operations are refused without another request to the coordinator. Short, so that tokens that
    /// it produces meanwhile are used.
    constexpr milliseconds maxShortageMemory { 50 };
    /// Upper bound on the time that a coordinator may name.
    constexpr milliseconds maxMessageRetryAfter { 10'000 };
    /// Coordinators without an answer for this time are forgotten.
    constexpr milliseconds coordinatorRetention { 60'000 };

} // namespace

void LimitShare::Account::recordShortage(milliseconds retryAfter, BootTime now)
{
    shortUntil = now + std::clamp(retryAfter, milliseconds(0), maxShortageMemory);
    if (retryAfter < LimitTimes::maxWait)
        return;
    refuseUntil = shortUntil;
    retryAt = now + std::min(retryAfter, maxMessageRetryAfter);
}

void LimitShare::setTerms(const LimitTermsByAccount& terms, BootTime now)
{
    updateOwnShare(now);
    m_own.setTerms(terms, now);
    std::erase_if(m_accounts, [&](const auto& item) { return !terms.contains(item.first); });
    for (const auto& [name, accountTerms] : terms)
        m_accounts.try_emplace(name);
}

void LimitShare::recordHostCount(int hosts, BootTime now)
{
    if (hosts < 1)
        return;
    if (m_lentUntil == BootTime::max())
        m_lentUntil = now + LimitTimes::lease;
    m_listedHosts.record(hosts, now);
    updateOwnShare(now);
}

void LimitShare::updateOwnShare(BootTime now)
{
    const bool isLent = now < m_lentUntil;
    const int hosts = hostCount(now);
    const double fraction = isLent || hosts == 0 ? 0 : 1.0 / hosts;
    if (fraction == m_own.fraction())
        return;
    // A share that was lent produces from the end of the lease on.
    const bool hasReturned = m_own.fraction() == 0 && !isLent;
    m_own.setFraction(fraction, hasReturned ? std::min(now, m_lentUntil) : now);
}

bool LimitShare::usesOwnShare(BootTime now)
{
    updateOwnShare(now);
    return m_own.fraction() > 0;
}

void LimitShare::recordDemand(std::string_view account, BootTime now)
{
    if (const auto it = m_accounts.find(account); it != m_accounts.end())
        it->second.demand.add(1, now);
}

double LimitShare::demand(std::string_view account, BootTime now) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? 0 : it->second.demand.perSecond(now);
}

std::optional<BootTime> LimitShare::take(std::string_view account, BootTime now)
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return std::nullopt;
    const auto sendUntil = now + LimitTimes::sendAfterAdmission;
    if (const auto requestedAt = it->second.granted.takeOne(now))
        return std::min<BootTime>(sendUntil, *requestedAt + LimitTimes::sendAfterGrant);
    updateOwnShare(now);
    if (m_own.level(account, now) < 1)
        return std::nullopt;
    m_own.take(account, 1, now);
    return sendUntil;
}

std::optional<milliseconds> LimitShare::knownShortage(std::string_view account, BootTime now) const
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end() || it->second.refuseUntil <= now)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(it->second.retryAt - now);
}

double LimitShare::targetStock(const Account& account, BootTime now) const
{
    const double expected = account.demand.perSecond(now) * aheadTime.count();
    // The square root covers the deviation of arrivals that are independent of each other.
    return expected < minTokensAhead ? 0 : std::ceil(expected + std::sqrt(expected));
}

bool LimitShare::needsTokensAhead(std::string_view account, BootTime now)
{
    const auto it = m_accounts.find(account);
    return it != m_accounts.end() && it->second.shortUntil <= now && it->second.granted.count(now) < targetStock(it->second, now) / 2;
}

std::string LimitShare::chooseCoordinator(const std::vector<std::string>& ranking, BootTime now)
{
    const auto isUsable = [&](const std::string& name) {
        const auto it = m_coordinators.find(name);
        return it == m_coordinators.end() || !it->second.hasFailed;
    };
    const auto first = std::ranges::find_if(ranking, isUsable);
    m_firstCoordinator = first == ranking.end() ? std::string() : *first;
    // Until the lease is over, the coordinator that has the share has the tokens as well.
    const bool isHeld = now < m_lentUntil && !m_lentTo.empty() && isUsable(m_lentTo);
    return isHeld ? m_lentTo : m_firstCoordinator;
}

LimitRequest LimitShare::makeRequest(const std::string& coordinator, const std::map<std::string, int, std::less<>>& waiting, BootTime now)
{
    LimitRequest request;
    request.host = m_host;
    request.hosts = m_listedHosts.at(now);
    const auto& stamp = m_coordinators[coordinator].stamp;
    const bool mayLend = now >= m_lentUntil || m_lentTo == coordinator || (m_lentTo.empty() && m_firstLender == coordinator);
    if (stamp && mayLend && coordinator == m_firstCoordinator && now < stamp->receivedAt + LimitTimes::lease) {
        request.stamp = stamp->stamp;
        request.isFirstLease = m_lentTo.empty();
        m_lentTo = coordinator;
        m_lentUntil = now < m_lentUntil ? std::max<BootTime>(m_lentUntil, stamp->receivedAt + LimitTimes::lease) : stamp->receivedAt + LimitTimes::lease;
        updateOwnShare(now);
    }
    for (auto& [name, account] : m_accounts) {
        const auto it = waiting.find(name);
        const double ahead = account.shortUntil > now ? 0 : std::max(0.0, targetStock(account, now) - account.granted.count(now));
        const double wanted = ahead + (it == waiting.end() ? 0 : it->second);
        if (wanted >= 1)
            request.wants[name] = std::floor(wanted);
    }
    m_nextRequestAt = now + LimitTimes::renewalInterval;
    return request;
}

void LimitShare::applyReply(const std::string& coordinator, const LimitReply& reply, BootTime sentAt, BootTime now)
{
    auto& state = m_coordinators[coordinator];
    state.hasFailed = false;
    state.failures = 0;
    state.stamp = Stamp { reply.stamp, now };
    if (reply.hosts > 0)
        m_toldHosts.record(reply.hosts, now);
    if (reply.mayLendAtOnce && m_lentTo.empty())
        m_firstLender = coordinator;
    updateOwnShare(now);
    for (const auto& [name, tokens] : reply.grants) {
        if (const auto it = m_accounts.find(name); it != m_accounts.end())
            it->second.granted.add(std::floor(tokens), sentAt, LimitTimes::grantValidity);
    }
    for (const auto& [name, retryAfter] : reply.retryAfter) {
        if (const auto it = m_accounts.find(name); it != m_accounts.end())
            it->second.recordShortage(retryAfter, now);
    }
    // The stamp lends the share with the next request, which need not wait.
    if ((now >= m_lentUntil || (m_lentTo.empty() && m_firstLender == coordinator)) && coordinator == m_firstCoordinator)
        m_nextRequestAt = now + followUpDelay;
    std::erase_if(m_coordinators, [&](const auto& item) {
        const auto& stamp = item.second.stamp;
        return stamp ? stamp->receivedAt + coordinatorRetention < now : item.second.probeAt + coordinatorRetention < now;
    });
}

void LimitShare::recordFailure(const std::string& coordinator, BootTime now)
{
    auto& state = m_coordinators[coordinator];
    // The next coordinator has no tokens before the lease is over, so that little is lost by a second try, and a host that
    // is slow for a moment keeps the share.
    state.hasFailed = ++state.failures >= maxFailures || !state.stamp;
    state.probeAt = now + probeInterval;
    m_nextRequestAt = now;
}

std::string LimitShare::coordinatorToProbe(const std::vector<std::string>& ranking, BootTime now)
{
    const auto found = std::ranges::find_if(ranking, [&](const std::string& name) {
        const auto it = m_coordinators.find(name);
        return it != m_coordinators.end() && it->second.hasFailed && it->second.probeAt <= now;
    });
    if (found == ranking.end())
        return {};
    m_coordinators[*found].probeAt = now + probeInterval;
    return *found;
}

LimitRequest LimitShare::makeProbe(BootTime now)
{
    LimitRequest request;
    request.host = m_host;
    request.hosts = m_listedHosts.at(now);
    return request;
}

std::optional<BootTime> LimitShare::coordinatorAnsweredAt(const std::string& coordinator) const
{
    const auto it = m_coordinators.find(coordinator);
    return it == m_coordinators.end() || !it->second.stamp ? std::nullopt : std::optional(it->second.stamp->receivedAt);
}

} // namespace kumquatbank
