#include "kumquatbank/routing/TransactionState.h"

#include <array>

namespace kumquatbank {

std::string_view transactionStateName(TransactionState state)
{
    constexpr std::array<std::string_view, 3> names { "none", "open", "failed" };
    return names.at(static_cast<std::size_t>(state));
}

} // namespace kumquatbank
