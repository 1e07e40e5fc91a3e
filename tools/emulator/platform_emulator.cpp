#include "CommandDisturbances.h"
#include "EmulatedPlatform.h"
#include "KeyWithdrawals.h"
#include "OddEntries.h"
#include "RouteChanges.h"
#include "kumquatbank/adapter/StoreCodec.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <random>

using namespace kumquatbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Troubles of the platform, drawn from a seed.
class TroubleMaker {
public:
    TroubleMaker(asio::io_context& io, EmulatedPlatform& platform, unsigned seed, const EmulatedPlatform::Shape& shape)
        : m_io(io)
        , m_platform(platform)
        , m_random(seed)
        , m_shape(shape)
    {
        // Where commits are confirmed by replicas, also troubles of replicas that concern what they have received.
        if (shape.syncReplicas > 0)
            m_kinds.insert(m_kinds.end(), { keepsDeaf, leavesReplica, silencesPromotions, silencesPromotions });
    }

    /// Also draws entries of another writer.
    void addOddEntries() { m_kinds.push_back(writesOddEntry); }

    /// Draws planned work only: changes of the configuration, and databases that leave.
    void keepToPlannedWork()
    {
        m_kinds = { movesPrimary, changesConfig, leavesReplica };
        m_stay = m_shape.drainTime.value_or(m_stay) + seconds(2);
    }

    /// Also draws changes of routes, and databases of a service that leave one after the other.
    void addOrders()
    {
        m_kinds.insert(m_kinds.end(), { changesRoutes, changesRoutes, leavesInTurn });
        m_routes.emplace(m_io, m_platform, m_random());
    }

    /// Also draws commands that are refused or cut in the middle of a session, and leads that move under open transactions.
    void addSessionTroubles()
    {
        m_kinds.insert(m_kinds.end(), { disturbsCommand, disturbsCommand, disturbsCommand, disturbsCommand, movesLead, movesLead, movesLead });
        m_disturbances.emplace(m_platform, m_shape, m_random());
    }

    /// Also draws keys of @p accounts accounts that are taken away and given back.
    void addWithdrawals(int accounts)
    {
        m_kinds.insert(m_kinds.end(), { withdrawsKey, withdrawsKey });
        m_withdrawals.emplace(m_io, m_platform, accounts, m_random());
    }

    const std::optional<KeyWithdrawals>& withdrawals() const { return m_withdrawals; }
    const std::optional<RouteChanges>& routes() const { return m_routes; }

    /// One trouble each @p interval. They overlap, and the last one begins before @p until.
    Task<void> run(milliseconds interval, BootTime until)
    {
        while (BootClock::now() < until) {
            co_await sleepFor(m_io, interval);
            switch (m_kinds[m_random() % m_kinds.size()]) {
            case 0:
                asio::co_spawn(m_io, storeDown(), asio::detached);
                break;
            case 1:
                m_platform.store().behaviour().answersToLose = 2;
                report("the store loses 2 answers");
                break;
            case 2:
                m_platform.store().forgetHistory();
                report("the store forgets its history");
                break;
            case movesPrimary:
                movePrimary();
                break;
            case 4:
                loseAnswers();
                break;
            case 5:
                asio::co_spawn(m_io, crash(), asio::detached);
                break;
            case 6:
                asio::co_spawn(m_io, lag(), asio::detached);
                break;
            case 7:
                asio::co_spawn(m_io, keepSilent(), asio::detached);
                break;
            case 8:
                asio::co_spawn(m_io, returnFromCopy(), asio::detached);
                break;
            case keepsDeaf:
                asio::co_spawn(m_io, keepDeaf(), asio::detached);
                break;
            case leavesReplica:
                leaveReplica();
                break;
            case writesOddEntry:
                writeOddEntry();
                break;
            case changesRoutes:
                asio::co_spawn(m_io, m_routes->changeInSuccession(), asio::detached);
                break;
            case withdrawsKey:
                asio::co_spawn(m_io, m_withdrawals->withdrawOne(), asio::detached);
                break;
            case disturbsCommand:
                report(m_disturbances->disturbOne());
                break;
            case movesLead:
                if (const auto moved = m_disturbances->moveLead(); !moved.empty())
                    report(moved);
                break;
            case silencesPromotions:
                asio::co_spawn(m_io, silencePromotions(), asio::detached);
                break;
            case leavesInTurn:
                asio::co_spawn(m_io, leaveInTurn(), asio::detached);
                break;
            default:
                m_platform.putConfig();
                report(fmt::format("a new configuration, version {}", m_platform.config().version));
            }
        }
    }

