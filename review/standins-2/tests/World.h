#pragma once

#include "Sockets.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

/// Writes what was sent, answered and run to the record of a case, one line each, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file)
    {
    }
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_since = Clock::now();
};

/// The platform's store.
class Store {
public:
    Store(const std::string& ip, std::uint16_t port);
    void put(const std::string& kind, const std::string& name, const Json& spec);
    void remove(const std::string& kind, const std::string& name);

private:
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        Json object;
        bool isDeleted = false;
    };

    HttpAnswer answer(const HttpMessage& request);
    HttpAnswer list(const std::string& kind);
    HttpAnswer watch(const std::string& kind, std::uint64_t revision, std::chrono::milliseconds wait);
    HttpAnswer write(const std::string& kind, const std::string& name, const HttpMessage& request);
    void change(const std::string& kind, const std::string& name, Json object);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::deque<Event> m_events;
};

struct Commit {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::string id;
    std::map<std::string, std::string> changes;
    Clock::time_point receivedAt {};
};

/// What a database does differently from one in calm; may change at any time.
struct Disruption {
    std::set<std::string> cutHosts; ///< What they send is not read until the cut ends.
    Clock::time_point cutSince {};
    bool receivesNothing = false; ///< Of what the primary commits.
    std::chrono::milliseconds lag { 20 };
};

class World;

/// One database. Follows the users' page on the wire protocol; where the page is silent, it does what keeps a caller's data.
class Database {
public:
    Database(World& world, std::string id, std::uint16_t port);

    const std::string& id() const { return m_id; }

private:
    friend class World;
    struct Session;

    void serve(LineSocket& socket);
    std::string start(Session& session, const std::string& line);
    std::string query(Session& session, const std::string& line);
    std::string run(Session& session, const std::string& id, std::string text, std::unique_lock<std::mutex>& lock);
    std::string runCommand(Session& session, const std::string& word, const std::string& rest);
    std::string runStatement(Session& session, const std::string& id, const std::string& text, std::unique_lock<std::mutex>& lock);
    std::string commit(Session& session, const std::string& id, std::map<std::string, std::string> changes, std::unique_lock<std::mutex>& lock);
    std::string refuse(Session& session, const std::string& code);
    bool hasLostLead(const Session& session) const;
    std::size_t applied() const;
    /// Term of the n-th commit of the log.
    std::uint64_t termAt(std::size_t n) const;
    std::string position() const;
    std::string statusRow() const;

    World& m_world;
    std::string m_id;
    std::uint16_t m_port;
    std::uint64_t m_bornMs;
    int m_sequence = 0;
    bool m_isDraining = false;
    bool m_isPaused = false;
    std::vector<Commit> m_log;
    std::uint64_t m_term = 1; ///< Newest term that it has heard of.
    int m_connections = 0;
    int m_signatures = 0;
};

/// The platform: its store, the promote call, and the databases of one service.
class World {
public:
    World(std::string ip, std::uint16_t basePort, const std::string& recordFile);

    Record& record() { return m_record; }
    Store& store() { return m_store; }
    /// Starts the databases; the first one is the primary.
    void startDatabases(const std::vector<std::string>& ids);
    /// Writes the configuration with a route of each kind to the service.
    void writeConfig(int version, int maxConnections, int syncReplicas);

    std::string primary();
    bool waitForPromotion(const std::string& former, std::chrono::milliseconds limit);
    void cut(const std::string& id, const std::set<std::string>& hosts);
    void heal(const std::string& id);
    void stopReceiving(const std::string& id, bool stops);
    void setLag(const std::string& id, std::chrono::milliseconds lag);
    void startDraining(const std::string& id);

    const std::string& ip() const { return m_ip; }
    static constexpr const char* service = "sv1";

private:
    friend class Database;

    HttpAnswer promote(const HttpMessage& request);
    void lead(const std::string& id);
    void announce(Database& database);
    void replicate(const Commit& commit);
    /// True while what @p host sends to a database does not arrive.
    bool isCut(const Database& database, const std::string& host);

    std::string m_ip;
    std::uint16_t m_basePort;
    Record m_record;
    std::mutex m_mutex; ///< Guards the databases and what follows.
    Store m_store;
    std::map<std::string, std::unique_ptr<Database>> m_databases;
    std::map<std::string, Disruption> m_disruptions;
    std::string m_primary;
    std::uint64_t m_term = 1;
    std::uint64_t m_newestToken = 0;
    int m_syncReplicas = 0;
};

/// A client's session at a proxy.
class Client {
public:
    Client(World& world, std::string name)
        : m_world(world)
        , m_name(std::move(name))
    {
    }

    struct Answer {
        bool isComplete = false;
        std::string code; ///< Of an error; empty for a success.
        std::string row;
        std::string signature;
        std::string state;
    };

    bool open(const std::string& ip, std::uint16_t port, const std::string& database);
    Answer ask(const std::string& text);

private:
    World& m_world;
    std::string m_name;
    LineSocket m_socket;
    int m_number = 0;
};

/// Waits until all proxies count as ready for @p calm; false after @p limit.
bool waitForProxies(const std::vector<std::string>& ips, std::uint16_t readyPort, std::chrono::milliseconds calm, std::chrono::milliseconds limit);

} // namespace review
