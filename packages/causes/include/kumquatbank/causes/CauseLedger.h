#pragma once

#include "kumquatbank/causes/CauseObject.h"

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

    /// One hour as it was when it was read.
    struct Hour {
        CauseHour start;
        std::uint64_t changeCount = 0; ///< Changes to this hour so far.
        std::vector<CauseRow> rows;
    };

    /// Hours with changes since their last markSaved().
    std::vector<Hour> unsavedHours() const;

    /// Notes that @p hour is on the platform as it was read.
    void markSaved(const Hour& hour);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
