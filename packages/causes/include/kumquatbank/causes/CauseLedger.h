#pragma once

#include "kumquatbank/causes/CauseRow.h"

#include <memory>
#include <vector>

namespace kumquatbank {

/// Counts refusals and delays per key and minute. Memory is bounded; when full, the oldest minutes that are
/// saved go first. Thread-safe.
class CauseLedger {
public:
    CauseLedger();
    ~CauseLedger();
    CauseLedger(const CauseLedger&) = delete;
    CauseLedger& operator=(const CauseLedger&) = delete;

    void recordRefusal(const CauseKey& key, Milliseconds lost);
    void recordDelay(const CauseKey& key, Milliseconds lost);

    /// Rows with from <= minute < to, ordered by minute and key.
    std::vector<CauseRow> rows(WallTime from, WallTime to) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
