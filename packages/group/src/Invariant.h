#pragma once

#include <string_view>

namespace kumquatbank {

/// Logs @p rule and aborts the process when @p holds is false, because continuing could acknowledge a change that is
/// lost or run a change twice. @param rule the condition that must hold.
void invariant(bool holds, std::string_view rule);

} // namespace kumquatbank
