#include "ServiceRegistry.h"

#include "kumquatbank/engine/EventLog.h"

#include <algorithm>
#include <span>

namespace kumquatbank {

namespace {

    /// Rejected entries of one version that are logged one by one; the others are counted in one line.
    constexpr std::size_t maxRejectedAccountLines = 200;

} // namespace

ServiceRegistry::ServiceRegistry(asio::io_context& io, std::string hostName, PoolerMetrics& metrics)
    : m_io(io)
    , m_hostName(std::move(hostName))
    , m_metrics(metrics)
{
}

std::shared_ptr<DatabaseService> ServiceRegistry::findOrCreate(const std::string& service)
{
    auto& databaseService = m_services[service];
    if (databaseService)
        return databaseService;
    databaseService = std::make_shared<DatabaseService>(m_io, service, m_hostName, m_metrics, m_borrower);
    databaseService->setEndpointTimes(m_drainTime, m_memberRetention);
    if (m_isPaced)
        databaseService->enablePacing();
    return databaseService;
}

bool ServiceRegistry::apply(std::shared_ptr<const RoutingConfig> config, std::string_view source)
{
    if (m_config && config->version <= m_config->version)
        return false;
    EventLog::info("config_in_force", { { "version", config->version }, { "from_version", m_config ? m_config->version : 0 }, { "routes", config->routes.size() }, { "services", config->services.size() }, { "accounts", config->accounts.size() }, { "rejected_accounts", config->rejectedAccounts.size() }, { "source", source } });
    m_config = std::move(config);
    m_configActiveSince = BootClock::now();
    m_access.add(m_config, m_configActiveSince);
    logRejectedAccounts();
    m_metrics.setConfigVersion(m_config->version);
    refreshLimits();
    if (m_hasEndpoints)
        distributeEntries();
    for (const auto& waiter : std::exchange(m_configWaiters, {}))
        waiter->wake();
    return true;
}

void ServiceRegistry::logRejectedAccounts() const
{
    const auto& rejected = m_config->rejectedAccounts;
    for (const auto& reason : std::span(rejected).first(std::min(rejected.size(), maxRejectedAccountLines)))
        EventLog::warn("account_entry_rejected", { { "version", m_config->version }, { "reason", reason } });
    if (rejected.size() > maxRejectedAccountLines)
        EventLog::warn("account_entries_rejected", { { "version", m_config->version }, { "not_listed", rejected.size() - maxRejectedAccountLines } });
}

void ServiceRegistry::refreshLimits()
{
    if (!m_config)
        return;
    for (const auto& [name, limits] : m_config->services)
        findOrCreate(name)->setLimits(limits, m_hosts, m_lenders);
}

void ServiceRegistry::setEndpoints(std::map<std::string, EndpointEntry> entries, bool isComplete, BootTime previousAnswerAt)
{
    m_hasEndpoints = true;
    m_entries = std::move(entries);
    m_areEntriesComplete = isComplete;
    m_previousAnswerAt = previousAnswerAt;
    distributeEntries();
}

void ServiceRegistry::distributeEntries()
{
    std::map<std::string, std::vector<EndpointEntry>> byService;
    for (const auto& [id, entry] : m_entries)
        byService[entry.service].push_back(entry);
    for (const auto& [name, list] : byService) {
        if (m_config && !m_services.contains(name) && m_unknownServices.insert(name).second)
            EventLog::warn("service_unknown", { { "service", name }, { "endpoint", list.front().id }, { "endpoints", list.size() }, { "config_version", m_config->version } });
    }
    std::erase_if(m_unknownServices, [&](const std::string& name) { return !byService.contains(name); });
    for (const auto& [name, service] : m_services)
        service->setEntries(byService[name], m_areEntriesComplete, m_previousAnswerAt);
    refreshLimits();
}

void ServiceRegistry::setEndpointTimes(std::chrono::milliseconds drainTime, std::chrono::milliseconds memberRetention)
{
    m_drainTime = drainTime;
    m_memberRetention = memberRetention;
    for (const auto& [name, service] : m_services)
        service->setEndpointTimes(drainTime, memberRetention);
}

void ServiceRegistry::setBorrower(ConnectionBorrower& borrower)
{
    m_borrower = &borrower;
    for (const auto& [name, service] : m_services)
        service->setBorrower(borrower);
}

void ServiceRegistry::setHostCount(int hosts, int lenders)
{
    if (hosts < 1 || (hosts == m_hosts && lenders == m_lenders))
        return;
    EventLog::info("host_count_changed", { { "from", m_hosts }, { "to", hosts }, { "lenders", lenders } });
    m_hosts = hosts;
    m_lenders = lenders;
    refreshLimits();
}

std::shared_ptr<DatabaseService> ServiceRegistry::find(const std::string& service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : it->second;
}

void ServiceRegistry::endConfigWait()
{
    m_hasEndedConfigWait = true;
    for (const auto& waiter : std::exchange(m_configWaiters, {}))
        waiter->wake();
}

Task<bool> ServiceRegistry::waitForConfig(BootTime until)
{
    while (!m_config && !m_hasEndedConfigWait && BootClock::now() < until) {
        auto waiter = std::make_shared<AutoResetEvent>(m_io);
        m_configWaiters.push_back(waiter);
        co_await waiter->wait(until);
    }
    co_return m_config != nullptr;
}

} // namespace kumquatbank
