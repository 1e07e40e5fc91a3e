#pragma once

#include "kumquatbank/routing/ServicePacing.h"

#include <chrono>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace kumquatbank {

/// One endpoint and the hosts that use it, in steps of 1 ms. Two more endpoints of the service answer quickly and serve
/// as peers. Hosts exchange nothing.
class ModelledDatabase {
public:
    static constexpr int slots = 4;
    static constexpr int queueLength = 32;
    static constexpr int openingMs = 12;
    static constexpr int workMs = 18;
    static constexpr int answerTimeoutMs = 350;
    static constexpr int retryPauseMs = 50;

    struct Host {
        ServicePacing pacing;
        int inUse = 0;
        int connections = 0;
        int fullSince = -1; ///< Time at which the pace last became full; -1 while it is not.
        int mostInUse = 0;
        int served = 0;
        int refused = 0;
        int longestWaitMs = 0;
        int retriesAt = 0; ///< No statement is sent before, after a refusal.
        std::deque<int> arrivals; ///< Times at which the waiting requests arrived.
    };

    /// @p isPaced: false for hosts that use their full share at once.
    ModelledDatabase(int hosts, int share, bool isPaced)
        : m_hosts(static_cast<std::size_t>(hosts))
        , m_share(share)
        , m_isPaced(isPaced)
    {
        for (auto& host : m_hosts) {
            for (const auto* id : { "e", "peer-1", "peer-2" })
                host.pacing.setEndpoint(id, true, share, EndpointPace::slotShare(slots, share, maxConnections));
        }
    }

    /// Factor on the duration of work that begins at a time; 1 is quick.
    std::function<double(int)> slowness = [](int) { return 1.0; };
    /// Whether a statement that begins at a time fails.
    std::function<bool(int)> fails = [](int) { return false; };
    /// Whether a statement that begins at a time gets no answer.
    std::function<bool(int)> hangs = [](int) { return false; };
    /// Requests that arrive at a host in one millisecond.
    std::function<int(int)> demand = [](int) { return 0; };
    bool isDown = false;
    /// Answer time of the peers; that of idle ones unless it is changed.
    int peerAnswerMs = workMs;

    void run(int milliseconds)
    {
        for (const int end = m_now + milliseconds; m_now < end; ++m_now)
            step();
    }
    int now() const { return m_now; }
    std::vector<Host>& hosts() { return m_hosts; }
    int refused() const { return m_refused; }
    int served() const { return m_served; }
    /// Milliseconds of slots that were free while a host had waiting requests.
    int idleSlotMs() const { return m_idleSlotMs; }
    int mostQueued() const { return m_mostQueued; }
    void resetCounts()
    {
        m_refused = m_served = m_idleSlotMs = m_mostQueued = 0;
        for (auto& host : m_hosts)
            host.served = host.refused = host.mostInUse = host.longestWaitMs = 0;
    }
    /// Closes all connections; the hosts notice it at once.
    void crash()
    {
        isDown = true;
        m_queue.clear();
        m_running.clear();
        for (auto& host : m_hosts) {
            host.inUse = host.connections = 0;
            host.pacing.restart("e");
            host.pacing.recordMissingAnswer("e", time());
        }
    }

    static constexpr int maxConnections = 56;

private:
    static constexpr int comparisonIntervalMs = 100;
    static constexpr int peerAnswerIntervalMs = 20;

    struct Work {
        Host* host;
        int sentAt;
        bool opens;
        int leftMs = 0;
        bool hasFailed = false;
        bool isHanging = false;
    };

    BootTime time() const { return BootTime(std::chrono::seconds(1000)) + std::chrono::milliseconds(m_now); }

    void step()
    {
        for (auto& host : m_hosts) {
            if (m_now % peerAnswerIntervalMs == 0) {
                for (const auto* peer : { "peer-1", "peer-2" })
                    host.pacing.record(peer, StatementOutcome::Good, std::chrono::milliseconds(peerAnswerMs), time(), 1, time());
            }
            for (int n = demand(m_now); n > 0; --n)
                host.arrivals.push_back(m_now);
            if (m_now % comparisonIntervalMs == 0) {
                host.pacing.compare(time());
                host.pacing.advance("e", host.inUse, !host.arrivals.empty(), time());
            }
            const bool isFull = host.pacing.pace("e")->isFull();
            host.fullSince = !isFull ? -1 : host.fullSince < 0 ? m_now
                                                               : host.fullSince;
            send(host);
        }
        for (int free = slots - static_cast<int>(m_running.size()); free > 0 && !m_queue.empty(); --free) {
            begin(m_queue.front());
            m_queue.pop_front();
        }
        const bool isAnyWaiting = std::ranges::any_of(m_hosts, [](const Host& host) { return !host.arrivals.empty(); });
        if (isAnyWaiting && !isDown)
            m_idleSlotMs += slots - static_cast<int>(m_running.size());
        for (auto& work : m_running) {
            if (--work.leftMs <= 0)
                end(work);
        }
        std::erase_if(m_running, [](const Work& work) { return work.leftMs <= 0; });
    }

    void send(Host& host)
    {
        const int limit = m_isPaced ? host.pacing.pace("e")->limit() : m_share;
        while (!isDown && !host.arrivals.empty() && host.inUse < limit && m_now >= host.retriesAt) {
            host.longestWaitMs = std::max(host.longestWaitMs, m_now - host.arrivals.front());
            const int arrivedAt = host.arrivals.front();
            host.arrivals.pop_front();
            host.mostInUse = std::max(host.mostInUse, ++host.inUse);
            Work work { &host, m_now, host.inUse > host.connections };
            if (static_cast<int>(m_queue.size() + m_running.size()) >= slots + queueLength) {
                ++m_refused;
                ++host.refused;
                record(work, StatementOutcome::Refused);
                host.arrivals.push_front(arrivedAt);
                host.retriesAt = m_now + retryPauseMs;
                return;
            }
            host.connections = std::max(host.connections, host.inUse);
            m_queue.push_back(work);
            m_mostQueued = std::max(m_mostQueued, static_cast<int>(m_queue.size()));
        }
    }

    void begin(Work& work)
    {
        work.isHanging = hangs(m_now);
        work.hasFailed = fails(m_now);
        work.leftMs = work.isHanging ? answerTimeoutMs : static_cast<int>((workMs + (work.opens ? openingMs : 0)) * slowness(m_now));
        m_running.push_back(work);
    }

    void end(const Work& work)
    {
        ++m_served;
        ++work.host->served;
        record(work, work.isHanging ? StatementOutcome::Unanswered : work.hasFailed ? StatementOutcome::Failed
                                                                                    : StatementOutcome::Good);
    }

    void record(const Work& work, StatementOutcome outcome)
    {
        // The time to open a connection is not part of the statement's answer time.
        const int took = m_now - work.sentAt - (work.opens ? openingMs : 0);
        const auto sentAt = time() - std::chrono::milliseconds(m_now - work.sentAt);
        work.host->pacing.record("e", outcome, std::chrono::milliseconds(took), sentAt, work.host->inUse, time());
        --work.host->inUse;
    }

    std::vector<Host> m_hosts;
    int m_share;
    bool m_isPaced;
    int m_now = 0;
    std::deque<Work> m_queue;
    std::vector<Work> m_running;
    int m_refused = 0;
    int m_served = 0;
    int m_idleSlotMs = 0;
    int m_mostQueued = 0;
};

} // namespace kumquatbank
