#pragma once

#include "EmulatedPlatform.h"
#include "kumquatbank/pooler/pooler.h"

#include <functional>

namespace kumquatbank {

/// A client of the wire protocol.
class TestClient {
public:
    struct Answer {
        std::vector<std::string> rows;
        std::string result; ///< The DONE or ERR line.
        std::string ready; ///< The READY line; empty if the connection closed.

        bool isSuccess() const { return result.starts_with("DONE"); }
        std::string code() const { return result.starts_with("ERR ") ? result.substr(4, result.find(' ', 4) - 4) : ""; }
        char state() const { return ready.size() > 6 ? ready[6] : '?'; }
    };

    explicit TestClient(asio::io_context& io)
        : m_io(io)
    {
    }

    /// Connects and starts a session.
    Task<Answer> start(HostAddress address, std::string database, std::string key = "client");
    /// Runs one statement under a new id.
    Task<Answer> query(std::string text);
    Task<Answer> sendRaw(std::string bytes);
    /// Reads one more answer, to a request that was sent together with others.
    Task<Answer> receive();
    void close() { m_channel.reset(); }
    const std::string& lastId() const { return m_lastId; }

private:
    asio::io_context& m_io;
    std::optional<LineChannel> m_channel;
    std::string m_lastId;
};

/// Proxies in front of an emulated platform, all on one event loop.
class PoolerFixture {
public:
    /// Host n is in data centre n modulo @p dataCentres, and in region n modulo @p regions. @p lends: whether hosts
    /// lend each other connections. @p adjust: changes the settings of each host before its start.
    explicit PoolerFixture(EmulatedPlatform::Shape shape = {}, int hosts = 1, int dataCentres = 3, bool lends = true, int regions = 1, std::function<void(PoolerSettings&)> adjust = {});

    /// Region of a host.
    std::string region(int host) const;
    /// The host that holds the connections to a service for the hosts of @p region; @p hosts: how many there are.
    int holder(const std::string& service, int hosts, const std::string& region) const;

    /// Runs @p task on the event loop; fails the test if it takes longer than @p limit.
    void run(Task<void> task, std::chrono::seconds limit = std::chrono::seconds(20));

    asio::io_context& io() { return *m_io; }
    EmulatedPlatform& platform() { return *m_platform; }
    HostAddress clientAddress(int host = 0) const { return address(host, 0); }
    HostAddress peerAddress(int host) const { return address(host, 2); }
    HostAddress loanAddress(int host) const { return address(host, 4); }
    PoolerProcess& process(int host) { return *m_processes.at(static_cast<std::size_t>(host)); }
    void startHost(int host);
    /// Hosts that are started from now on read their settings from files in @p folder.
    void useSettingsFiles(std::string folder) { m_settingsFolder = std::move(folder); }
    /// Writes the file of a host with another address of the store.
    void writeSettings(int host, const HostAddress& storeAddress) const;

    /// Status of the ready probe.
    Task<int> ready(int host);
    Task<void> waitUntilReady(int host);
    /// State of a host, read from its metrics address.
    Task<nlohmann::json> state(int host);
    /// Document at a path of a host's metrics address.
    Task<nlohmann::json> document(int host, std::string target);
    /// The number of hosts, of the first @p hosts, that refuse a new session of the database because no route has it.
    Task<int> hostsWithoutRoute(std::string database, int hosts);
    Task<void> sleep(std::chrono::milliseconds duration) { return sleepFor(*m_io, duration); }
    /// Repeats a write until it succeeds; returns the number of attempts.
    Task<int> writeUntilSuccess(std::string database, std::string text, int host = 0);

    /// Fails the test if a statement ran in a transaction of another one, outside its own, or with other values.
    void checkTransactions() const;

private:
    HostAddress address(int host, int offset) const;
    std::string settingsFile(int host) const;

    // Suspended coroutines refer to the event loop and the processes, so neither is ever destroyed.
    asio::io_context* m_io;
    std::string m_ip;
    int m_dataCentres;
    bool m_lends;
    int m_regions;
    std::function<void(PoolerSettings&)> m_adjust;
    EmulatedPlatform* m_platform;
    std::vector<PoolerProcess*> m_processes;
    std::string m_settingsFolder;
};

} // namespace kumquatbank
