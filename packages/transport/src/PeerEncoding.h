#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace kumquatbank {

/// Largest peer message in bytes, far above a snapshot of 18,000 databases (about 10 MB).
constexpr std::size_t maxPeerMessageBytes = 64 * 1024 * 1024;

using PeerBytes = std::vector<std::uint8_t>;

/// Encodes @p json as msgpack. Throws nlohmann::json::exception when it holds invalid UTF-8.
inline PeerBytes encodePeerMessage(const nlohmann::json& json) { return nlohmann::json::to_msgpack(json); }

/// Decodes a msgpack message; a discarded value when it is malformed.
inline nlohmann::json decodePeerMessage(const PeerBytes& bytes) { return nlohmann::json::from_msgpack(bytes, true, false); }

} // namespace kumquatbank
