#pragma once

#include "kumquatbank/core/BootClock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace kumquatbank {

/// Counts refused and closed clients by reason, for at most one log line a reason and second.
class RefusalLog {
public:
    void record(std::string_view reason);
    /// Writes the lines that are due. Called periodically.
    void writeDue(BootTime now);

private:
    struct Entry {
        std::int64_t count = 0; ///< Since the last line.
        BootTime loggedAt {};
    };

    std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace kumquatbank
