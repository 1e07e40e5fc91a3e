#pragma once

#include "kumquatbank/pooler/PoolerSettings.h"

#include <optional>
#include <string>

namespace kumquatbank {

/// A settings file that is read again while the process runs. Compares what was read: neither the modification time, which
/// advances in ticks of several milliseconds, nor size and inode tell every version apart, least of all a half-written one.
class SettingsFile {
public:
    /// @p file: may be empty; then there are no changes.
    explicit SettingsFile(std::string file)
        : m_file(std::move(file))
    {
    }

    /// Reads and validates the file.
    Result<PoolerSettings> load();

    /// As load(), but nothing if the result is the same as the last time, valid or not. Skips pipes and devices, which
    /// could block the caller.
    std::optional<Result<PoolerSettings>> loadIfChanged();

private:
    Result<PoolerSettings> parse(const Result<std::string>& text);

    std::string m_file;
    std::optional<std::string> m_lastRead; ///< The text, or the message if the file could not be read.
};

} // namespace kumquatbank
