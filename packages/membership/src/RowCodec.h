#pragma once

#include "kumquatbank/membership/Member.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <vector>

namespace kumquatbank {

/// Summary of one place's rows, as compared between two processes.
struct PlaceDigest {
    std::uint64_t placeHash = 0; ///< hashOfPlace() of the place's name.
    std::uint16_t rowCount = 0; ///< Rows that are not Dead.
    std::uint64_t digest = 0; ///< XOR of the hashes of these rows.

    bool operator==(const PlaceDigest&) const = default;
};

std::uint64_t hashOfPlace(const std::string& place);

/// Packs rows into 17 bytes each (IPv4) plus each place's name once; the JSON form takes about 80 bytes.
/// Throws std::invalid_argument for an address that is not numeric or a place longer than 255 bytes.
nlohmann::json packRows(std::span<const Member> rows);

/// Reads what packRows() made; throws std::invalid_argument on bad input.
std::vector<Member> unpackRows(const nlohmann::json& packed);

nlohmann::json packDigests(std::span<const PlaceDigest> digests);
std::vector<PlaceDigest> unpackDigests(const nlohmann::json& packed); ///< Throws std::invalid_argument.

/// Packs addresses like packRows(), 7 bytes each (IPv4).
nlohmann::json packAddresses(std::span<const HostAddress> addresses);
std::vector<HostAddress> unpackAddresses(const nlohmann::json& packed); ///< Throws std::invalid_argument.

} // namespace kumquatbank
