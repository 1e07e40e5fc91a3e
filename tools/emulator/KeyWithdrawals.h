#pragma once

#include "EmulatedPlatform.h"

#include <random>

namespace kumquatbank {

/// Keys of accounts that the operator takes away and gives back, drawn from a seed. Account n has the key `key-n`.
class KeyWithdrawals {
public:
    /// Writes a configuration with @p accounts accounts for withdrawals, and one for each other kind of client of the load.
    KeyWithdrawals(asio::io_context& io, EmulatedPlatform& platform, int accounts, unsigned seed);

    /// Key of two accounts, which therefore belongs to neither.
    static constexpr const char* sharedKey = "shared-key";

    /// Name of account @p n, and its key.
    static std::string accountName(int n);
    static std::string keyName(int n);

    /// Takes the key of an account away, or the whole account, and gives it back after several seconds.
    Task<void> withdrawOne();

    /// Times in which a key belonged to no account, one a line: the key, the beginning and the end in ms since the machine
    /// started. The end is -1 if it belongs to none now.
    std::vector<std::string> withdrawals() const;

private:
    struct Withdrawal {
        std::string key;
        BootTime from {};
        std::optional<BootTime> to;
    };

    void putConfig(const std::string& what);

    asio::io_context& m_io;
    EmulatedPlatform& m_platform;
    int m_accounts;
    std::mt19937 m_random;
    std::vector<Withdrawal> m_withdrawals;
};

} // namespace kumquatbank
