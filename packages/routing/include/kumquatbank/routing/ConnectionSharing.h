#pragma once

#include <algorithm>
#include <limits>

namespace kumquatbank {

/// Divides the connections that one endpoint accepts among the hosts of a deployment, without messages between hosts.
class ConnectionSharing {
public:
    /// Host count before the hosts are known: each host then uses the smallest share and keeps it.
    static constexpr int unknownHostCount = std::numeric_limits<int>::max();

    /// @p lenders: number of hosts that hold scarce connections for all hosts; 0 if each host opens its own.
    ConnectionSharing(int limit, int hosts, int lenders = 0)
        : m_limit(std::max(1, limit))
        , m_hosts(hosts == unknownHostCount ? m_limit : hosts)
        , m_lenders(lenders)
    {
    }

    /// True if there are fewer connections than hosts.
    bool isScarce() const { return m_limit < m_hosts; }

    /// True if a few hosts hold the connections and all others borrow them.
    bool isLent() const { return isScarce() && m_lenders > 0; }

    /// Number of connections that a host may open. Scarce connections that are not lent are not in use by all hosts at
    /// the same time, so each host may open two; the endpoint refuses connections above its limit.
    int share() const
    {
        if (isLent())
            return std::max(1, static_cast<int>(lenderFraction * m_limit / m_lenders));
        return isScarce() ? scarceHostLimit : m_limit / m_hosts;
    }

    /// Probability with which a host keeps a scarce connection that is not lent after using it. If connections were
    /// kept for a fixed time instead, hosts that use theirs often would keep them permanently, and the others would
    /// never obtain one.
    double keepProbability() const { return idleFraction * m_limit / m_hosts; }

private:
    static constexpr int scarceHostLimit = 2;
    /// Fraction of the connections that may be idle on the hosts; the rest is reserved for hosts that open one.
    static constexpr double idleFraction = 0.7;
    /// Fraction of the connections that the lenders hold; the rest is reserved for hosts that reach no lender.
    static constexpr double lenderFraction = 0.75;

    int m_limit;
    int m_hosts;
    int m_lenders;
};

} // namespace kumquatbank
