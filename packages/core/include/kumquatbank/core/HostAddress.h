#pragma once

#include "kumquatbank/core/Failure.h"

#include <compare>
#include <cstdint>
#include <string>

namespace kumquatbank {

/// IP address and TCP port, written "ip:port". Names are not resolved.
struct HostAddress {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const HostAddress&) const = default;

    /// Reads "ip:port" with an IPv4 or bracketed IPv6 address; NotRun/BadRequest otherwise.
    static Result<HostAddress> parse(const std::string& text);
    std::string toString() const;
};

} // namespace kumquatbank
