#include "GroupRegistry.h"

#include <algorithm>
#include <ranges>

namespace kumquatbank {

namespace {

    constexpr Milliseconds reconcileInterval { 200 };

    // An immediate restart of a member or briefly inconsistent member tables must not move groups twice.
    constexpr Milliseconds surplusGracePeriod { 1000 };

    // Time for the first candidate to become reachable again before a takeover ends.
    constexpr Milliseconds takeoverGracePeriod { 5000 };

    const log4cxx::LoggerPtr& logger()
    {
        static const auto instance = partLogger("registry");
        return instance;
    }

} // namespace

GroupRegistry::GroupRegistry(
    DatabaseGroupOptions options, Catalogue& catalogue, Membership& membership, CauseLedger& causes)
    : m_options(std::move(options))
    , m_catalogue(catalogue)
    , m_membership(membership)
    , m_causes(causes)
{
}

GroupRegistry::~GroupRegistry() { drainAll(); }

void GroupRegistry::start()
{
    m_reconciler = std::jthread([this](const std::stop_token& stop) { reconcileLoop(stop); });
}

void GroupRegistry::drainAll()
{
    m_reconciler.request_stop();
    if (m_reconciler.joinable())
        m_reconciler.join();
    std::vector<std::future<void>> retirements;
    {
        const std::lock_guard lock(m_mutex);
        m_isDraining = true;
        for (auto& [database, held] : m_held)
            retire(std::move(held.group), database);
        m_held.clear();
        retirements.swap(m_retirements);
    }
    std::ranges::for_each(retirements, [](const auto& it) { it.wait(); });
}

std::shared_ptr<DatabaseGroup> GroupRegistry::find(const std::string& database) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_held.find(database);
    return it == m_held.end() ? nullptr : it->second.group;
}

std::vector<std::shared_ptr<DatabaseGroup>> GroupRegistry::findAll(const std::string& database) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<DatabaseGroup>> groups;
    if (const auto it = m_held.find(database); it != m_held.end())
        groups.push_back(it->second.group);
    const auto [first, last] = m_retiring.equal_range(database);
    std::ranges::transform(first, last, std::back_inserter(groups), [](const auto& item) { return item.second; });
    return groups;
}

std::shared_ptr<DatabaseGroup> GroupRegistry::takeOver(const std::string& database)
{
    const auto definition = m_catalogue.findDatabase(database);
    const std::lock_guard lock(m_mutex);
    if (!definition || m_isDraining)
        return nullptr;
    if (const auto it = m_held.find(database); it != m_held.end()) {
        it->second.takenOverAt = Clock::now();
        return it->second.group;
    }
    LOG4CXX_INFO(logger(), "taking over database " << database << ": its first candidate does not serve it");
    return startGroup(definition, Clock::now());
}

std::vector<std::pair<std::string, std::shared_ptr<DatabaseGroup>>> GroupRegistry::held() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, std::shared_ptr<DatabaseGroup>>> groups;
    std::ranges::transform(m_held, std::back_inserter(groups),
        [](const auto& item) { return std::pair(item.first, item.second.group); });
    return groups;
}

void GroupRegistry::reconcileLoop(const std::stop_token& stop)
{
    while (!stop.stop_requested()) {
        if (needsReconcile())
            reconcile();
        requestClaims();
        std::unique_lock lock(m_mutex);
        m_wakeReconciler.wait_for(lock, stop, reconcileInterval, [] { return false; });
    }
}

bool GroupRegistry::needsReconcile() const
{
    if (m_reconciledMembersVersion != m_membership.version() || m_reconciledRevision != m_catalogue.revision())
        return true;
    const std::lock_guard lock(m_mutex);
    return std::ranges::any_of(
        m_held, [](const auto& it) { return it.second.takenOverAt || it.second.unwantedSince; });
}

void GroupRegistry::reconcile()
{
    m_reconciledMembersVersion = m_membership.version();
    m_reconciledRevision = m_catalogue.revision();
    const auto databases = m_catalogue.databases();
    std::map<std::string, std::shared_ptr<const DatabaseDefinition>> wanted;
    for (const auto& it : databases) {
        if (isWanted(*it))
            wanted.emplace(it->name, it);
    }

    const std::lock_guard lock(m_mutex);
    if (m_isDraining)
        return;
    for (auto it = m_held.begin(); it != m_held.end();) {
        const auto current = m_catalogue.findDatabase(it->first);
        const bool isChanged = !current || nlohmann::json(*current) != nlohmann::json(*it->second.definition);
        if (!isChanged && !isSurplus(it->second, wanted.contains(it->first))) {
            ++it;
            continue;
        }
        retire(std::move(it->second.group), it->first);
        it = m_held.erase(it);
    }
    for (const auto& [database, definition] : wanted) {
        if (!m_held.contains(database))
            startGroup(definition, std::nullopt);
    }
}

void GroupRegistry::requestClaims()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [database, held] : m_held) {
        const bool isWanted = !held.takenOverAt && !held.unwantedSince;
        if (isWanted && !held.group->isHolder())
            held.group->requestClaim();
    }
}

bool GroupRegistry::isWanted(const DatabaseDefinition& definition) const
{
    const auto& homePlace = definition.slots.front().place;
    if (homePlace != m_options.self.place && m_membership.hasHosts(homePlace))
        return false;
    const auto candidates = m_membership.holderCandidates(definition);
    return !candidates.empty() && candidates.front().address == m_options.self.address;
}

bool GroupRegistry::isSurplus(HeldGroup& held, bool isWanted) const
{
    const auto now = Clock::now();
    if (isWanted) {
        held.takenOverAt.reset();
        held.unwantedSince.reset();
        return false;
    }
    if (held.takenOverAt && now - *held.takenOverAt < takeoverGracePeriod)
        return false;
    if (!held.unwantedSince)
        held.unwantedSince = now;
    return now - *held.unwantedSince >= surplusGracePeriod;
}

std::shared_ptr<DatabaseGroup> GroupRegistry::startGroup(
    const std::shared_ptr<const DatabaseDefinition>& definition, std::optional<TimePoint> takenOverAt)
{
    auto group = std::make_shared<DatabaseGroup>(*definition, m_options, m_causes);
    group->start();
    m_held[definition->name] = HeldGroup { group, definition, takenOverAt, std::nullopt };
    return group;
}

void GroupRegistry::retire(std::shared_ptr<DatabaseGroup> group, const std::string& database)
{
    LOG4CXX_INFO(logger(), "handing over database " << database);
    const auto it = m_retiring.emplace(database, group);
    std::erase_if(m_retirements,
        [](const auto& done) { return done.wait_for(Milliseconds(0)) == std::future_status::ready; });
    m_retirements.push_back(std::async(std::launch::async, [this, it, group = std::move(group)] {
        group->drain(m_options.transactionIdle);
        const std::lock_guard lock(m_mutex);
        m_retiring.erase(it);
    }));
}

} // namespace kumquatbank
