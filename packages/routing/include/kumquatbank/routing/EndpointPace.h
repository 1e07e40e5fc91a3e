#pragma once

#include "kumquatbank/core/BootClock.h"

#include <chrono>
#include <optional>
#include <utility>

namespace kumquatbank {

/// Number of concurrent uses (statements and connections being opened) that this host allows itself on one endpoint,
/// derived from the endpoint's answers. Does not use the network. See docs/design/endpoint-pace.md.
class EndpointPace {
public:
    using Duration = std::chrono::microseconds;

    enum class Reason {
        None,
        Restarted,
        Slow,
        Refused,
        Missing,
    };

    /// Returns the number of uses with which this host keeps its part of the endpoint's slots busy; half as many more than
    /// slots, for the time on the network. @p share: of the @p maxConnections connections that the endpoint accepts.
    static int slotShare(int slots, int share, int maxConnections);

    /// @p full: this host's share of the endpoint's connections. @p slotShare: from 1 to @p full. The pace starts with it,
    /// and slow answers alone do not reduce the pace below it, because that would leave slots idle.
    void setBounds(int full, int slotShare);
    /// Starts low again: the endpoint has started, come back or become primary.
    void restart();
    /// Sets the answer time of the endpoint's peers; empty if nothing is known to compare with.
    void setReference(std::optional<Duration> reference) { m_reference = reference; }

    /// Records an answer. @p time: from sending to the answer, without the network. @p inUse: present uses, including
    /// the answered one. The pace grows only if all uses that it allows are taken.
    void recordAnswer(Duration time, BootTime sentAt, int inUse, BootTime now);
    /// Records that the endpoint was full.
    void recordRefusal(BootTime sentAt, BootTime now);
    /// Records that a statement or a connect remained without an answer.
    void recordMissingAnswer(BootTime now);
    /// Called periodically. Raises the pace if requests wait and the endpoint gives no answers, because all uses are
    /// held by sessions that send nothing.
    void advance(int inUse, bool isWaiting, BootTime now);

    int limit() const;
    int full() const { return m_full; }
    bool isFull() const { return limit() == m_full; }
    /// Why the pace was last reduced.
    Reason reason() const { return m_reason; }
    std::optional<Duration> reference() const { return m_reference; }

    /// Smoothed answer time over about as many answers as there are uses; empty if the last answer is too old to
    /// compare with.
    std::optional<Duration> recentAverage(BootTime now) const;
    /// Lowest long-term average of the last 10 to 20 s.
    std::optional<Duration> best() const;
    /// The same, once the endpoint has answered for long enough that a slow start would be over.
    std::optional<Duration> settledBest(BootTime now) const;

private:
    using Average = std::chrono::duration<double, std::micro>;

    bool isSlow() const { return m_reference && m_average > slowLimit(); }
    Average slowLimit() const;
    void updateAverages(Average time, BootTime now);
    void grow();
    void reduce(double factor, int minimum, Reason reason, BootTime now);

    int m_full = 1;
    int m_slotShare = 1;
    double m_limit = 1;
    double m_rampEnd = 0; ///< The pace doubles in each round below it, and grows by a constant above; 0: no bound.
    bool m_isFresh = true; ///< No evidence since the start.
    Reason m_reason = Reason::Restarted;
    std::optional<Duration> m_reference;
    Average m_average { 0 };
    Average m_longAverage { 0 };
    std::optional<BootTime> m_firstAnswer;
    BootTime m_lastAnswer {};
    BootTime m_lastEvidence {};
    BootTime m_reducedAt {};
    Average m_best { 0 };
    std::optional<Average> m_previousBest;
    BootTime m_bestSince {};
};

} // namespace kumquatbank
