#pragma once

#include <string_view>

namespace kumquatbank {

/// Ends the process with a log line when @p holds is false: continuing could acknowledge a change that is lost
/// or run one twice. @param rule what has to hold.
void invariant(bool holds, std::string_view rule);

} // namespace kumquatbank
