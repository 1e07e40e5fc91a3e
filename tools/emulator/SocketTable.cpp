#include "SocketTable.h"

#include <arpa/inet.h>
#include <cstring>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace kumquatbank {

namespace {

    struct Query {
        nlmsghdr header {};
        inet_diag_req_v2 request {};
    };

    struct Answer {
        nlmsghdr header {};
        inet_diag_msg socket {};
    };

    /// A netlink socket to the kernel's socket diagnostics.
    class DiagnosticSocket {
    public:
        DiagnosticSocket()
            : m_fd(::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
        {
        }
        ~DiagnosticSocket() { ::close(m_fd); }
        DiagnosticSocket(const DiagnosticSocket&) = delete;
        DiagnosticSocket& operator=(const DiagnosticSocket&) = delete;

        /// Asks for one socket by its addresses. Throws std::runtime_error if the kernel does not answer.
        Answer ask(const Query& query) const
        {
            Answer answer;
            if (::send(m_fd, &query, sizeof query, 0) != static_cast<ssize_t>(sizeof query) || ::recv(m_fd, &answer, sizeof answer, 0) < static_cast<ssize_t>(sizeof answer.header))
                throw std::runtime_error("the kernel's socket diagnostics do not answer");
            return answer;
        }

    private:
        int m_fd;
    };

} // namespace

bool SocketTable::hasReadEverything(const HostAddress& own, const HostAddress& peer)
{
    Query query;
    query.header.nlmsg_len = sizeof query;
    query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    query.header.nlmsg_flags = NLM_F_REQUEST;
    query.request.sdiag_family = AF_INET;
    query.request.sdiag_protocol = IPPROTO_TCP;
    query.request.idiag_states = ~0U;
    query.request.id.idiag_sport = htons(own.port);
    query.request.id.idiag_dport = htons(peer.port);
    inet_pton(AF_INET, own.ip.c_str(), query.request.id.idiag_src);
    inet_pton(AF_INET, peer.ip.c_str(), query.request.id.idiag_dst);
    query.request.id.idiag_cookie[0] = query.request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    const auto answer = DiagnosticSocket().ask(query);
    if (answer.header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
        return false; // No such socket.
    // A socket without a process has no inode. Where the connection is gone, the kernel returns the listening socket.
    return answer.socket.idiag_inode != 0 && answer.socket.idiag_rqueue == 0 && answer.socket.id.idiag_dport == query.request.id.idiag_dport;
}

} // namespace kumquatbank
