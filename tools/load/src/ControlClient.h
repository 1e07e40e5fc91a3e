#pragma once

#include "LoadOptions.h"

namespace kumquatbank::load {

/// Sends one command to a stand-in's control port; null when there is no answer within @p timeout.
nlohmann::json callControl(const HostAddress& control, const nlohmann::json& command, Milliseconds timeout);

/// Dump of the slot that is primary in the greatest term any reachable slot has promised; null when none is
/// within @p timeout.
nlohmann::json dumpPrimary(const DatabaseTarget& database, Milliseconds timeout);

} // namespace kumquatbank::load
