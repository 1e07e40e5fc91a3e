#pragma once

#include "EmulatedDatabase.h"
#include "EmulatedStore.h"
#include "kumquatbank/adapter/PromotionClient.h"
#include "kumquatbank/routing/RoutingConfig.h"

namespace kumquatbank {

/// A promotion as it was ordered.
struct OrderedPromotion {
    std::string service;
    std::string endpoint;
    std::string holder;
    std::uint64_t token = 0;
    int status = 0; ///< HTTP status that it got; 0 if it got no answer.
};

/// How the promote call behaves; may change at any time.
struct PromotionBehaviour {
    bool isSilent = false; ///< Calls get no answer.
    /// When what was called without an answer is carried out, if its token is still good then; empty: not at all.
    std::optional<std::chrono::milliseconds> lateBy {};
};

/// Everything that the platform provides, on loopback: groups of databases that register in the store, and the call
/// that changes a primary.
class EmulatedPlatform {
public:
    struct Shape {
        std::string ip = "127.0.0.1";
        std::uint16_t basePort = 0; ///< Store, promote call and databases take ports from here on.
        /// Added to the ports of databases in their entries, for a proxy that injects faults on the way to them.
        std::uint16_t announcedOffset = 0;
        int services = 1;
        int databasesPerService = 3;
        int slots = 3;
        int maxConnections = 21;
        int syncReplicas = 0; ///< That receive a commit before it is acknowledged.
        std::chrono::milliseconds lag { 5 };
        std::chrono::milliseconds work { 1 };
        std::chrono::milliseconds promote { 200 }; ///< Until a promotion takes effect.
        /// Time that a database serves clients after it has reported that it is leaving; later statements count as a
        /// violation. Not checked if it is empty, as for hosts that are cut off from the store.
        std::optional<std::chrono::milliseconds> drainTime {};
    };

    EmulatedPlatform(asio::io_context& io, Shape shape);

    HostAddress storeAddress() const { return { m_shape.ip, m_shape.basePort }; }
    HostAddress promotionAddress() const { return { m_shape.ip, static_cast<std::uint16_t>(m_shape.basePort + 1) }; }
    EmulatedStore& store() { return m_store; }
    PromotionBehaviour& promotionBehaviour() { return m_promotionBehaviour; }
    EmulatedService& service(int n) { return *m_services.at(static_cast<std::size_t>(n)); }
    /// Database @p n of service @p service, as they were created.
    EmulatedDatabase& database(int service, int n) { return *m_databases.at(static_cast<std::size_t>(service * m_shape.databasesPerService + n)); }
    EmulatedDatabase& primary(int service);
    const std::vector<OrderedPromotion>& promotions() const { return m_promotions; }
    std::vector<RanStatement> ran() const;
    /// What all databases have received, as a line of text: connections, round trips, and commands by their first word.
    std::string describeCommands() const;
    /// Broken promises that only the databases and the promote call can see; each as a line of text.
    std::vector<std::string> violations() const;

    /// Names of the databases that clients may give, by policy of their route.
    static std::string databaseName(int service, ReadPolicy policy);
    /// Name of a database that has no route at first.
    static std::string extraDatabaseName(int n);

    /// The operator and the databases write again what the store may have lost.
    void announceEntries();
    /// Writes the next version of the configuration.
    void putConfig();
    RoutingConfig& config() { return m_config; }
    /// Keys by account, as the operator writes them. While there has never been one, the configuration has no accounts.
    std::map<std::string, std::set<std::string>>& accountKeys() { return m_accountKeys; }
    /// Name of an item that only clients of @p account use; violations() checks this.
    static std::string itemOf(const std::string& account, const std::string& item) { return account + accountSeparator + item; }
    /// Value that the sessions of clients set which use itemWithValue().
    static constexpr std::string_view checkedValue = "client";
    /// Name of an item that is used only by sessions that set checkedValue to @p value; violations() checks this, and that
    /// other sessions do not have that value.
    static std::string itemWithValue(const std::string& value) { return valueItemPrefix + value; }
    /// Makes database @p n the primary at once; the former one goes on as a replica, under its open transactions. Returns false
    /// if it has not received every commit, so that some would be lost.
    bool moveLead(int service, int n);
    /// Writes the entry of a database again after a change of its state or role.
    void announce(EmulatedDatabase& database, bool isDraining);

private:
    static constexpr char accountSeparator = '/';
    static constexpr const char* valueItemPrefix = "valued-";

    Task<HttpResponse> promote(HttpRequest request);
    /// Carries out an order and returns the status of its answer.
    int execute(const PromotionRequest& order);
    Task<void> executeLate(PromotionRequest order, std::chrono::milliseconds delay);
    Task<void> takeEffect(std::shared_ptr<EmulatedService> service, std::string id);
    /// A time in which a database was leaving.
    struct DrainingPeriod {
        std::string database;
        BootTime from {};
        BootTime to = BootTime::max();
    };

    /// Statements at databases that had been leaving for longer than they serve.
    std::vector<std::string> lateStatements() const;
    /// Statements on items of an account that ran on a connection of another one.
    std::vector<std::string> foreignStatements() const;
    /// Statements that ran with the values of another session, or without those of their own.
    std::vector<std::string> statementsWithOtherValues() const;
    void announceAll(const EmulatedService& service);
    void writeConfig();

    asio::io_context& m_io;
    Shape m_shape;
    EmulatedStore m_store;
    std::vector<std::shared_ptr<EmulatedService>> m_services;
    std::vector<std::unique_ptr<EmulatedDatabase>> m_databases;
    std::map<std::string, std::uint64_t> m_tokens; ///< Highest seen by service.
    std::map<std::string, bool> m_draining;
    std::vector<DrainingPeriod> m_drainingPeriods;
    std::map<std::string, std::int64_t> m_sequences; ///< Entries written so far, by database.
    std::vector<OrderedPromotion> m_promotions;
    PromotionBehaviour m_promotionBehaviour;
    RoutingConfig m_config;
    std::map<std::string, std::set<std::string>> m_accountKeys;
    HttpListener m_promotionListener;
};

} // namespace kumquatbank
