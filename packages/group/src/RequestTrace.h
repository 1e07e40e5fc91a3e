#pragma once

#include "kumquatbank/catalogue/catalogue.h"
#include "kumquatbank/causes/causes.h"

#include <map>

namespace kumquatbank {

/// Waiting times of one request by cause, recorded in the ledger when the request ends. Not thread-safe.
class RequestTrace {
public:
    RequestTrace(CauseLedger& ledger, const CatalogueEntry& entry, std::string database, std::string place,
        Milliseconds threshold);

    void addWait(Cause cause, Milliseconds waited);

    /// Adds its lifetime to the waiting time of a cause.
    class Span {
    public:
        Span(RequestTrace& trace, Cause cause);
        ~Span();
        Span(const Span&) = delete;
        Span& operator=(const Span&) = delete;

    private:
        RequestTrace& m_trace;
        const Cause m_cause;
        const TimePoint m_startedAt = Clock::now();
    };

    /// Records a refusal, or the delays of a successful request that reach the threshold. Sets entry and owner in a
    /// failure that has a cause.
    Result<CallerAnswer> finish(Result<CallerAnswer> result) const;

private:
    CauseKey key(Cause cause) const;

    CauseLedger& m_ledger;
    const CatalogueEntry& m_entry;
    const std::string m_database;
    const std::string m_place;
    const Milliseconds m_threshold;
    const TimePoint m_startedAt = Clock::now();
    std::map<Cause, Milliseconds> m_waits;
};

} // namespace kumquatbank
