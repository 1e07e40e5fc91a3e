#pragma once

#include "kumquatbank/engine/Async.h"

#include <functional>
#include <string>

namespace kumquatbank {

/// Runs an endless task for the lifetime of the event loop. If it ends by an exception, the exception is logged and the
/// task begins anew after a pause, so that one fault does not end the duty of the task.
void keepRunning(asio::io_context& io, std::string name, std::function<Task<void>()> task);

} // namespace kumquatbank
