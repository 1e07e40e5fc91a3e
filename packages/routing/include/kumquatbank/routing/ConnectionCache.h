#pragma once

#include "kumquatbank/routing/AccountDemand.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Decides about the connections of one host to one endpoint, each of which belongs to one account: which idle
/// connection is closed to make room for another account, and how long idle ones are kept. Records the use of the
/// endpoint by each account. Without accounts, all connections belong to the empty name.
class ConnectionCache {
public:
    /// An idle connection.
    struct Idle {
        std::string_view account;
        BootTime since {};
    };

    /// Why an idle connection was chosen to be closed.
    struct Choice {
        std::size_t index = 0; ///< Of the idle connection.
        bool isAboveShare = false; ///< Its account holds more than its share.
        double ratePerSecond = 0; ///< At which it would be used again.
    };

    /// Where accounts are used, a lender closes an idle connection after this time: its account may have been removed,
    /// and reopening a connection once a minute costs less than a thousandth of a slot.
    static constexpr std::chrono::seconds idleRetention { 60 };

    /// Records that a request of the account runs on this endpoint.
    void recordUse(std::string_view account, BootTime now);
    /// Records that the account used a connection for @p held.
    void recordHold(std::string_view account, std::chrono::nanoseconds held, BootTime now);

    /// Records a connection that is being opened.
    void addInUse(std::string_view account);
    /// Records that a connection in use, or one that was being opened, no longer exists. Ignored for a connection that was
    /// not recorded, as after the endpoint's entry was removed and came back.
    void removeInUse(std::string_view account);
    void addIdle(std::string_view account);
    void removeIdle(std::string_view account);

    /// Returns true if connections of accounts were used recently.
    bool hasAccounts() const { return !m_accounts.empty() && !m_accounts.rbegin()->first.empty(); }
    /// Connections of the account, idle, in use, or being opened.
    int held(std::string_view account) const;
    /// Connections of all accounts, idle, in use, or being opened.
    int held() const { return m_held; }
    double ratePerSecond(std::string_view account, BootTime now) const;

    /// Returns the time that opening a connection costs a request of the account: 0 if one is idle, otherwise
    /// @p connectTime, and twice that if @p limit is reached, because the connection that is closed for it has to be
    /// opened again.
    std::chrono::microseconds openingCost(std::string_view account, int limit, std::chrono::microseconds connectTime) const;

    /// Chooses the idle connection to close for a request of @p account, of @p idle with the longest idle first; empty
    /// if there is none. First come accounts that hold more than their share of @p limit. Among them, or among all
    /// accounts, the connection with the lowest rate of use is chosen, so that one which is probably needed before the
    /// new one is closed only if all are. Connections of @p account itself are not considered.
    std::optional<Choice> chooseReplaced(std::string_view account, std::span<const Idle> idle, int limit, BootTime now) const;

    /// Drops the records of accounts that have no connections and rarely use the endpoint.
    void forgetUnused(BootTime now);
    std::size_t recordedAccounts() const { return m_accounts.size(); }

private:
    struct Account {
        AccountDemand use;
        int idle = 0;
        int inUse = 0; ///< Includes connections that are being opened.
    };

    Account& find(std::string_view account);
    const Account* findRecorded(std::string_view account) const;

    std::map<std::string, Account, std::less<>> m_accounts;
    int m_held = 0;
};

} // namespace kumquatbank
