#include "kumquatbank/routing/SessionState.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <xxhash.h>

namespace kumquatbank {

std::string preparedConnectionName(bool writes, std::string_view shape)
{
    // With 128 bits, a hash collision between two shapes is negligible.
    const auto hash = XXH3_128bits(shape.data(), shape.size());
    return fmt::format("{}{:016x}{:016x}", writes ? 'w' : 'r', hash.high64, hash.low64);
}

bool ConnectionState::needsReset(const SessionState& session) const
{
    return std::ranges::any_of(m_values, [&](const auto& item) { return !session.values.contains(item.first); });
}

SessionState::Values ConnectionState::missingValues(const SessionState& session) const
{
    if (needsReset(session))
        return session.values;
    SessionState::Values missing;
    std::ranges::copy_if(session.values, std::inserter(missing, missing.end()), [&](const auto& item) {
        const auto it = m_values.find(item.first);
        return it == m_values.end() || it->second != item.second;
    });
    return missing;
}

void ConnectionState::recordReset()
{
    m_values.clear();
    m_prepared.clear();
}

} // namespace kumquatbank
