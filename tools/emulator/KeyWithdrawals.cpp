#include "KeyWithdrawals.h"

#include <fmt/format.h>
#include <iostream>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    /// Longer than proxies may take to apply a configuration, so that the refusal of the key can be seen.
    constexpr milliseconds minWithdrawal { 6000 };
    constexpr unsigned withdrawalSpreadMs = 3000;

} // namespace

KeyWithdrawals::KeyWithdrawals(asio::io_context& io, EmulatedPlatform& platform, int accounts, unsigned seed)
    : m_io(io)
    , m_platform(platform)
    , m_accounts(accounts)
    , m_random(seed)
{
    // The key that clients without an account of their own send is the name of their kind.
    for (const auto* kind : { "load", "planned" })
        platform.accountKeys()[kind] = { kind, sharedKey };
    for (int n = 0; n < accounts; ++n)
        platform.accountKeys()[accountName(n)] = { keyName(n) };
    platform.putConfig();
}

std::string KeyWithdrawals::accountName(int n) { return fmt::format("account-{}", n); }

std::string KeyWithdrawals::keyName(int n) { return fmt::format("key-{}", n); }

Task<void> KeyWithdrawals::withdrawOne()
{
    const auto n = static_cast<int>(m_random() % static_cast<unsigned>(m_accounts));
    const bool removesAccount = m_random() % 2 == 0;
    const auto duration = minWithdrawal + milliseconds(m_random() % withdrawalSpreadMs);
    auto& keys = m_platform.accountKeys();
    const auto name = accountName(n);
    const auto key = keyName(n);
    const auto known = keys.find(name);
    if (known == keys.end() || !known->second.contains(key))
        co_return;
    if (removesAccount)
        keys.erase(known);
    else
        known->second = { "other-" + key };
    putConfig("without the key of " + name);
    const auto index = m_withdrawals.size();
    m_withdrawals.push_back({ key, BootClock::now(), std::nullopt });
    co_await sleepFor(m_io, duration);
    m_platform.accountKeys()[name] = { key };
    m_withdrawals[index].to = BootClock::now();
    putConfig("with the key of " + name);
}

void KeyWithdrawals::putConfig(const std::string& what)
{
    m_platform.putConfig();
    std::cout << "trouble: a new configuration, version " << m_platform.config().version << ", " << what << std::endl;
}

std::vector<std::string> KeyWithdrawals::withdrawals() const
{
    std::vector<std::string> lines;
    for (const auto& withdrawal : m_withdrawals)
        lines.push_back(fmt::format("{} {} {}", withdrawal.key, toMs(withdrawal.from.time_since_epoch()), withdrawal.to ? toMs(withdrawal.to->time_since_epoch()) : -1));
    return lines;
}

} // namespace kumquatbank