    /// Announces that the present primary will leave.
    void movePrimary()
    {
        const int service = anyService();
        if (m_platform.service(service).primary().empty())
            return;
        auto& primary = m_platform.primary(service);
        m_platform.announce(primary, true);
        report("the primary " + primary.entry().id + " is about to leave");
        asio::co_spawn(m_io, stay(primary), asio::detached);
    }

private:
    static constexpr unsigned movesPrimary = 3;
    static constexpr unsigned changesConfig = 9;
    static constexpr unsigned keepsDeaf = 10;
    static constexpr unsigned leavesReplica = 11;
    static constexpr unsigned writesOddEntry = 12;
    static constexpr unsigned changesRoutes = 13;
    static constexpr unsigned leavesInTurn = 14;
    static constexpr unsigned withdrawsKey = 15;
    static constexpr unsigned disturbsCommand = 16;
    static constexpr unsigned movesLead = 17;
    static constexpr unsigned silencesPromotions = 18;

    int anyService() { return static_cast<int>(m_random() % static_cast<unsigned>(m_shape.services)); }
    int anyDatabase() { return static_cast<int>(m_random() % static_cast<unsigned>(m_shape.databasesPerService)); }

    Task<void> storeDown()
    {
        report("the store is down for 3 s");
        ++m_outages;
        m_platform.store().behaviour().isDown = true;
        co_await sleepFor(m_io, seconds(3));
        endOutage();
    }

    /// The store comes back from a copy of one to six seconds before. What the operator and the databases wrote since is
    /// written again within two seconds; what the proxies wrote is lost.
    Task<void> returnFromCopy()
    {
        const auto age = milliseconds(1000 + m_random() % 5000);
        const auto away = milliseconds(500 + m_random() % 2000);
        const auto silence = milliseconds(m_random() % 2000);
        auto& store = m_platform.store();
        const auto copy = store.copy();
        co_await sleepFor(m_io, age);
        ++m_outages;
        store.behaviour().isDown = true;
        co_await sleepFor(m_io, away);
        report(fmt::format("the store returns after {} ms from a copy of {} ms before, revision {} instead of {}", away.count(), age.count(), copy.revision, store.revision()));
        store.restore(copy);
        endOutage();
        co_await sleepFor(m_io, silence);
        m_platform.announceEntries();
    }

    /// Outages overlap; the store is back after the last one.
    void endOutage()
    {
        if (--m_outages == 0)
            m_platform.store().behaviour().isDown = false;
    }

    /// One crash of a service at a time: with two, the platform itself may lose acknowledged commits.
    Task<void> crash()
    {
        const int service = anyService();
        co_await crash(service, m_platform.database(service, anyDatabase()), milliseconds(5000));
    }

    Task<void> crash(int service, EmulatedDatabase& database, milliseconds duration)
    {
        if (!m_crashedServices.insert(service).second)
            co_return;
        report(fmt::format("the database {} crashes for {} ms", database.entry().id, duration.count()));
        database.crash();
        co_await sleepFor(m_io, duration);
        database.restart();
        m_crashedServices.erase(service);
    }

    Task<void> lag()
    {
        const int service = anyService();
        auto& database = m_platform.database(service, anyDatabase());
        auto& log = m_platform.service(service).log(database.entry().id);
        report("the database " + database.entry().id + " applies its log 2.5 s late for 4 s");
        log.lag = milliseconds(2500);
        co_await sleepFor(m_io, seconds(4));
        log.lag = m_shape.lag;
    }

    Task<void> keepSilent()
    {
        auto& database = m_platform.database(anyService(), anyDatabase());
        report("the database " + database.entry().id + " answers nothing for 3 s");
        database.behaviour().isSilent = true;
        co_await sleepFor(m_io, seconds(3));
        database.behaviour().isSilent = false;
    }

    /// The database receives no commits for a while.
    Task<void> keepDeaf()
    {
        const int service = anyService();
        auto& database = m_platform.database(service, anyDatabase());
        const auto& id = database.entry().id;
        report("the database " + id + " receives nothing for 3 s");
        m_platform.service(service).log(id).isDeaf = true;
        co_await sleepFor(m_io, seconds(3));
        if (!database.isRunning())
            co_return;
        m_platform.service(service).log(id).isDeaf = false;
        m_platform.service(service).catchUp(id);
    }

    /// Another writer leaves an entry among those of the databases, or overwrites the one that it left before.
    void writeOddEntry()
    {
        const auto entries = oddEntries(m_platform.service(anyService()).name());
        const auto& odd = entries[m_random() % entries.size()];
        const auto name = fmt::format("x-other-{}", m_random() % 4);
        m_platform.store().putText(std::string(StoreCodec::endpointKind), name, odd.spec);
        report("another writer leaves the entry " + name + ": " + odd.description);
    }

