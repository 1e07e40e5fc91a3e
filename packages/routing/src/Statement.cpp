#include "kumquatbank/routing/Statement.h"

#include <array>

namespace kumquatbank {

std::string_view statementKindName(StatementKind kind)
{
    constexpr std::array<std::string_view, 10> names { "begin", "begin_read_only", "commit", "rollback", "read", "write",
        "set", "prepare", "execute", "deallocate" };
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace kumquatbank
