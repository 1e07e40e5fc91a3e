#pragma once

#include "kumquatbank/catalogue/catalogue.h"

#include <memory>

namespace kumquatbank {

/// Enforces one database's share of the fleet-wide limits of entries. Each share is the limit divided by the
/// number of databases of the service; the remainder is distributed so that the shares add up to the limit.
/// Thread-safe.
class EntryLimiter {
public:
    /// Permission to run one request of an entry; released on destruction. Must not outlive its limiter.
    class Permit {
    public:
        Permit(Permit&& other) noexcept;
        Permit& operator=(Permit&& other) noexcept;
        ~Permit();

    private:
        friend class EntryLimiter;
        Permit(EntryLimiter* limiter, std::string entry);
        EntryLimiter* m_limiter = nullptr;
        std::string m_entry;
    };

    EntryLimiter();
    ~EntryLimiter();
    EntryLimiter(const EntryLimiter&) = delete;
    EntryLimiter& operator=(const EntryLimiter&) = delete;

    /// Acquires a permit of the database at @p index of @p count in the entry's service (index < count).
    /// NotRun/Refused with cause EntryLimit, entry, owner and retryAfter when the share is exhausted.
    Result<Permit> acquire(const CatalogueEntry& entry, std::size_t index, std::size_t count);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace kumquatbank
