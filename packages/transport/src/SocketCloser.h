#pragma once

#include <nng/nng.h>

namespace kumquatbank {

/// Closes a socket and waits at most a second for it. nng_close() of nng 1.5.2 can wait forever when many
/// connections close at once; it is left behind on its own thread then, and a warning is logged.
void closeSocket(nng_socket socket);

} // namespace kumquatbank
