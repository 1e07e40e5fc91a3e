#include "kumquatbank/routing/RoutingConfig.h"

#include <array>

namespace kumquatbank {

std::string_view readPolicyName(ReadPolicy policy)
{
    constexpr std::array<std::string_view, 3> names { "primary", "bounded", "read_your_writes" };
    return names.at(static_cast<std::size_t>(policy));
}

const Route* RoutingConfig::findRoute(std::string_view database) const
{
    const auto it = routes.find(database);
    return it == routes.end() ? nullptr : &it->second;
}

} // namespace kumquatbank
