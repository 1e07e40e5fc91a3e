#include "RequestTrace.h"

#include <algorithm>

namespace kumquatbank {

RequestTrace::RequestTrace(CauseLedger& ledger, const CatalogueEntry& entry, std::string database,
    std::string place, Milliseconds threshold)
    : m_ledger(ledger)
    , m_entry(entry)
    , m_database(std::move(database))
    , m_place(std::move(place))
    , m_threshold(threshold)
{
}

void RequestTrace::addWait(Cause cause, Milliseconds waited) { m_waits[cause] += waited; }

RequestTrace::Span::Span(RequestTrace& trace, Cause cause)
    : m_trace(trace)
    , m_cause(cause)
{
}

RequestTrace::Span::~Span()
{
    m_trace.addWait(m_cause, std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt));
}

CauseKey RequestTrace::key(Cause cause) const
{
    return { m_entry.name, m_entry.owner, m_entry.rank, m_database, m_place, cause };
}

Result<CallerAnswer> RequestTrace::finish(Result<CallerAnswer> result) const
{
    if (!result && result.error().cause == Cause::None)
        return result; // The database rejected the statement, which is neither a refusal nor a delay of this process.
    if (!result) {
        auto& failure = result.error();
        failure.entry = m_entry.name;
        failure.owner = m_entry.owner;
        m_ledger.recordRefusal(
            key(failure.cause), std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt));
        return result;
    }
    for (const auto& [cause, waited] : m_waits) {
        if (waited >= m_threshold)
            m_ledger.recordDelay(key(cause), waited);
    }
    return result;
}

} // namespace kumquatbank
