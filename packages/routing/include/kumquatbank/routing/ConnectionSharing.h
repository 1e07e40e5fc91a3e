#pragma once

#include <algorithm>
#include <limits>

namespace kumquatbank {

/// How the hosts of a deployment share the connections that one endpoint accepts, without word of each other.
class ConnectionSharing {
public:
    /// Until the hosts are known, each takes the smallest share and keeps it.
    static constexpr int unknownHostCount = std::numeric_limits<int>::max();

    /// @p lenders: hosts that hold scarce connections for all; 0 if each host has its own.
    ConnectionSharing(int limit, int hosts, int lenders = 0)
        : m_limit(std::max(1, limit))
        , m_hosts(hosts == unknownHostCount ? m_limit : hosts)
        , m_lenders(lenders)
    {
    }

    /// True if there are fewer connections than hosts.
    bool isScarce() const { return m_limit < m_hosts; }

    /// True if a few hosts hold the connections and the others borrow them.
    bool isLent() const { return isScarce() && m_lenders > 0; }

    /// Connections that a host may have. Scarce ones that are not lent are not in use by all hosts at once, so each may
    /// have two; the endpoint refuses what is too many.
    int share() const
    {
        if (isLent())
            return std::max(1, static_cast<int>(lenderFraction * m_limit / m_lenders));
        return isScarce() ? scarceHostLimit : m_limit / m_hosts;
    }

    /// Probability with which a host keeps a scarce connection that is not lent after its use. With a fixed time instead, the hosts that
    /// use theirs often would keep them for good, and the others would never find one.
    double keepProbability() const { return idleFraction * m_limit / m_hosts; }

private:
    static constexpr int scarceHostLimit = 2;
    /// Part of the connections that may be idle at the hosts; the rest is for hosts that open one.
    static constexpr double idleFraction = 0.7;
    /// Part of the connections that the lenders hold; the rest is for hosts that reach no lender.
    static constexpr double lenderFraction = 0.75;

    int m_limit;
    int m_hosts;
    int m_lenders;
};

} // namespace kumquatbank