    /// A primary crashes while promote calls get no answer; it is back first. Some of the calls are carried out late.
    Task<void> silencePromotions()
    {
        auto& behaviour = m_platform.promotionBehaviour();
        if (behaviour.isSilent)
            co_return;
        behaviour.isSilent = true;
        if (m_random() % 2 == 0)
            behaviour.lateBy = milliseconds(500 + m_random() % 4000);
        report(behaviour.lateBy ? fmt::format("promote calls get no answer, and are carried out {} ms late", behaviour.lateBy->count()) : std::string("promote calls get no answer"));
        const int service = anyService();
        if (!m_platform.service(service).primary().empty())
            asio::co_spawn(m_io, crash(service, m_platform.primary(service), milliseconds(3000)), asio::detached);
        co_await sleepFor(m_io, milliseconds(4000 + m_random() % 2000));
        behaviour = {};
        report("promote calls are answered again");
    }

    /// Announces that a database will leave, which may be a replica.
    void leaveReplica() { leave(m_platform.database(anyService(), anyDatabase())); }

    /// Announces that the databases of a service will leave, each while the one before is still leaving or gone.
    Task<void> leaveInTurn()
    {
        const int service = anyService();
        const auto gap = milliseconds(m_random() % 4000);
        for (int n = 0; n < m_shape.databasesPerService; ++n) {
            leave(m_platform.database(service, n));
            co_await sleepFor(m_io, gap);
        }
    }

    void leave(EmulatedDatabase& database)
    {
        if (!database.isRunning())
            return;
        m_platform.announce(database, true);
        report("the database " + database.entry().id + " is about to leave");
        asio::co_spawn(m_io, stay(database), asio::detached);
    }

    /// The database is replaced by one with its log at its address.
    Task<void> stay(EmulatedDatabase& database)
    {
        co_await sleepFor(m_io, m_stay);
        m_platform.announce(database, false);
    }

    void loseAnswers()
    {
        auto& database = m_platform.database(anyService(), anyDatabase());
        database.behaviour().answersToLose = 3;
        report("the database " + database.entry().id + " loses 3 answers");
    }

    static void report(const std::string& what) { std::cout << "trouble: " << what << std::endl; }

    asio::io_context& m_io;
    EmulatedPlatform& m_platform;
    std::mt19937 m_random;
    EmulatedPlatform::Shape m_shape;
    std::set<int> m_crashedServices;
    std::vector<unsigned> m_kinds { 0, 1, 2, movesPrimary, 4, 5, 6, 7, 8, changesConfig };
    milliseconds m_stay { 5000 }; ///< Of a database that leaves.
    std::optional<RouteChanges> m_routes;
    std::optional<KeyWithdrawals> m_withdrawals;
    std::optional<CommandDisturbances> m_disturbances;
    int m_outages = 0; ///< Outages of the store that have not ended.
};

Task<void> crashPrimary(asio::io_context& io, EmulatedPlatform& platform, milliseconds after)
{
    co_await sleepFor(io, after);
    auto& primary = platform.primary(0);
    std::cout << "trouble: the primary " << primary.entry().id << " crashes" << std::endl;
    primary.crash();
}

Task<void> leavePrimary(asio::io_context& io, TroubleMaker& troubles, milliseconds after)
{
    co_await sleepFor(io, after);
    troubles.movePrimary();
}

