#pragma once

#include "kumquatbank/core/BootClock.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace kumquatbank {

/// What memory is needed for. Each use may fill the budget up to a part of its own, so that what has begun can be completed
/// while nothing new is taken in.
enum class MemoryUse {
    Input, ///< Input that is not a complete message yet.
    State, ///< Sessions with their values and prepared statements.
    Work, ///< Copies of a long message while it is served.
    Answer, ///< Answers of databases, of the store and of other hosts, and output that has not been sent.
};

/// Memory of all connections of one client account.
struct AccountMemory {
    std::size_t held = 0;
};

/// A connection whose memory is counted, and which can be closed to free it.
class MemoryHolder {
public:
    /// Order in which holders are closed: the first kind first.
    enum class Phase {
        Waiting, ///< For input of its client.
        Answering,
        InTransaction,
    };

    MemoryHolder() = default;
    virtual ~MemoryHolder() = default;
    MemoryHolder(const MemoryHolder&) = delete;
    MemoryHolder& operator=(const MemoryHolder&) = delete;

    virtual Phase memoryPhase() const = 0;
    /// Closes the connection. What it holds may be freed later.
    virtual void closeForMemory() = 0;

    std::size_t heldMemory() const { return m_held; }

private:
    friend class MemoryBudget;

    std::size_t m_held = 0;
    BootTime m_movedAt {}; ///< When it last completed a message or its client took output.
    AccountMemory* m_account = nullptr;
    bool m_isClosing = false;
};

/// The owner of the memory for input, output and session state of a process. Without network; time is passed in.
class MemoryBudget {
public:
    /// Part of the process's memory, in percent, that this class distributes. The other half is for the program itself, for
    /// configuration and endpoints, and for what the allocator cannot reuse.
    static constexpr std::size_t budgetPercent = 50;
    /// A holder that moved within this time is closed only for room for answers. A proper client sends 1 MiB without a pause.
    static constexpr std::chrono::milliseconds stallTime { 1000 };
    /// Holders with less are never closed: closing them frees no memory to speak of.
    static constexpr std::size_t minClosableBytes = 32 << 10;

    /// Refused callers try again, and thousands may do so at once. A search that found no holder to close is therefore not
    /// repeated within this time for as much memory or more.
    static constexpr std::chrono::milliseconds searchInterval { 20 };

    /// @p totalBytes: to distribute.
    explicit MemoryBudget(std::size_t totalBytes)
        : m_total(totalBytes)
    {
    }

    /// The budget of this process; unlimited until it is configured.
    static MemoryBudget& ofProcess();
    void setProcessMemory(std::size_t megabytes) { m_total = (megabytes << 20) * budgetPercent / 100; }

    /// Counts @p bytes for @p holder (null: a connection that is never closed for its memory) if there is room, also by closing
    /// others. Room appears when these have ended, so that a refused caller can try again.
    bool reserve(MemoryHolder* holder, MemoryUse use, std::size_t bytes, BootTime now);
    void release(MemoryHolder* holder, std::size_t bytes);

    /// Counts what the holder has, and what it will get, for a client account; an empty name for none.
    void setAccount(MemoryHolder& holder, const std::string& account);
    void recordMovement(MemoryHolder& holder, BootTime now) { holder.m_movedAt = now; }

    /// Room that is left for a use without closing anything.
    std::size_t available(MemoryUse use) const;
    std::size_t used() const { return m_used; }
    std::size_t total() const { return m_total; }
    std::uint64_t closedHolders() const { return m_closed; }
    std::uint64_t refusals(MemoryUse use) const { return m_refusals.at(static_cast<std::size_t>(use)); }

private:
    /// A search that found no holder to close.
    struct FailedSearch {
        BootTime at {};
        std::size_t wanted = 0; ///< Bytes, with those that the requester had.
    };

    static std::size_t wantedBytes(const MemoryHolder* requester, std::size_t bytes) { return bytes + (requester == nullptr ? 0 : requester->m_held); }
    static bool isStalled(const MemoryHolder& holder, BootTime now) { return now - holder.m_movedAt >= stallTime; }
    bool hasJustFailed(const MemoryHolder* requester, MemoryUse use, std::size_t bytes, BootTime now) const;
    void recordFailedSearch(const MemoryHolder* requester, MemoryUse use, std::size_t bytes, BootTime now);
    bool isClosable(const MemoryHolder& victim, const MemoryHolder* requester, MemoryUse use, std::size_t bytes, BootTime now) const;
    MemoryHolder* selectVictim(const MemoryHolder* requester, MemoryUse use, std::size_t bytes, BootTime now) const;
    std::size_t fairShare() const;

    std::size_t m_total;
    std::size_t m_used = 0;
    std::size_t m_closing = 0; ///< Held by connections that are being closed.
    std::uint64_t m_closed = 0;
    std::array<std::uint64_t, 4> m_refusals {};
    std::array<FailedSearch, 4> m_failedSearches {};
    std::set<MemoryHolder*> m_holders; ///< That hold anything.
    std::map<std::string, AccountMemory> m_accounts;
};

/// A count of memory that is released at its end.
class MemoryHold {
public:
    MemoryHold() = default;
    ~MemoryHold() { clear(); }
    MemoryHold(MemoryHold&& other) noexcept
        : m_holder(other.m_holder)
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    MemoryHold& operator=(MemoryHold&& other) noexcept
    {
        clear();
        m_holder = other.m_holder;
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }

    explicit MemoryHold(MemoryHolder* holder)
        : m_holder(holder)
    {
    }

    /// Changes the count to @p bytes; fails, and changes nothing, if there is no room for more.
    bool resize(MemoryUse use, std::size_t bytes);
    void clear()
    {
        if (m_bytes > 0)
            resize(MemoryUse::Input, 0);
    }
    std::size_t bytes() const { return m_bytes; }
    MemoryHolder* holder() const { return m_holder; }

private:
    MemoryHolder* m_holder = nullptr;
    std::size_t m_bytes = 0;
};

} // namespace kumquatbank
