#pragma once

#include "Gossip.h"
#include "PeerSelector.h"
#include "ProbeQueue.h"

#include <thread>

namespace kumquatbank {

/// One exchange per interval with one peer; a peer that does not answer is handed to the ProbeQueue. A round
/// that starts far too late shows that this process was paused, and nobody is suspected in it.
class FailureDetector {
public:
    FailureDetector(MemberTable& table, Gossip& gossip, PeerCaller& caller, ProbeQueue& probes,
        Milliseconds gossipInterval, Milliseconds probeTimeout);

    void start();
    void stop();

    double messagesPerSecond() const { return m_messagesPerSecond; } ///< Over the last 10 rounds.

private:
    void run(const std::stop_token& stop);
    void round(TimePoint due);
    void measure(TimePoint now);

    Gossip& m_gossip;
    PeerCaller& m_caller;
    ProbeQueue& m_probes;
    const Milliseconds m_gossipInterval;
    const Milliseconds m_probeTimeout;
    PeerSelector m_selector;
    std::mt19937_64 m_random;
    TimePoint m_measuredAt {};
    std::uint64_t m_measuredMessages = 0;
    unsigned m_rounds = 0;
    std::atomic<double> m_messagesPerSecond { 0 };
    std::jthread m_thread;
};

} // namespace kumquatbank
