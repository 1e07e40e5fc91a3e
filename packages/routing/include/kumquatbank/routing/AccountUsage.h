#pragma once

#include "kumquatbank/core/BootClock.h"

#include <map>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Measures how much of the granted time of one service each account has recently used while requests of other accounts
/// were waiting, and keeps the start tags of the accounts for start-time fair queueing. Time that nobody else wanted is not
/// counted: an account that was alone would otherwise be behind every newcomer for a second. Requests without an account count as those of one further account, whose name
/// is empty. An account that is idle is forgotten, so the memory is bounded by the accounts that are in use.
class AccountUsage {
public:
    struct Account {
        double weight = 0; ///< 0: the mean weight of the accounts in use.
        double used = 0; ///< Seconds of granted time, each scaled up by the decay since the last rescaling.
        int inUse = 0; ///< Permits that have not been returned.
        int waiting = 0; ///< Requests in the queue.
        double startTag = 0; ///< Virtual time, in seconds of granted time for each unit of weight.
        unsigned long waitingOrder = 0; ///< Rises with each account that begins to wait; breaks ties.
    };

    /// Sets the time of the calls that follow. Earlier times than the last one are ignored.
    void advanceTo(BootTime now);
    BootTime now() const { return m_now; }
    /// Sets the time for which a permit is expected to be held.
    void setExpectedHold(std::chrono::microseconds hold) { m_expectedHold = std::chrono::duration<double>(hold).count(); }

    /// Returns the account, which is created if it is not in use. The reference is valid while the account has permits or
    /// waiting requests, and otherwise until the next call of advanceTo().
    Account& enter(std::string_view name, double weight);
    /// Returns null if the account is not in use.
    const Account* find(std::string_view name) const;

    void startWaiting(Account& account);
    void stopWaiting(Account& account);
    void recordGrant(Account& account);
    /// Records that a permit was returned after @p hold.
    void recordRelease(std::string_view name, std::chrono::microseconds hold);
    /// Withdraws a grant that was not used.
    void cancelGrant(std::string_view name);

    /// Returns whether the account has recently used more than its share of the granted time, or will have once
    /// @p ahead further requests of it have been granted. The share is proportional to the weight, among the accounts in
    /// use.
    bool isOverShare(const Account& account, std::size_t ahead = 0) const;
    /// Returns the start tag of a request of the account (null: one that is not in use) after @p ahead others of it.
    double startTag(const Account* account, std::size_t ahead) const;
    std::size_t accountsOverShare() const;
    std::size_t size() const { return m_accounts.size(); }

private:
    /// Applies the decay to all accounts and removes the idle ones.
    void rescale();
    double effectiveWeight(const Account& account) const { return account.weight > 0 ? account.weight : meanWeight(); }
    double meanWeight() const { return m_weighted == 0 ? 1.0 : m_weightSum / static_cast<double>(m_weighted); }
    double totalWeight() const { return m_weightSum + meanWeight() * static_cast<double>(m_accounts.size() - m_weighted); }
    void setWeight(Account& account, double weight);

    std::map<std::string, Account, std::less<>> m_accounts;
    double m_weightSum = 0; ///< Of the accounts in use that have a weight.
    std::size_t m_weighted = 0; ///< Number of those.
    double m_used = 0; ///< Sum over all accounts.
    int m_inUse = 0; ///< Sum over all accounts.
    int m_waitingAccounts = 0; ///< Accounts with waiting requests.
    double m_expectedHold = 0.02; ///< Seconds.
    double m_virtualTime = 0; ///< Start tag of the newest grant.
    double m_scale = 1; ///< Decay between the last rescaling and now, inverted.
    BootTime m_now {};
    BootTime m_scaledAt {};
    unsigned long m_waitingOrder = 0;
};

} // namespace kumquatbank
