#pragma once

#include "NngHandles.h"

#include <nlohmann/json.hpp>

namespace kumquatbank {

/// Largest peer message in bytes, far above a snapshot of 18,000 databases (about 10 MB).
constexpr std::size_t maxPeerMessageBytes = 64 * 1024 * 1024;

/// Encodes @p json as a msgpack message. Throws nlohmann::json::exception when it holds invalid UTF-8.
inline NngMessage encodePeerMessage(const nlohmann::json& json)
{
    return makeNngMessage(nlohmann::json::to_msgpack(json));
}

/// Decodes a msgpack message; a discarded value when it is malformed.
inline nlohmann::json decodePeerMessage(nng_msg* message)
{
    const auto* begin = static_cast<const std::uint8_t*>(nng_msg_body(message));
    return nlohmann::json::from_msgpack(begin, begin + nng_msg_len(message), true, false);
}

} // namespace kumquatbank
