#pragma once

#include "kumquatbank/core/core.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <nng/nng.h>

namespace kumquatbank {

/// Closes a socket and waits at most a second for it. nng_close() of nng 1.5.2 can wait forever when many
/// connections close at once; it is left behind on its own thread then, and a warning is logged.
void closeSocket(nng_socket socket);

/// Waits at most a second for a close, told by @p isClosed under @p lock. nng frees connections on one thread, so
/// after one close has hung every later one hangs as well: this function waits no more then, and has logged that the
/// process needs a restart.
void awaitClose(
    std::unique_lock<std::mutex>& lock, std::condition_variable& changed, const std::function<bool()>& isClosed);

} // namespace kumquatbank
