#pragma once

namespace kumquatbank {

/// Exit codes of kumquatctl.
enum class ExitCode {
    Ok = 0,
    Refused = 1, ///< Not found, or refused by the platform or a proxy.
    Usage = 2, ///< Wrong arguments or invalid input; nothing was sent.
    Conflict = 3, ///< The object changed since it was read; nothing was written.
    Unreachable = 4, ///< No answer; the message says whether a change may have taken effect.
};

} // namespace kumquatbank
