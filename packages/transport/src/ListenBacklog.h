#pragma once

#include "kumquatbank/core/core.h"

namespace kumquatbank {

/// Lets up to 4096 connections wait to be accepted on this process's listening socket at @p address.
/// cxxtools fixes the number at 64 and does not expose the socket: of 250 simultaneous connections about 50
/// were dropped by the kernel and made again by the client's TCP only 1 s later.
void raiseListenBacklog(const HostAddress& address);

} // namespace kumquatbank
