#pragma once

namespace kumquatbank {

/// Number of an endpoint's connections that one account may have while other accounts wait for one; otherwise there is
/// no limit. With half of them, rounded up, at most one account can be at its limit while a connection is free, so the
/// request of another account that waits can always be served instead.
constexpr int accountShare(int limit) { return (limit + 1) / 2; }

} // namespace kumquatbank
