#pragma once

#include "kumquatbank/core/HostAddress.h"

namespace kumquatbank {

/// The kernel's table of IPv4 TCP sockets, for checks from outside of a process. Asks for single sockets, because reading
/// the whole table takes 75 ms and more on a busy machine, during which the caller's event loop would stand still.
class SocketTable {
public:
    /// Returns whether a process still holds its end @p own of the connection from @p peer and has read all that has
    /// arrived there. False if there is no such connection, or if the process has closed it.
    static bool hasReadEverything(const HostAddress& own, const HostAddress& peer);
    /// Returns whether the end of the connection from @p peer has arrived at its end @p own, also behind unread data.
    static bool hasReceivedEnd(const HostAddress& own, const HostAddress& peer);
};

} // namespace kumquatbank
