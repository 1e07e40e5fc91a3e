#pragma once

#include "DatabaseService.h"
#include "kumquatbank/routing/AccessHistory.h"
#include "kumquatbank/routing/ServiceRetryBudget.h"

namespace kumquatbank {

class LimitService;

/// The current configuration and endpoints of this process. Neither returns to an older version.
class ServiceRegistry {
public:
    ServiceRegistry(asio::io_context& io, std::string hostName, PoolerMetrics& metrics);

    /// Activates a configuration; false if one of the same or a newer version is active.
    bool apply(std::shared_ptr<const RoutingConfig> config, std::string_view source);
    std::shared_ptr<const RoutingConfig> config() const { return m_config; }
    BootTime configActiveSince() const { return m_configActiveSince; }
    const AccessHistory& access() const { return m_access; }

    /// @p previousAnswerAt: time of the answer that showed the entries before this change.
    void setEndpoints(std::map<std::string, EndpointEntry> entries, bool isComplete, BootTime previousAnswerAt);
    /// Passes the times on to all services, also to those that become known later.
    void setEndpointTimes(std::chrono::milliseconds drainTime, std::chrono::milliseconds memberRetention);
    /// Switches pacing on for all services that become known later.
    void enablePacing() { m_isPaced = true; }
    const std::map<std::string, EndpointEntry>& endpoints() const { return m_entries; }
    bool hasEndpoints() const { return m_hasEndpoints; }

    /// @p lenders: hosts that hold the connections of a service where they are scarce; 0 if each host has its own.
    void setHostCount(int hosts, int lenders);
    /// Lets services borrow connections. @p borrower must outlive this object.
    void setBorrower(ConnectionBorrower& borrower);

    /// Counts operations of accounts against their limits. @p limits must outlive this object.
    void setLimits(LimitService& limits) { m_limits = &limits; }
    /// Null if no operation is counted.
    LimitService* limits() const { return m_limits; }

    /// Null if neither an endpoint nor the configuration has named the service.
    std::shared_ptr<DatabaseService> find(const std::string& service) const;
    const std::map<std::string, std::shared_ptr<DatabaseService>>& services() const { return m_services; }
    /// The budget for the retries of a service; null without pacing, where retries are bounded for each statement only.
    ServiceRetryBudget* retryBudget(const std::string& service) { return m_isPaced ? &m_retryBudgets[service] : nullptr; }

    /// Waits until a configuration is active; false if there is none at @p until or at the end of waits.
    Task<bool> waitForConfig(BootTime until);
    /// Ends all waits for a configuration, also later ones: the process is to stop.
    void endConfigWait();

private:
    std::shared_ptr<DatabaseService> findOrCreate(const std::string& service);
    void refreshLimits();
    void logRejectedAccounts() const;
    /// Hands the entries to their services. An entry of a service that the configuration does not name is not used.
    void distributeEntries();

    asio::io_context& m_io;
    std::string m_hostName;
    PoolerMetrics& m_metrics;
    std::shared_ptr<const RoutingConfig> m_config;
    BootTime m_configActiveSince {};
    AccessHistory m_access;
    std::map<std::string, EndpointEntry> m_entries;
    bool m_hasEndpoints = false;
    bool m_areEntriesComplete = false;
    BootTime m_previousAnswerAt {};
    std::set<std::string> m_unknownServices; ///< Named by entries only.
    int m_hosts = ConnectionSharing::unknownHostCount;
    int m_lenders = 0;
    bool m_isPaced = false;
    ConnectionBorrower* m_borrower = nullptr;
    LimitService* m_limits = nullptr;
    std::chrono::milliseconds m_drainTime { 0 };
    std::chrono::milliseconds m_memberRetention { 0 };
    std::map<std::string, std::shared_ptr<DatabaseService>> m_services;
    std::map<std::string, ServiceRetryBudget> m_retryBudgets; ///< By service.
    std::vector<std::shared_ptr<AutoResetEvent>> m_configWaiters;
    bool m_hasEndedConfigWait = false;
};

} // namespace kumquatbank
