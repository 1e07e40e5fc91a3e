#pragma once

#include "kumquatbank/membership/membership.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace kumquatbank {

/// Polls @p condition until it holds. @return false after @p limit.
bool waitFor(Milliseconds limit, const std::function<bool()>& condition);

/// The platform test double, run as a child process.
class PlatformProcess {
public:
    explicit PlatformProcess(std::uint16_t port);
    ~PlatformProcess();
    PlatformProcess(const PlatformProcess&) = delete;
    PlatformProcess& operator=(const PlatformProcess&) = delete;

    HostAddress address() const { return m_address; }

    /// Creates or replaces the entry "save" with this rank's limit, or another name.
    void putEntry(const std::string& name, unsigned maxConcurrent);
    void removeEntry(const std::string& name);
    void setHosts(const nlohmann::json& hosts);
    void setFaults(const nlohmann::json& faults);
    std::uint64_t calls(); ///< Received so far, without those of this object.

private:
    nlohmann::json send(const std::string& method, const std::string& path, const nlohmann::json& body = nullptr,
        std::map<std::string, std::string> query = {});

    HostAddress m_address;
    int m_processId = 0;
};

/// Which processes of a fleet reach each other: those on the same side of a cut.
class Network {
public:
    void setSide(const HostAddress& host, int side);
    void heal();
    bool isCut(const HostAddress& a, const HostAddress& b) const;

    /// The next @p count answers are lost after the message took effect.
    void loseAnswers(int count) { m_lostAnswers = count; }
    bool takeLostAnswer() { return m_lostAnswers > 0 && m_lostAnswers-- > 0; }

private:
    mutable std::mutex m_mutex;
    std::map<HostAddress, int> m_sides;
    std::atomic<int> m_lostAnswers { 0 };
};

/// One process with its real server, client, catalogue and membership.
class TestProcess {
public:
    TestProcess(MembershipOptions options, const HostAddress& platform, Network& network);
    ~TestProcess() { kill(); }
    TestProcess(const TestProcess&) = delete;
    TestProcess& operator=(const TestProcess&) = delete;

    /// Neither answers nor sends from now on.
    void kill();

    const HostIdentity& identity() const { return m_identity; }
    std::size_t count(MemberState state) const;
    std::optional<MemberState> stateOf(const HostAddress& host) const; ///< Empty when dead or unknown.
    unsigned limitOf(const std::string& entry) const; ///< 0 for an unknown entry.

    Catalogue catalogue;
    PeerClient peers;
    PlatformClient platform;
    Membership membership;

private:
    const HostIdentity m_identity;
    Network& m_network;
    PeerServer m_server;
    bool m_isRunning = true;
};

/// Processes on consecutive ports, spread over three places in turn, each with all others as seeds.
class Fleet {
public:
    Fleet(std::uint16_t firstPort, std::size_t size, const HostAddress& platform, const MembershipOptions& timing);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    void start(std::size_t index, std::vector<HostAddress> seeds); ///< Replaces a former run.
    void start(std::size_t index); ///< With all others as seeds.
    void startAll();
    void kill(std::size_t index) { processes[index].reset(); }
    HostAddress address(std::size_t index) const;

    /// True when @p condition holds for every running process.
    bool all(const std::function<bool(TestProcess&)>& condition) const;
    bool isComplete() const; ///< Every running process knows exactly the running ones as alive.

    Network network;
    std::vector<std::unique_ptr<TestProcess>> processes;

private:
    const std::uint16_t m_firstPort;
    const HostAddress m_platform;
    const MembershipOptions m_timing;
    std::uint64_t m_incarnation = 0;
};

} // namespace kumquatbank
