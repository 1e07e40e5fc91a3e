#include "kumquatbank/routing/ConnectionCommand.h"

#include <array>

namespace kumquatbank {

std::string_view connectionCommandName(ConnectionCommand::Kind kind)
{
    constexpr std::array<std::string_view, 11> names { "start", "statement", "execute", "begin", "commit", "rollback", "set", "prepare", "reset", "control", "unknown" };
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace kumquatbank
