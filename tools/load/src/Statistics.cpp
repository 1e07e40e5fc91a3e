#include "Statistics.h"

#include <algorithm>
#include <cmath>

namespace kumquatbank::load {

void TryCounts::merge(const TryCounts& other)
{
    served += other.served;
    refused += other.refused;
    mayHaveRun += other.mayHaveRun;
    unreachable += other.unreachable;
    operations += other.operations;
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
}

double TryCounts::percentile(double share)
{
    if (latencies.empty())
        return 0;
    std::ranges::sort(latencies);
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(latencies.size())));
    return latencies[std::clamp<std::size_t>(rank, 1, latencies.size()) - 1];
}

Statistics::Statistics(std::size_t items, std::size_t databases)
    : m_counts(items)
    , m_gaps(databases)
{
}

void Statistics::recordOperation(std::size_t item)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[item].operations;
}

void Statistics::recordTry(std::size_t item, const TryResult& result)
{
    const std::lock_guard lock(m_mutex);
    // Retries go on after the measured time and would make the rates too high.
    if (m_isFinished)
        return;
    auto& counts = m_counts[item];
    if (result.isUnreachable) {
        ++counts.unreachable;
    } else if (result.verdict == Verdict::Answered) {
        ++counts.served;
        counts.latencies.push_back(std::chrono::duration<double, std::milli>(result.latency).count());
    } else if (result.verdict == Verdict::NotRun) {
        ++counts.refused;
    } else {
        ++counts.mayHaveRun;
    }
}

void Statistics::recordRead(bool servedByReplica)
{
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    m_replicaReads += servedByReplica ? 1 : 0;
}

void Statistics::recordWriteSuccess(std::size_t database)
{
    const std::lock_guard lock(m_mutex);
    if (m_isFinished)
        return;
    auto& gap = m_gaps[database];
    const auto now = Clock::now();
    if (gap.last)
        gap.longest = std::max(gap.longest, now - *gap.last);
    gap.last = now;
}

void Statistics::recordViolation(std::uint64_t Violations::*kind, const std::string& example)
{
    const std::lock_guard lock(m_mutex);
    m_violations.add(kind, example);
}

void Statistics::finish()
{
    const std::lock_guard lock(m_mutex);
    const auto now = Clock::now();
    for (auto& gap : m_gaps) {
        if (gap.last)
            gap.longest = std::max(gap.longest, now - *gap.last);
    }
    m_isFinished = true;
}

std::optional<Milliseconds> Statistics::longestWriteGap(std::size_t database) const
{
    const auto& gap = m_gaps.at(database);
    if (!gap.last)
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(gap.longest);
}

} // namespace kumquatbank::load
