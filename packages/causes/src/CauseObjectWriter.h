#pragma once

#include "kumquatbank/causes/CauseBatch.h"
#include "kumquatbank/causes/CauseLedger.h"
#include "kumquatbank/platform/PlatformObject.h"

#include <algorithm>
#include <concepts>
#include <map>
#include <string>

namespace kumquatbank {

/// What CauseObjectWriter needs of the platform; PlatformClient has it.
template <typename T>
concept ObjectStore = requires(T store, std::string text, nlohmann::json value, std::uint64_t version)
{
    {
        store.get(text, text)
        } -> std::same_as<Result<PlatformObject>>;
    {
        store.put(text, text, value, version)
        } -> std::same_as<Result<PlatformObject>>;
};

/// Writes the rows of a ledger into one object per hour. Not thread-safe.
template <ObjectStore Store>
class CauseObjectWriter {
public:
    CauseObjectWriter(CauseLedger& ledger, Store& store, HostIdentity self)
        : m_ledger(ledger)
        , m_store(store)
        , m_self(std::move(self))
    {
    }

    /// Writes every hour with unsaved rows, oldest first, and stops at the first failure: the rows stay in the
    /// ledger for the next call. True when nothing is left unsaved.
    bool flush(WallTime now = WallClock::now())
    {
        const auto changes = m_ledger.changeCount();
        if (changes == m_savedChanges)
            return true;
        const auto rows = m_ledger.rows(m_unsavedSince, WallTime::max());
        for (auto it = rows.begin(); it != rows.end();) {
            const auto hour = std::chrono::floor<std::chrono::hours>(it->minute);
            const auto end = std::find_if(
                it, rows.end(), [&](const auto& row) { return row.minute >= hour + std::chrono::hours(1); });
            if (!save(hour, { it, end }))
                return false;
            it = end;
        }
        // Rows of this minute can still grow. The whole hour stays unsaved for the next flush because its
        // object is replaced, not extended.
        m_ledger.markSaved(std::chrono::floor<std::chrono::minutes>(now));
        m_unsavedSince = std::chrono::floor<std::chrono::hours>(now);
        m_savedChanges = changes;
        std::erase_if(m_versions, [&](const auto& it) { return it.first < m_unsavedSince; });
        return true;
    }

private:
    using Hour = std::chrono::sys_seconds;

    /// Rows of one object at most: at about 230 bytes each they stay below the store's limit of 1 MB.
    static constexpr std::size_t maxRows = 4000;

    /// Reads in between are needed after a lost answer only; a second failure is left to the next flush.
    static constexpr int maxTries = 3;

    bool save(Hour hour, std::vector<CauseRow> rows)
    {
        const auto name = causeObjectName(hour, m_self);
        // What the ledger has dropped of this hour exists only in the object.
        bool mustRead = m_ledger.keptSince() > hour && m_versions[hour] > 0;
        for (int n = 0; n < maxTries; ++n) {
            if (mustRead) {
                const auto current = m_store.get("causes", name);
                if (!current && current.error().code != FailureCode::NotFound)
                    return false;
                m_versions[hour] = current ? current->version : 0;
                if (current)
                    rows = mergeCopies(rows, current->value.template get<CauseBatch>().rows);
            }
            const auto written = m_store.put("causes", name, batchOf(rows), m_versions[hour]);
            if (written) {
                m_versions[hour] = written->version;
                return true;
            }
            // An earlier write whose answer was lost may have taken effect; its version must be read.
            const bool isUncertain = written.error().verdict == Verdict::MayHaveRun;
            if (!isUncertain && written.error().code != FailureCode::Conflict)
                return false;
            mustRead = true;
        }
        return false;
    }

    CauseBatch batchOf(std::vector<CauseRow> rows) const
    {
        CauseBatch batch { m_self, std::move(rows), 0 };
        if (batch.rows.size() <= maxRows)
            return batch;
        std::ranges::sort(batch.rows, std::greater {}, &CauseRow::lost);
        batch.omitted = batch.rows.size() - maxRows;
        batch.rows.resize(maxRows);
        return batch;
    }

    CauseLedger& m_ledger;
    Store& m_store;
    HostIdentity m_self;
    std::map<Hour, std::uint64_t> m_versions; ///< Of the objects written so far.
    WallTime m_unsavedSince;
    std::uint64_t m_savedChanges = 0;
};

} // namespace kumquatbank
