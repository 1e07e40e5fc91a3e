#pragma once

#include "kumquatbank/causes/CauseRow.h"

#include <memory>
#include <vector>

namespace kumquatbank {

/// Counts refusals and delays per key and minute. Memory is bounded; when full, the oldest minutes that are
/// saved go first. Thread-safe.
class CauseLedger {
public:
    /// @param maxRows rows kept in memory; one takes about 300 bytes.
    explicit CauseLedger(std::size_t maxRows = 20'000);
    ~CauseLedger();
    CauseLedger(const CauseLedger&) = delete;
    CauseLedger& operator=(const CauseLedger&) = delete;

    void recordRefusal(const CauseKey& key, Milliseconds lost, WallTime at = WallClock::now());
    void recordDelay(const CauseKey& key, Milliseconds lost, WallTime at = WallClock::now());

    /// Rows with from <= minute < to, ordered by minute and key.
    std::vector<CauseRow> rows(WallTime from, WallTime to) const;

    /// Every row before @p before is saved elsewhere and may be dropped when memory is needed.
    void markSaved(WallTime before);

    /// Rows before this time may be missing; the epoch when nothing was dropped.
    WallTime keptSince() const;

    std::uint64_t changeCount() const; ///< Records so far; equal numbers mean equal rows.
    std::uint64_t lostCount() const; ///< Records dropped before they were saved.

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
