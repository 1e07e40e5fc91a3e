#pragma once

#include "kumquatbank/routing/EventRate.h"
#include "kumquatbank/routing/LimitBuckets.h"
#include "kumquatbank/routing/LimitMessages.h"
#include "kumquatbank/routing/RecentMaximum.h"
#include "kumquatbank/routing/TokenStock.h"

#include <vector>

namespace kumquatbank {

/// What a coordinator knows about one account, for operators.
struct LimitUse {
    std::string account;
    LimitTerms terms;
    double level = 0; ///< Tokens in the pool.
    double requestedPerSecond = 0;
    double grantedPerSecond = 0;
};

/// The coordinator's side of the limits over all hosts: pools the shares that hosts have lent and grants tokens from
/// them. A share is counted until the stamp that the host returned + lease, on the coordinator's own clock, so that a late
/// request, a frozen process or a second coordinator never produces a token twice.
class LimitPool {
public:
    /// @p run: differs between processes and between runs of a process.
    LimitPool(std::uint64_t run, BootTime now);

    void setTerms(const LimitTermsByAccount& terms, BootTime now);
    /// Records the number of registered hosts that this process knows.
    void recordHostCount(int hosts, BootTime now);

    LimitReply handle(const LimitRequest& request, BootTime now);

    /// Tokens to request from the other @p others coordinators, of each of them; empty if no account is short.
    std::map<std::string, double, std::less<>> wantedFromOthers(std::size_t others, BootTime now);
    /// Applies the reply of another coordinator. Tokens of a late reply are lost.
    void applyExchange(const LimitRequest& request, const LimitReply& reply, BootTime sentAt, BootTime now);

    /// True if any host has lent its share.
    bool isInUse(BootTime now);
    std::size_t lenders(BootTime now);
    int hostCount(BootTime now) { return std::max(m_hostCounts.at(now), m_otherHostCounts.at(now)); }
    /// The greatest number of hosts that this process and its lenders know from the store.
    int ownHostCount(BootTime now) { return m_hostCounts.at(now); }
    std::vector<LimitUse> describe(BootTime now);

private:
    struct Account {
        EventRate requested;
        EventRate granted;
        TokenStock received; ///< Tokens of other coordinators, beyond the capacity of the own bucket.
        BootTime othersGaveAt {}; ///< When another coordinator last gave at least half of what was requested.
        BootTime othersLackedAt {}; ///< When another coordinator last gave less.
    };

    /// Ends leases that are over, at the times at which they ended.
    void advance(BootTime now);
    void updateFraction(BootTime now);
    double takeForHost(const std::string& name, Account& account, double wanted, BootTime now);
    double takeForOthers(const std::string& name, Account& account, double wanted, BootTime now);
    std::chrono::milliseconds retryAfter(const std::string& name, const Account& account, double missing, BootTime now);
    /// True if tokens of other coordinators may arrive within the time for which an operation waits.
    bool mayOthersGive(const Account& account, BootTime now) const;

    std::uint64_t m_run;
    BootTime m_startedAt;
    LimitBuckets m_buckets;
    std::map<std::string, Account, std::less<>> m_accounts;
    std::map<std::string, BootTime> m_leases; ///< End of the lease, by host.
    bool m_hasOthers = false; ///< There are other coordinators.
    RecentMaximum m_hostCounts { LimitTimes::hostCountRetention };
    RecentMaximum m_otherHostCounts { LimitTimes::hostCountRetention }; ///< Told by other coordinators.
};

} // namespace kumquatbank
