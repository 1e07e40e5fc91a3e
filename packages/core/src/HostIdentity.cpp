#include "kumquatbank/core/HostIdentity.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace kumquatbank {

void to_json(nlohmann::json& json, const HostIdentity& identity)
{
    json = { { "host", identity.address.toString() }, { "incarnation", identity.incarnation },
        { "place", identity.place } };
}

void from_json(const nlohmann::json& json, HostIdentity& identity)
{
    const auto address = HostAddress::parse(json.at("host").get<std::string>());
    if (!address)
        throw std::invalid_argument(address.error().message);
    identity.address = *address;
    identity.incarnation = json.at("incarnation").get<std::uint64_t>();
    identity.place = json.at("place").get<std::string>();
}

} // namespace kumquatbank
