#pragma once

#include "kumquatbank/routing/AccountUsage.h"
#include "kumquatbank/routing/GrantShares.h"
#include "kumquatbank/routing/PermitRequest.h"

#include <functional>
#include <list>

namespace kumquatbank {

/// The waiting requests of one service and the order in which they are granted: accounts within their share first; then
/// by priority; then by the start tags of the accounts; within an account, requests that can still meet their queue
/// deadline first, the earliest deadline before others. Requests without an account are granted in order of arrival.
class WaitingQueue {
public:
    struct Entry {
        PermitRequest request;
        BootTime enqueuedAt;
        unsigned long number = 0; ///< Rises with each request.
        /// Called with the id of the endpoint when the request is granted.
        std::function<void(const std::string& endpoint)> onGranted;
        /// Called when the entry is granted, before it is removed.
        std::function<void()> onRemoved;
        AccountUsage::Account* account = nullptr;
    };
    using Iterator = std::list<Entry>::iterator;
    using Predicate = std::function<bool(const PermitRequest&)>;

    /// Usage of the accounts that make requests with this eligibility. The two are measured apart, because an account that
    /// fills the primary may have used little of the time of all endpoints.
    AccountUsage& usage(Eligibility eligibility) { return eligibility == Eligibility::PrimaryOnly ? m_primaryUsage : m_readUsage; }
    const AccountUsage& usage(Eligibility eligibility) const { return eligibility == Eligibility::PrimaryOnly ? m_primaryUsage : m_readUsage; }
    void advanceTo(BootTime now);

    Iterator add(PermitRequest request, BootTime now, std::function<void(const std::string&)> onGranted);
    void remove(Iterator it);
    Iterator end() { return m_entries.end(); }
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    const std::list<Entry>& entries() const { return m_entries; }

    /// Returns the request that is granted next among those that satisfy @p isServable; end() if there is none.
    Iterator first(const Predicate& isServable);
    /// Returns the request that has waited longest among those that satisfy @p isServable. Accounts over their share are
    /// considered only if no other has a servable request.
    Iterator oldest(const Predicate& isServable);

    /// Rank that a new request would have when all earlier ones of its account have been granted.
    RequestRank rankOfNew(const PermitRequest& request) const;
    /// Returns the number of waiting requests that satisfy @p competes and are granted before a new one.
    std::size_t countAhead(const PermitRequest& request, const Predicate& competes) const;

private:
    /// Number of waiting requests of the same account that are granted before a new one.
    std::size_t countOwnAhead(const PermitRequest& request, const AccountUsage::Account* account) const;
    /// Returns whether @p entry, of the same account, is granted before a new request.
    bool isOwnAhead(const Entry& entry, const PermitRequest& request) const;
    bool isOverShare(const Entry& entry) const { return usage(entry.request.eligibility).isOverShare(*entry.account); }
    RequestRank rank(const Entry& entry) const { return { isOverShare(entry), entry.request.priority }; }
    /// Order of two requests of the same eligibility.
    bool precedes(const Entry& a, const Entry& b) const;

    AccountUsage m_primaryUsage;
    AccountUsage m_readUsage;
    unsigned long m_number = 0;
    std::list<Entry> m_entries; ///< By priority, then by arrival.
};

} // namespace kumquatbank
