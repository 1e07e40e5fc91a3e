#include "SocketTable.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fstream>
#include <optional>
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

    /// The state in which a socket has received the end of the connection and has not sent its own.
    constexpr std::string_view closeWait = "08";

    struct Entry {
        std::string state;
        std::string unread; ///< Bytes, in hexadecimal.
        std::string inode;
    };

    std::optional<Entry> findEntry(const HostAddress& own, const HostAddress& peer)
    {
        std::ifstream table("/proc/net/tcp");
        const auto ownText = formatAddress(own);
        const auto peerText = formatAddress(peer);
        std::string line;
        while (std::getline(table, line)) {
            std::istringstream fields(line);
            std::string slot, local, remote, queues, timer, retransmits, user, timeout;
            Entry entry;
            fields >> slot >> local >> remote >> entry.state >> queues >> timer >> retransmits >> user >> timeout >> entry.inode;
            if (local != ownText || remote != peerText)
                continue;
            entry.unread = queues.substr(queues.find(':') + 1);
            return entry;
        }
        return std::nullopt;
    }

} // namespace

bool SocketTable::hasReadEverything(const HostAddress& own, const HostAddress& peer)
{
    const auto entry = findEntry(own, peer);
    // A socket without a process has no inode.
    return entry && entry->inode != "0" && entry->unread == "00000000";
}

bool SocketTable::hasReceivedEnd(const HostAddress& own, const HostAddress& peer)
{
    const auto entry = findEntry(own, peer);
    return entry && entry->state == closeWait;
}

} // namespace kumquatbank
