#include "kumquatbank/transport/PeerMessage.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace kumquatbank {

namespace {

    using TypeName = std::pair<PeerMessageType, std::string_view>;

    constexpr std::array<TypeName, 7> typeNames { {
        { PeerMessageType::Forward, "forward" },
        { PeerMessageType::Exchange, "exchange" },
        { PeerMessageType::CataloguePush, "catalogue_push" },
        { PeerMessageType::IndirectProbe, "indirect_probe" },
        { PeerMessageType::Snapshot, "snapshot" },
        { PeerMessageType::Ping, "ping" },
        { PeerMessageType::Inspect, "inspect" },
    } };

} // namespace

void to_json(nlohmann::json& json, const PeerMessage& message)
{
    const auto it = std::ranges::find(typeNames, message.type, &TypeName::first);
    json = { { "type", it->second }, { "from", message.from }, { "body", message.body } };
}

void from_json(const nlohmann::json& json, PeerMessage& message)
{
    const auto name = json.at("type").get<std::string>();
    const auto it = std::ranges::find(typeNames, name, &TypeName::second);
    if (it == typeNames.end())
        throw std::invalid_argument("unknown peer message type '" + name + "'");
    message.type = it->first;
    message.from = json.at("from").get<HostIdentity>();
    message.body = json.at("body");
}

} // namespace kumquatbank
