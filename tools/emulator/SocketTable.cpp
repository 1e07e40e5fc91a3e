#include "SocketTable.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace kumquatbank {

namespace {

    /// Formats an address as the table does: the bytes in host order, then the port, both in hexadecimal.
    std::string formatAddress(const HostAddress& address)
    {
        in_addr ip {};
        inet_pton(AF_INET, address.ip.c_str(), &ip);
        return fmt::format("{:08X}:{:04X}", ip.s_addr, address.port);
    }

} // namespace

bool SocketTable::hasReadEverything(const HostAddress& own, const HostAddress& peer)
{
    std::ifstream table("/proc/net/tcp");
    const auto ownText = formatAddress(own);
    const auto peerText = formatAddress(peer);
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
        if (local != ownText || remote != peerText)
            continue;
        const auto received = queues.substr(queues.find(':') + 1);
        // A socket without a process has no inode.
        return inode != "0" && received == "00000000";
    }
    return false;
}

} // namespace kumquatbank
