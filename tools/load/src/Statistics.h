#pragma once

#include "LoadOptions.h"
#include "Violations.h"

#include <mutex>
#include <optional>
#include <vector>

namespace kumquatbank::load {

/// How one try of a request ended.
struct TryResult {
    Verdict verdict = Verdict::MayHaveRun;
    bool isUnreachable = false; ///< No proxy accepted the connection; counted apart from refusals.
    bool servedByReplica = false;
    std::chrono::microseconds latency { 0 };
};

/// Counts of the tries of one item of the mix, or of several.
struct TryCounts {
    std::uint64_t served = 0;
    std::uint64_t refused = 0; ///< Answered with not_run.
    std::uint64_t mayHaveRun = 0;
    std::uint64_t unreachable = 0;
    std::uint64_t operations = 0; ///< Operations begun; each has one try or more.
    std::vector<double> latencies; ///< Of served tries, in milliseconds.

    void merge(const TryCounts& other);

    /// Latency that the given share of served tries does not exceed; 0 without any. Sorts the latencies.
    double percentile(double share);
};

/// Measurements of a run. Thread-safe while callers run; the getters are for afterwards.
class Statistics {
public:
    Statistics(std::size_t items, std::size_t databases);

    void recordOperation(std::size_t item);
    void recordTry(std::size_t item, const TryResult& result);

    /// A read outside transactions that was answered.
    void recordRead(bool servedByReplica);

    /// A confirmed write or commit.
    void recordWriteSuccess(std::size_t database);
    void recordViolation(std::uint64_t Violations::*kind, const std::string& example);

    /// Ends the gaps between successful writes. To be called when the load ends, before callers finish late.
    void finish();

    const TryCounts& counts(std::size_t item) const { return m_counts.at(item); }
    const Violations& violations() const { return m_violations; }
    std::uint64_t reads() const { return m_reads; }
    std::uint64_t replicaReads() const { return m_replicaReads; }

    /// Longest time without a successful write, after the first one; empty when there was none.
    std::optional<Milliseconds> longestWriteGap(std::size_t database) const;

private:
    struct WriteGap {
        std::optional<TimePoint> last;
        Clock::duration longest { 0 };
    };

    std::mutex m_mutex;
    std::vector<TryCounts> m_counts;
    std::vector<WriteGap> m_gaps;
    Violations m_violations;
    std::uint64_t m_reads = 0;
    std::uint64_t m_replicaReads = 0;
    bool m_isFinished = false;
};

} // namespace kumquatbank::load
