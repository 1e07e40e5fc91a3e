#include "kumquatbank/routing/SessionState.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace kumquatbank {

std::string preparedConnectionName(bool writes, std::string_view shape)
{
    // With 128 bits, a hash collision between two shapes is negligible.
    const auto hash = XXH3_128bits(shape.data(), shape.size());
    return fmt::format("{}{:016x}{:016x}", writes ? 'w' : 'r', hash.high64, hash.low64);
}

namespace {

    std::size_t entryBytes(const std::string& name, std::size_t value) { return name.size() + value + SessionState::bytesPerName; }

    std::size_t valueBytes(const SessionState::Values& values, const std::string& name)
    {
        const auto it = values.find(name);
        return it == values.end() ? 0 : entryBytes(name, it->second.size());
    }

    std::size_t preparedBytes(const SessionState& state, const std::string& name)
    {
        const auto it = state.prepared.find(name);
        return it == state.prepared.end() ? 0 : entryBytes(name, it->second.shape.size());
    }

} // namespace

std::size_t SessionState::bytesAfter(const Statement& statement) const
{
    const auto replaced = statement.kind == StatementKind::SetValue ? valueBytes(values, statement.name) : preparedBytes(*this, statement.name);
    return bytes - replaced + entryBytes(statement.name, statement.argument.size());
}

bool SessionState::admits(const Statement& statement) const
{
    const bool isKnown = statement.kind == StatementKind::SetValue ? values.contains(statement.name) : prepared.contains(statement.name);
    return values.size() + prepared.size() + (isKnown ? 0 : 1) <= maxNames && bytesAfter(statement) <= maxBytes;
}

void SessionState::apply(const Statement& statement)
{
    if (statement.kind == StatementKind::Deallocate) {
        bytes -= preparedBytes(*this, statement.name);
        prepared.erase(statement.name);
        return;
    }
    bytes = bytesAfter(statement);
    if (statement.kind == StatementKind::SetValue)
        values[statement.name] = statement.argument;
    else
        prepared[statement.name] = { preparedConnectionName(statement.preparesWrite, statement.argument), statement.argument, statement.preparesWrite };
}

} // namespace kumquatbank
