#pragma once

#include "kumquatbank/routing/ConnectionCache.h"
#include "kumquatbank/routing/ServiceScheduler.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

namespace kumquatbank {

/// One lender of one service: three endpoints, requests of many accounts at random times, and connections that belong to
/// one account each. Requests that would have to wait are refused.
class ConnectionSimulation {
public:
    enum class Policy {
        ByUse, ///< ConnectionCache, and reads prefer endpoints with an idle connection of their account.
        OldestFirst, ///< The connection that was idle for the longest time is closed; all endpoints cost the same.
    };

    static constexpr int endpoints = 3;
    static constexpr int share = 14; ///< Connections of the lender to each endpoint.
    static constexpr int accounts = 86;
    static constexpr std::chrono::milliseconds openingTime { 12 };
    static constexpr double readFraction = 0.75; ///< The other requests need the primary.

    explicit ConnectionSimulation(Policy policy)
        : m_policy(policy)
    {
        for (int n = 0; n < endpoints; ++n)
            m_scheduler.setEndpoint(std::to_string(n), true, n == 0, share);
        if (policy == Policy::ByUse)
            m_scheduler.setAccountOpeningCost([this](const std::string& id, const std::string& account) { return at(id).cache.openingCost(account, share, openingTime); });
    }

    /// The usual traffic: that of the n-th account is proportional to n^-1.2.
    static std::vector<double> usualRates(double requestsPerSecond)
    {
        std::vector<double> rates;
        for (int n = 1; n <= accounts; ++n)
            rates.push_back(std::pow(n, -1.2));
        const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
        std::ranges::for_each(rates, [&](double& rate) { rate *= requestsPerSecond / sum; });
        return rates;
    }

    /// Sends requests of the accounts at these rates a second for @p duration.
    void run(const std::vector<double>& rates, std::chrono::seconds duration, std::chrono::milliseconds meanHold)
    {
        const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
        std::discrete_distribution<int> account(rates.begin(), rates.end());
        const auto until = m_now + duration;
        std::ranges::for_each(m_endpoints, [&](SimulatedEndpoint& endpoint) { endpoint.cache.forgetUnused(m_now); });
        while (true) {
            m_now += randomTime(std::chrono::duration<double>(1.0 / total));
            while (!m_uses.empty() && m_uses.top().until <= m_now)
                endUse();
            if (m_now >= until)
                return;
            request(account(m_random), randomTime(meanHold));
        }
    }

    void resetCounts() { m_requests = m_opened = m_refused = m_otherRequests = m_otherOpened = 0; }
    double openedPerRequest() const { return static_cast<double>(m_opened) / m_requests; }
    /// The same for the requests of all accounts but the first.
    double othersOpenedPerRequest() const { return static_cast<double>(m_otherOpened) / m_otherRequests; }
    double refusedPerRequest() const { return static_cast<double>(m_refused) / m_requests; }
    int mostHeld() const { return m_mostHeld; }
    ServiceScheduler& scheduler() { return m_scheduler; }
    /// Number of endpoints on which the account holds connections.
    auto endpointsOf(int account) const
    {
        return std::ranges::count_if(m_endpoints, [&](const SimulatedEndpoint& endpoint) { return endpoint.cache.held(name(account)) > 0; });
    }

private:
    struct SimulatedEndpoint {
        std::vector<std::pair<std::string, BootTime>> idle;
        ConnectionCache cache;
    };

    struct Use {
        BootTime until;
        std::string endpoint;
        std::string account;
        BootClock::duration held;
        bool operator<(const Use& other) const { return until > other.until; }
    };

    static std::string name(int account) { return "account-" + std::to_string(account); }
    SimulatedEndpoint& at(const std::string& id) { return m_endpoints.at(static_cast<std::size_t>(std::stoi(id))); }

    BootClock::duration randomTime(std::chrono::duration<double> mean)
    {
        return std::chrono::duration_cast<BootClock::duration>(mean * std::exponential_distribution<double>()(m_random));
    }

    void request(int accountNumber, BootClock::duration hold)
    {
        ++m_requests;
        m_otherRequests += accountNumber == 0 ? 0 : 1;
        PermitRequest permit;
        permit.account = name(accountNumber);
        permit.eligibility = std::bernoulli_distribution(readFraction)(m_random) ? Eligibility::Any : Eligibility::PrimaryOnly;
        const auto granted = m_scheduler.tryAcquire(permit);
        if (!granted) {
            ++m_refused;
            return;
        }
        auto& endpoint = at(*granted);
        endpoint.cache.recordUse(permit.account, m_now);
        const auto own = std::ranges::find(endpoint.idle.rbegin(), endpoint.idle.rend(), permit.account, &std::pair<std::string, BootTime>::first);
        if (own != endpoint.idle.rend()) {
            endpoint.idle.erase(std::prev(own.base()));
            endpoint.cache.removeIdle(permit.account);
        } else {
            ++m_opened;
            m_otherOpened += accountNumber == 0 ? 0 : 1;
            makeRoom(endpoint, permit.account);
        }
        endpoint.cache.addInUse(permit.account);
        m_mostHeld = std::max(m_mostHeld, endpoint.cache.held());
        m_uses.push({ m_now + hold, *granted, permit.account, hold });
    }

    void makeRoom(SimulatedEndpoint& endpoint, const std::string& account)
    {
        if (endpoint.cache.held() < share)
            return;
        std::vector<ConnectionCache::Idle> idle;
        std::ranges::transform(endpoint.idle, std::back_inserter(idle), [](const auto& item) { return ConnectionCache::Idle { item.first, item.second }; });
        const std::size_t closed = m_policy == Policy::ByUse ? endpoint.cache.chooseReplaced(account, idle, share, m_now)->index : 0;
        endpoint.cache.removeIdle(endpoint.idle[closed].first);
        endpoint.idle.erase(endpoint.idle.begin() + static_cast<std::ptrdiff_t>(closed));
    }

    void endUse()
    {
        const auto use = m_uses.top();
        m_uses.pop();
        auto& endpoint = at(use.endpoint);
        endpoint.cache.removeInUse(use.account);
        endpoint.cache.recordHold(use.account, use.held, use.until);
        endpoint.cache.addIdle(use.account);
        endpoint.idle.emplace_back(use.account, use.until);
        m_scheduler.release(use.endpoint, std::chrono::duration_cast<std::chrono::microseconds>(use.held), use.account);
    }

    Policy m_policy;
    ServiceScheduler m_scheduler;
    std::vector<SimulatedEndpoint> m_endpoints { endpoints };
    std::priority_queue<Use> m_uses;
    std::mt19937 m_random { 1 };
    BootTime m_now = BootTime(std::chrono::hours(1));
    int m_requests = 0;
    int m_opened = 0;
    int m_refused = 0;
    int m_otherRequests = 0;
    int m_otherOpened = 0;
    int m_mostHeld = 0;
};

} // namespace kumquatbank
