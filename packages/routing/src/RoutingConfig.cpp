#include "kumquatbank/routing/RoutingConfig.h"

#include <array>

namespace kumquatbank {

std::string_view readPolicyName(ReadPolicy policy)
{
    constexpr std::array<std::string_view, 3> names { "primary", "bounded", "read_your_writes" };
    return names.at(static_cast<std::size_t>(policy));
}

void RoutingConfig::addAccount(ClientAccount account)
{
    if (accounts.contains(account.name)) {
        rejectedAccounts.push_back("account '" + account.name + "' is listed more than once");
        return;
    }
    for (const auto& key : account.keys) {
        const auto [it, isNew] = m_accountByKey.try_emplace(key, account.name);
        if (isNew || it->second == account.name)
            continue;
        rejectedAccounts.push_back("a key of account '" + account.name + "' also belongs to another account");
        it->second.clear();
    }
    auto name = account.name;
    accounts.emplace(std::move(name), std::move(account));
}

ClientIdentity RoutingConfig::identify(const Route& route, const std::optional<KeyDigest>& key) const
{
    if (!hasAccounts)
        return { true, nullptr };
    const auto it = key ? m_accountByKey.find(*key) : m_accountByKey.end();
    if (it == m_accountByKey.end() || it->second.empty())
        return { route.isPublic, nullptr };
    return { true, &accounts.find(it->second)->second };
}

double RoutingConfig::accountWeight(std::string_view account) const
{
    const auto it = accounts.find(account);
    return it == accounts.end() || !it->second.limit ? 0.0 : it->second.limit->perSecond;
}

const Route* RoutingConfig::findRoute(std::string_view database) const
{
    const auto it = routes.find(database);
    return it == routes.end() ? nullptr : &it->second;
}

} // namespace kumquatbank
