#pragma once

#include "Gossip.h"
#include "PeerSelector.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace kumquatbank {

/// Checks processes outside the regular rounds, on one thread: those that did not answer (directly over a new
/// connection and through two helpers, then suspicion), own suspicions, contested rows, and now and then a
/// dead row or a seed, which ends a split. Thread-safe.
class ProbeQueue {
public:
    ProbeQueue(MemberTable& table, Gossip& gossip, PeerCaller& caller, std::vector<HostAddress> seeds,
        Milliseconds gossipInterval, Milliseconds probeTimeout);

    void start();
    void stop();

    /// Checks soon whether @p peer is reachable. Ignored when many checks wait.
    void confirm(const HostAddress& peer);

    /// Takes the proxies of the platform's host list, to be tried like seeds while their rows are missing.
    void setListedHosts(std::vector<HostAddress> hosts);

    /// Forgets waiting checks and starts suspicions again: this process was paused.
    void forgiveAll(TimePoint now);

private:
    void run(const std::stop_token& stop);
    std::optional<HostAddress> takeConfirm(const std::stop_token& stop);
    void check(const HostAddress& peer);
    /// @return the row of @p peer when neither this process nor its helpers reach it and it is not suspect yet.
    std::optional<Member> findUnreachable(const HostAddress& peer);
    void checkClaim(const Member& claim);
    void spreadSuspicion(const HostAddress& suspect);
    void askSuspects();
    void askContested();
    void askLost(TimePoint now);
    Milliseconds lostInterval() const;

    MemberTable& m_table;
    Gossip& m_gossip;
    PeerCaller& m_caller;
    const std::vector<HostAddress> m_seeds;
    const Milliseconds m_gossipInterval;
    const Milliseconds m_probeTimeout;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::vector<HostAddress> m_waiting;
    std::vector<HostAddress> m_listedHosts;
    std::atomic<std::uint64_t> m_pauses { 0 };
    // Used by the probe thread only.
    PeerSelector m_selector;
    std::set<HostAddress> m_suspects; ///< Suspected by this process itself.
    TimePoint m_nextSuspectAsk {};
    TimePoint m_nextContestedAsk {};
    TimePoint m_lastLostAsk {};
    std::mt19937_64 m_random;
    std::jthread m_thread;
};

} // namespace kumquatbank
