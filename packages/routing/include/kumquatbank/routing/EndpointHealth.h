#pragma once

#include "kumquatbank/core/BootClock.h"

#include <array>
#include <chrono>

namespace kumquatbank {

/// Failures among the statements that one endpoint got in the last seconds, across requests, and whether the endpoint is
/// ejected from reads because of them. Does not use the network. See docs/design/endpoint-pace.md.
class EndpointHealth {
public:
    struct Counts {
        int statements = 0;
        int failures = 0;

        Counts& operator+=(const Counts& other)
        {
            statements += other.statements;
            failures += other.failures;
            return *this;
        }
        double failureShare() const { return statements == 0 ? 0 : static_cast<double>(failures) / statements; }
    };

    /// Interval between two reads that an ejected endpoint gets.
    static constexpr std::chrono::milliseconds probeInterval { 500 };

    /// Records the outcome of a statement. @p hasFailed: it failed, was refused because the endpoint was full, or got no
    /// answer.
    void record(bool hasFailed, BootTime now);
    /// Returns the counts of the last 5 s.
    Counts recent(BootTime now) const;
    /// Returns the counts that decide: of the newest statements, 20 or a few more, within the last 5 s.
    Counts newest(BootTime now) const;
    /// Returns true if the failures of this endpoint are, with 99 % confidence, more than twice as frequent as those of
    /// its peers, plus a tenth. At least 10 statements here and on the peers are needed.
    bool isOutlier(const Counts& peers, BootTime now) const;

    void eject(BootTime now);
    void readmit();
    /// Forgets the recorded statements, because the endpoint has started anew.
    void clearCounts() { m_buckets = {}; }
    bool isEjected() const { return m_isEjected; }
    /// Returns true if the endpoint may be readmitted: its last probes were good, or no statement has reached it for so
    /// long that nothing is known of it.
    bool hasRecovered(BootTime now) const;
    int goodProbes() const { return m_goodProbes; }
    int requiredProbes() const { return m_requiredProbes; }
    /// Returns true if the next read may be sent as a probe, once in each probe interval.
    bool takeProbe(BootTime now);

private:
    static constexpr std::chrono::milliseconds bucketTime { 250 };
    static constexpr std::size_t bucketCount = 20;
    static constexpr int minRequiredProbes = 5;

    struct Bucket {
        BootTime::duration::rep number = 0; ///< Start time divided by the bucket time.
        Counts counts;
    };

    static BootTime::duration::rep bucketNumber(BootTime at);
    /// Counts of the newest buckets until there are @p enough statements.
    Counts countNewest(int enough, BootTime now) const;

    std::array<Bucket, bucketCount> m_buckets {};
    bool m_isEjected = false;
    int m_goodProbes = 0; ///< In a row, since the ejection.
    int m_requiredProbes = minRequiredProbes;
    BootTime m_ejectedAt {};
    BootTime m_lastProbe {};
    BootTime m_lastOutcome {};
};

} // namespace kumquatbank
