#include "EmulatedPlatform.h"

#include "kumquatbank/adapter/StoreCodec.h"

#include <fmt/format.h>

namespace kumquatbank {

namespace {

    /// Longer than callers wait for an answer.
    constexpr std::chrono::seconds silentCallTime { 5 };

    constexpr std::array<ReadPolicy, 3> policies { ReadPolicy::Primary, ReadPolicy::Bounded, ReadPolicy::ReadYourWrites };

    std::string serviceName(int n) { return fmt::format("service-{}", n); }

} // namespace

EmulatedPlatform::EmulatedPlatform(asio::io_context& io, Shape shape)
    : m_io(io)
    , m_shape(std::move(shape))
    , m_store(io, storeAddress())
    , m_promotionListener(io, promotionAddress(), [this](HttpRequest request) { return promote(std::move(request)); })
{
    auto port = static_cast<std::uint16_t>(m_shape.basePort + 2);
    for (int s = 0; s < m_shape.services; ++s) {
        const auto service = std::make_shared<EmulatedService>(serviceName(s));
        service->syncReplicas = m_shape.syncReplicas;
        m_services.push_back(service);
        for (int n = 0; n < m_shape.databasesPerService; ++n) {
            EndpointEntry entry;
            entry.id = fmt::format("i-{}-{}", s, n);
            entry.service = service->name();
            entry.address = { m_shape.ip, port++ };
            entry.dataCentre = fmt::format("dc-{}", n);
            entry.slots = m_shape.slots;
            entry.startedAtMs = 1;
            auto database = std::make_unique<EmulatedDatabase>(io, entry, service);
            database->behaviour().work = m_shape.work;
            database->behaviour().maxConnections = m_shape.maxConnections;
            service->log(entry.id).lag = m_shape.lag;
            m_databases.push_back(std::move(database));
        }
        service->promote(database(s, 0).entry().id);
        announceAll(*service);
        m_config.services[service->name()] = { service->name(), m_shape.maxConnections, m_shape.syncReplicas };
        for (const auto policy : policies) {
            Route route;
            route.name = "route-" + databaseName(s, policy);
            route.database = databaseName(s, policy);
            route.service = service->name();
            route.policy = policy;
            route.statementTimeout = std::chrono::milliseconds(1000);
            route.targetLatency = std::chrono::milliseconds(policy == ReadPolicy::Primary ? 400 : 800);
            route.maxStaleness = std::chrono::milliseconds(policy == ReadPolicy::Primary ? 0 : 1500);
            route.priority = static_cast<int>(policy);
            m_config.routes[route.database] = route;
        }
    }
    m_config.transactionIdle = std::chrono::milliseconds(3000);
    putConfig();
}

std::string EmulatedPlatform::databaseName(int service, ReadPolicy policy) { return fmt::format("{}-{}", readPolicyName(policy), service); }

std::string EmulatedPlatform::extraDatabaseName(int n) { return fmt::format("extra-{}", n); }

EmulatedDatabase& EmulatedPlatform::primary(int service)
{
    const auto& id = this->service(service).primary();
    return **std::ranges::find_if(m_databases, [&](const auto& database) { return database->entry().id == id; });
}

std::vector<RanStatement> EmulatedPlatform::ran() const
{
    std::vector<RanStatement> all;
    for (const auto& database : m_databases)
        all.insert(all.end(), database->ran().begin(), database->ran().end());
    return all;
}

std::string EmulatedPlatform::describeCommands() const
{
    std::uint64_t connections = 0;
    std::uint64_t roundTrips = 0;
    std::map<std::string, std::uint64_t> commands;
    for (const auto& database : m_databases) {
        connections += database->openedConnections();
        roundTrips += database->roundTrips();
        for (const auto& [word, count] : database->commands())
            commands[word] += count;
    }
    auto text = fmt::format("connections {} round trips {}", connections, roundTrips);
    for (const auto& [word, count] : commands)
        text += fmt::format(" {} {}", word, count);
    return text;
}

std::vector<std::string> EmulatedPlatform::violations() const
{
    std::vector<std::string> found;
    std::map<std::pair<std::string, std::uint64_t>, std::string> holders;
    for (const auto& order : m_promotions) {
        const auto [it, isNew] = holders.try_emplace({ order.service, order.token }, order.holder);
        if (!isNew && it->second != order.holder)
            found.push_back(fmt::format("token {} of {} used by {} and {}", order.token, order.service, it->second, order.holder));
    }
    for (const auto& service : m_services) {
        for (const auto& id : service->lostCommits())
            found.push_back(fmt::format("the acknowledged commit of statement {} is lost in {}", id, service->name()));
        std::map<std::string, int> commits;
        for (const auto& commit : service->survivingCommits()) {
            if (++commits[commit.statementId] == 2)
                found.push_back(fmt::format("statement {} took effect twice in {}", commit.statementId, service->name()));
        }
    }
    std::ranges::copy(lateStatements(), std::back_inserter(found));
    std::ranges::copy(foreignStatements(), std::back_inserter(found));
    std::ranges::copy(statementsWithOtherValues(), std::back_inserter(found));
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> connections;
    for (const auto& statement : ran()) {
        if (statement.transaction == 0)
            continue;
        const auto [it, isNew] = connections.try_emplace({ statement.database, statement.transaction }, statement.connection);
        if (!isNew && it->second != statement.connection)
            found.push_back(fmt::format("transaction {} of {} ran on two connections", statement.transaction, statement.database));
    }
    return found;
}

std::vector<std::string> EmulatedPlatform::lateStatements() const
{
    std::vector<std::string> found;
    if (!m_shape.drainTime)
        return found;
    std::set<std::pair<std::string, std::uint64_t>> openTransactions;
    for (const auto& statement : ran()) {
        // An open transaction may go on.
        const bool isFirst = statement.transaction == 0 || openTransactions.emplace(statement.database, statement.transaction).second;
        const auto isLate = [&](const DrainingPeriod& period) { return period.database == statement.database && statement.at > period.from + *m_shape.drainTime && statement.at < period.to; };
        const auto it = std::ranges::find_if(m_drainingPeriods, isLate);
        if (isFirst && it != m_drainingPeriods.end())
            found.push_back(fmt::format("statement {} reached {} {} ms after it had reported that it is leaving", statement.id, statement.database, toMs(statement.at - it->from)));
    }
    return found;
}

std::vector<std::string> EmulatedPlatform::foreignStatements() const
{
    std::vector<std::string> found;
    for (const auto& statement : ran()) {
        const std::string_view text = statement.text;
        const auto item = text.substr(std::min(text.find(' ') + 1, text.size()));
        const auto account = item.substr(0, item.substr(0, item.find(' ')).find(accountSeparator));
        if (account.size() < item.size() && item[account.size()] == accountSeparator && account != statement.account)
            found.push_back(fmt::format("statement {} of account {} ran at {} for {}", statement.id, account, statement.database, statement.account));
    }
    return found;
}

std::vector<std::string> EmulatedPlatform::statementsWithOtherValues() const
{
    std::vector<std::string> found;
    for (const auto& statement : ran()) {
        // COMMIT names no item.
        if (statement.text == "COMMIT")
            continue;
        const auto at = statement.text.find(fmt::format(" {}", valueItemPrefix));
        const auto rest = at == std::string::npos ? std::string() : statement.text.substr(at + 1 + std::string_view(valueItemPrefix).size());
        const auto expected = rest.substr(0, rest.find(' '));
        const auto it = statement.values.find(std::string(checkedValue));
        const auto actual = it == statement.values.end() ? std::string() : it->second;
        if (actual != expected)
            found.push_back(fmt::format("statement {} ran at {} with the value '{}' instead of '{}'", statement.id, statement.database, actual, expected));
    }
    return found;
}

bool EmulatedPlatform::moveLead(int service, int n)
{
    auto& group = this->service(service);
    auto& next = database(service, n);
    const auto& received = group.log(next.entry().id).received;
    if (group.primary().empty() || group.isPrimary(next.entry().id) || !next.isRunning() || received.size() < group.survivingCommits().size())
        return false;
    group.promote(next.entry().id);
    announceAll(group);
    return true;
}

void EmulatedPlatform::announceEntries()
{
    writeConfig();
    for (const auto& service : m_services)
        announceAll(*service);
}

void EmulatedPlatform::putConfig()
{
    ++m_config.version;
    writeConfig();
}

void EmulatedPlatform::writeConfig()
{
    m_config.hasAccounts = m_config.hasAccounts || !m_accountKeys.empty();
    auto content = StoreCodec::formatConfig(m_config);
    for (const auto& [account, keys] : m_accountKeys)
        content["Tenants"].push_back({ { "Name", account }, { "ApiKeys", keys }, { "Priority", 1 } });
    m_store.put(std::string(StoreCodec::configKind), std::string(StoreCodec::configName), content);
}

void EmulatedPlatform::announce(EmulatedDatabase& database, bool isDraining)
{
    auto entry = database.entry();
    const bool wasDraining = std::exchange(m_draining[entry.id], isDraining);
    if (isDraining && !wasDraining)
        m_drainingPeriods.push_back({ entry.id, BootClock::now() });
    if (!isDraining && wasDraining)
        std::ranges::find(m_drainingPeriods.rbegin(), m_drainingPeriods.rend(), entry.id, &DrainingPeriod::database)->to = BootClock::now();
    entry.isDraining = isDraining;
    entry.sequence = ++m_sequences[entry.id];
    entry.address.port = static_cast<std::uint16_t>(entry.address.port + m_shape.announcedOffset);
    const auto service = std::ranges::find(m_services, entry.service, [](const auto& known) { return known->name(); });
    entry.role = (*service)->isPrimary(entry.id) ? EndpointRole::Primary : EndpointRole::Replica;
    m_store.put(std::string(StoreCodec::endpointKind), entry.id, StoreCodec::formatEndpoint(entry));
}

void EmulatedPlatform::announceAll(const EmulatedService& service)
{
    for (const auto& database : m_databases) {
        if (database->entry().service == service.name() && database->isRunning())
            announce(*database, m_draining[database->entry().id]);
    }
}

Task<void> EmulatedPlatform::takeEffect(std::shared_ptr<EmulatedService> service, std::string id)
{
    co_await sleepFor(m_io, m_shape.promote);
    service->promote(id);
    announceAll(*service);
}

Task<HttpResponse> EmulatedPlatform::promote(HttpRequest request)
{
    const auto order = PromotionClient::parseRequest(request.headers, request.body);
    if (!order)
        co_return HttpResponse { 400, "{}" };
    if (m_promotionBehaviour.isSilent) {
        m_promotions.push_back({ order->service, order->endpoint, order->holder, order->token, 0 });
        if (m_promotionBehaviour.lateBy)
            asio::co_spawn(m_io, executeLate(*order, *m_promotionBehaviour.lateBy), asio::detached);
        co_await sleepFor(m_io, silentCallTime);
        co_return HttpResponse { HttpResponse::closeConnection, "" };
    }
    const int status = execute(*order);
    m_promotions.push_back({ order->service, order->endpoint, order->holder, order->token, status });
    co_return HttpResponse { status, "{}" };
}

int EmulatedPlatform::execute(const PromotionRequest& order)
{
    auto& highest = m_tokens[order.service];
    const auto service = std::ranges::find(m_services, order.service, [](const auto& known) { return known->name(); });
    const auto database = std::ranges::find_if(m_databases, [&](const auto& known) { return known->entry().id == order.endpoint; });
    if (service == m_services.end() || database == m_databases.end())
        return 404;
    if (order.token < highest || !(*database)->isRunning())
        return 409;
    highest = order.token;
    if (!(*service)->isPrimary(order.endpoint))
        asio::co_spawn(m_io, takeEffect(*service, order.endpoint), asio::detached);
    return 200;
}

Task<void> EmulatedPlatform::executeLate(PromotionRequest order, std::chrono::milliseconds delay)
{
    co_await sleepFor(m_io, delay);
    execute(order);
}

} // namespace kumquatbank
