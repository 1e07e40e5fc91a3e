#pragma once

#include "HostDirectory.h"
#include "LimitDecision.h"
#include "LimitLink.h"
#include "kumquatbank/routing/routing.h"

#include <list>

namespace kumquatbank {

/// Keeps the operations of each account below its limit over all hosts. Decides for the statements of this host, and is a
/// coordinator for other hosts if they choose this one. Sends nothing if no account of the configuration has a limit.
class LimitService {
public:
    LimitService(asio::io_context& io, const HostDirectory& hosts, const PoolerSettings& settings, const ServiceRegistry& registry, PoolerMetrics& metrics);

    void start();

    /// Decides on one operation of an account. Returns at once if the account has no limit or a token is at hand;
    /// otherwise within LimitTimes::maxWait.
    Task<LimitDecision> admit(std::string account);

    /// Answers a request line of another host; empty if the line is not a valid request.
    std::string answer(std::string_view line);

    /// Applies changes of the configuration and of the list of hosts. Called periodically and before each decision.
    void refresh();

    /// Each account's use against its limit, for operators.
    nlohmann::json describe();

private:
    /// An operation that waits for a token.
    struct Waiter {
        explicit Waiter(asio::io_context& io)
            : event(io)
        {
        }

        std::string account;
        BootTime deadline {};
        BootTime askAt {}; ///< When to ask the coordinator, again if it has answered before.
        AutoResetEvent event;
        std::optional<LimitDecision> decision;
    };

    /// Refusals of one account since the last log line.
    struct Refusals {
        BootTime loggedAt {};
        std::uint64_t count = 0;
    };

    Task<void> runRequests();
    Task<void> runExchange();
    Task<void> askCoordinator(std::string coordinator);
    Task<void> probe(std::string coordinator);
    Task<void> exchangeWith(std::string coordinator, std::map<std::string, double, std::less<>> wants);

    BootTime nextRequestAt() const;
    void decideWaiters(const LimitReply* reply, BootTime now);
    LimitDecision admitted(BootTime sendUntil);
    LimitDecision refuse(const std::string& account, std::chrono::milliseconds retryAfter, std::string_view reason);
    /// Refuses an operation because no coordinator answers.
    LimitDecision refuseWithoutCoordinator(const std::string& account, BootTime now);
    void updateRankings();
    /// Null if the host is not listed or has no address for loans.
    std::shared_ptr<LimitLink> link(const std::string& host);
    void recordCoordinator(const std::string& coordinator, BootTime now);

    asio::io_context& m_io;
    const HostDirectory& m_hosts;
    const PoolerSettings& m_settings;
    const ServiceRegistry& m_registry;
    PoolerMetrics& m_metrics;
    LimitShare m_share;
    LimitPool m_pool;
    std::shared_ptr<const RoutingConfig> m_config; ///< The one whose limits are in force.
    LimitBound m_bound; ///< Of the settings in force.
    std::uint64_t m_hostsVersion = 0;
    std::vector<std::string> m_ranking; ///< Coordinators for this host, the best first.
    std::vector<std::string> m_otherCoordinators; ///< The first one of each region, without this host.
    std::map<std::string, std::shared_ptr<LimitLink>> m_links; ///< To coordinators, by host.
    std::map<std::string, std::shared_ptr<LimitLink>> m_exchangeLinks;
    std::list<Waiter> m_waiters;
    AutoResetEvent m_wakeRequests;
    AutoResetEvent m_wakeExchange;
    std::string m_coordinator; ///< Of the last request; empty if none was usable.
    bool m_isCoordinatorSilent = true; ///< It did not answer the last request, or there is none.
    std::map<std::string, Refusals> m_refusals;
};

} // namespace kumquatbank