int runCommandLine(int argc, char** argv)
{
    cxxopts::Options options("platform_emulator", "Emulates the platform of the users on loopback");
    options.add_options()("ip", "Address of all services", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "First port: store, promote call, databases", cxxopts::value<std::uint16_t>())(
        "services", "Groups of three databases", cxxopts::value<int>()->default_value("3"))(
        "max-connections", "Connections that a database accepts", cxxopts::value<int>()->default_value("21"))(
        "work-ms", "Time of a statement", cxxopts::value<int>()->default_value("5"))(
        "lag-ms", "Replication lag", cxxopts::value<int>()->default_value("20"))(
        "crash-primary-ms", "Crash the primary of the first service after this time", cxxopts::value<int>())(
        "leave-primary-ms", "Announce that a primary leaves after this time", cxxopts::value<int>())(
        "seed", "Seed of the troubles", cxxopts::value<unsigned>()->default_value("1"))(
        "sync-replicas", "Replicas that receive a commit before it is acknowledged", cxxopts::value<int>()->default_value("0"))(
        "announce-offset", "Added to the ports of databases in the store", cxxopts::value<std::uint16_t>()->default_value("0"))(
        "odd-entries", "Draw entries of another writer among the troubles")(
        "planned", "Draw planned work only")(
        "session-troubles", "Draw commands that are refused or cut in the middle of a session, and leads that move under open transactions")(
        "kept-file", "Write the ids of the statements whose commits are kept to this file", cxxopts::value<std::string>())(
        "orders", "Draw changes of routes as well, and databases that leave in turn")(
        "accounts", "Accounts whose keys are taken away and given back; 0: the configuration has no accounts", cxxopts::value<int>()->default_value("0"))(
        "withdrawn-file", "Write the times in which a key belonged to no account to this file", cxxopts::value<std::string>())(
        "absent-file", "Write the times without a route, by database, to this file", cxxopts::value<std::string>())(
        "second-store-port", "The store answers at this port as well, and 700 ms late at the next one", cxxopts::value<std::uint16_t>())(
        "ran-file", "Write the ids of all statements that ran to this file", cxxopts::value<std::string>())(
        "trouble-ms", "A random trouble each this often", cxxopts::value<int>())(
        "trouble-s", "No new trouble after this time", cxxopts::value<int>()->default_value("3600"))("h,help", "Print this text and stop");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") || !arguments.count("port")) {
        std::cout << options.help();
        return arguments.count("help") ? 0 : 2;
    }
    EmulatedPlatform::Shape shape;
    shape.ip = arguments["ip"].as<std::string>();
    shape.basePort = arguments["port"].as<std::uint16_t>();
    shape.announcedOffset = arguments["announce-offset"].as<std::uint16_t>();
    shape.services = arguments["services"].as<int>();
    shape.maxConnections = arguments["max-connections"].as<int>();
    shape.work = milliseconds(arguments["work-ms"].as<int>());
    if (arguments.count("planned"))
        shape.drainTime = milliseconds(7000);
    shape.syncReplicas = arguments["sync-replicas"].as<int>();
    shape.lag = milliseconds(arguments["lag-ms"].as<int>());
    asio::io_context io(1);
    EmulatedPlatform platform(io, shape);
    TroubleMaker troubles(io, platform, arguments["seed"].as<unsigned>(), shape);
    if (arguments.count("planned"))
        troubles.keepToPlannedWork();
    if (arguments.count("odd-entries"))
        troubles.addOddEntries();
    if (arguments.count("orders"))
        troubles.addOrders();
    if (arguments.count("session-troubles"))
        troubles.addSessionTroubles();
    if (arguments["accounts"].as<int>() > 0)
        troubles.addWithdrawals(arguments["accounts"].as<int>());
    if (arguments.count("second-store-port")) {
        const auto port = arguments["second-store-port"].as<std::uint16_t>();
        platform.store().listenAlso({ shape.ip, port });
        platform.store().listenAlso({ shape.ip, static_cast<std::uint16_t>(port + 1) }, milliseconds(700));
    }
    if (arguments.count("crash-primary-ms"))
        asio::co_spawn(io, crashPrimary(io, platform, milliseconds(arguments["crash-primary-ms"].as<int>())), asio::detached);
    if (arguments.count("leave-primary-ms"))
        asio::co_spawn(io, leavePrimary(io, troubles, milliseconds(arguments["leave-primary-ms"].as<int>())), asio::detached);
    if (arguments.count("trouble-ms"))
        asio::co_spawn(io, troubles.run(milliseconds(arguments["trouble-ms"].as<int>()), BootClock::now() + seconds(arguments["trouble-s"].as<int>())), asio::detached);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    std::cout << "platform ready: store " << platform.storeAddress().toString() << ", promotions " << platform.promotionAddress().toString() << std::endl;
    io.run();
    for (const auto& order : platform.promotions())
        std::cout << "promotion: " << order.service << " to " << order.endpoint << " by " << order.holder << ", token " << order.token << ", status " << order.status << '\n';
    if (arguments.count("ran-file")) {
        std::ofstream ranFile(arguments["ran-file"].as<std::string>());
        for (const auto& statement : platform.ran())
            ranFile << statement.id << '\n';
    }
    if (arguments.count("kept-file")) {
        std::ofstream keptFile(arguments["kept-file"].as<std::string>());
        for (int service = 0; service < shape.services; ++service) {
            for (const auto& commit : platform.service(service).survivingCommits())
                keptFile << commit.statementId << '\n';
        }
    }
    if (arguments.count("absent-file") && troubles.routes()) {
        std::ofstream absentFile(arguments["absent-file"].as<std::string>());
        for (const auto& absence : troubles.routes()->absences())
            absentFile << absence << '\n';
    }
    if (arguments.count("withdrawn-file") && troubles.withdrawals()) {
        std::ofstream withdrawnFile(arguments["withdrawn-file"].as<std::string>());
        for (const auto& withdrawal : troubles.withdrawals()->withdrawals())
            withdrawnFile << withdrawal << '\n';
    }
    std::cout << "received: " << platform.describeCommands() << '\n';
    const auto violations = platform.violations();
    for (const auto& what : violations)
        std::cout << "violation: " << what << '\n';
    std::cout.flush();
    // Coroutines that are still suspended refer to the platform; the kernel takes back what they hold.
    std::_Exit(violations.empty() ? 0 : 1);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runCommandLine(argc, argv);
    } catch (const std::exception& e) {
        std::cerr << "platform_emulator: " << e.what() << "\n";
        return 2;
    }
}
