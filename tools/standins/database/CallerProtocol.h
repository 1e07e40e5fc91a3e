#pragma once

#include "RequestDispatcher.h"

namespace kumquatbank::standin {

/// Serves one connection to the endpoint's port until its end: reads JSON-RPC requests, applies the injected
/// faults, dispatches and answers.
void serveConnection(DatabaseNode& node, ConnectionRegistry& registry, FaultInjector& faults, ServiceTimes times,
    const std::shared_ptr<LineSocket>& socket);

} // namespace kumquatbank::standin
