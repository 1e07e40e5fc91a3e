#pragma once

#include "kumquatbank/routing/EventRate.h"
#include "kumquatbank/routing/LimitBuckets.h"
#include "kumquatbank/routing/LimitMessages.h"
#include "kumquatbank/routing/RecentMaximum.h"
#include "kumquatbank/routing/TokenStock.h"

#include <optional>
#include <vector>

namespace kumquatbank {

/// The host's side of the limits over all hosts. The host owns 1/N of each account's rate and capacity, N being the number
/// of hosts. It lends this share to the coordinator of its region and gets tokens from there. While its share is not lent,
/// it produces tokens from it.
class LimitShare {
public:
    explicit LimitShare(std::string host, BootTime now)
        : m_host(std::move(host))
        , m_own(now)
    {
    }

    void setTerms(const LimitTermsByAccount& terms, BootTime now);
    /// Records the number of registered hosts that this process knows. Nothing is produced or lent before the first call
    /// and the lease time after it: an earlier run of this process may have lent the share, and the coordinators have to
    /// learn of this host.
    void recordHostCount(int hosts, BootTime now);

    bool isLimited(std::string_view account) const { return m_own.find(account) != nullptr; }
    bool hasLimits() const { return !m_accounts.empty(); }

    /// Records that an operation of a limited account needs a token.
    void recordDemand(std::string_view account, BootTime now);
    /// Operations of an account on this host, per second.
    double demand(std::string_view account, BootTime now) const;
    /// Takes a token for an operation and returns until when the operation may be sent; empty if there is none.
    std::optional<BootTime> take(std::string_view account, BootTime now);
    /// Time until a token may be available, if the coordinator has just said that there is none; empty if it is worth
    /// asking.
    std::optional<std::chrono::milliseconds> knownShortage(std::string_view account, BootTime now) const;
    /// True if the account's demand here is steady and few tokens are left of those requested ahead.
    bool needsTokensAhead(std::string_view account, BootTime now);

    /// The coordinator for the next request; empty if none is usable. @p ranking: candidates, the best first.
    std::string chooseCoordinator(const std::vector<std::string>& ranking, BootTime now);
    /// The next request to @p coordinator. @p waiting: operations that wait for a token, by account.
    LimitRequest makeRequest(const std::string& coordinator, const std::map<std::string, int, std::less<>>& waiting, BootTime now);
    void applyReply(const std::string& coordinator, const LimitReply& reply, BootTime sentAt, BootTime now);
    /// Records that a coordinator did not answer. After the second time in a row, or at the first contact, it is passed
    /// over until it answers a probe.
    void recordFailure(const std::string& coordinator, BootTime now);
    /// A coordinator that is passed over and is to be probed now; empty if there is none.
    std::string coordinatorToProbe(const std::vector<std::string>& ranking, BootTime now);
    /// Request that neither lends the share nor asks for tokens.
    LimitRequest makeProbe(BootTime now);
    /// When to send the next request if nothing waits.
    BootTime nextRequestAt() const { return m_nextRequestAt; }

    /// True if the share of this host produces tokens here.
    bool usesOwnShare(BootTime now);
    /// The coordinator that has the share; empty if the host uses it itself.
    std::string lender(BootTime now) const { return now < m_lentUntil ? m_lentTo : std::string(); }
    /// Time until a share that is lent to a coordinator without answer can be used again; 0 if it is not lent.
    std::chrono::milliseconds untilReturn(BootTime now) const { return std::chrono::ceil<std::chrono::milliseconds>(std::clamp<BootClock::duration>(m_lentUntil - now, BootClock::duration(0), LimitTimes::lease)); }
    std::optional<BootTime> coordinatorAnsweredAt(const std::string& coordinator) const;
    int hostCount(BootTime now) { return std::max(m_listedHosts.at(now), m_toldHosts.at(now)); }

private:
    struct Account {
        void recordShortage(std::chrono::milliseconds retryAfter, BootTime now);

        EventRate demand;
        TokenStock granted;
        BootTime shortUntil {}; ///< No tokens are requested ahead before this.
        BootTime refuseUntil {}; ///< Operations are refused without a request before this.
        BootTime retryAt {}; ///< When a token may be available, if operations are refused.
    };

    /// A stamp, and when it was received. The coordinator counts the share until stamp + lease, which is not after
    /// receivedAt + lease.
    struct Stamp {
        LimitStamp stamp;
        BootTime receivedAt {};
    };

    struct Coordinator {
        std::optional<Stamp> stamp;
        int failures = 0; ///< Consecutive requests without an answer.
        bool hasFailed = false; ///< It is passed over.
        BootTime probeAt {};
    };

    void updateOwnShare(BootTime now);
    /// Tokens to hold for an account whose demand is steady; 0 for others.
    double targetStock(const Account& account, BootTime now) const;

    std::string m_host;
    LimitBuckets m_own;
    std::map<std::string, Account, std::less<>> m_accounts;
    std::map<std::string, Coordinator> m_coordinators;
    std::string m_firstCoordinator; ///< The best usable one at the last choice; the only one that the share is lent to.
    std::string m_lentTo;
    std::string m_firstLender; ///< Coordinator to which the share may be lent before the lease time after the start.
    BootTime m_lentUntil = BootTime::max(); ///< Before this, the share produces nothing here.
    BootTime m_nextRequestAt {};
    RecentMaximum m_listedHosts { LimitTimes::hostCountRetention };
    RecentMaximum m_toldHosts { LimitTimes::hostCountRetention }; ///< By coordinators.
};

} // namespace kumquatbank
