// A machine as the users' pages describe it: starts one program, counts its memory together with the bytes that it has
// received and not yet read, ends it when that exceeds the machine's memory, and starts it again after a short delay.
// Usage: machine MEMORY_MB IP RECORD COMMAND...

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds checkInterval { 50 };
constexpr milliseconds restartDelay { 500 };
constexpr std::uint64_t bytesPerMb = 1 << 20;
/// Of a connection that is open in both directions, and of one whose peer has ended its direction.
constexpr unsigned openStates = (1U << 1U) | (1U << 8U);

volatile std::sig_atomic_t isStopping = 0;

pid_t startProgram(char** command)
{
    const pid_t pid = fork();
    if (pid != 0)
        return pid;
    execv(command[0], command);
    std::cerr << "machine: cannot start " << command[0] << "\n";
    std::_Exit(127);
}

std::uint64_t residentBytes(pid_t pid)
{
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    statm >> size >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

/// Adds up the receive queues of the connections whose local address is @p ip; each machine has an address of its own.
class ReceivedBytes {
public:
    explicit ReceivedBytes(const std::string& ip)
        : m_fd(socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
        , m_address(inet_addr(ip.c_str()))
    {
    }
    ~ReceivedBytes() { close(m_fd); }
    ReceivedBytes(const ReceivedBytes&) = delete;
    ReceivedBytes& operator=(const ReceivedBytes&) = delete;

    bool isOpen() const { return m_fd >= 0; }

    std::uint64_t unread() const
    {
        struct {
            nlmsghdr header;
            inet_diag_req_v2 request;
        } query {};
        query.header.nlmsg_len = sizeof query;
        query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
        query.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
        query.request.sdiag_family = AF_INET;
        query.request.sdiag_protocol = IPPROTO_TCP;
        query.request.idiag_states = openStates;
        if (send(m_fd, &query, sizeof query, 0) < 0)
            return 0;
        std::uint64_t sum = 0;
        std::vector<char> buf(256 << 10);
        while (true) {
            auto size = recv(m_fd, buf.data(), buf.size(), 0);
            if (size <= 0)
                return sum;
            for (auto* header = reinterpret_cast<nlmsghdr*>(buf.data()); NLMSG_OK(header, size); header = NLMSG_NEXT(header, size)) {
                if (header->nlmsg_type == NLMSG_DONE || header->nlmsg_type == NLMSG_ERROR)
                    return sum;
                const auto* socket = static_cast<const inet_diag_msg*>(NLMSG_DATA(header));
                if (socket->id.idiag_src[0] == m_address)
                    sum += socket->idiag_rqueue;
            }
        }
    }

private:
    int m_fd;
    in_addr_t m_address;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5) {
        std::cerr << "usage: machine MEMORY_MB IP RECORD COMMAND...\n";
        return 2;
    }
    const std::uint64_t limit = std::stoull(argv[1]) * bytesPerMb;
    const std::string ip = argv[2];
    std::ofstream record(argv[3], std::ios::app);
    const ReceivedBytes received(ip);
    if (!received.isOpen()) {
        record << ip << " cannot ask for socket queues\n";
        return 2;
    }
    std::signal(SIGTERM, [](int) { isStopping = 1; });
    const auto since = Clock::now();
    const auto seconds = [since] { return std::chrono::duration<double>(Clock::now() - since).count(); };
    std::uint64_t mostResident = 0;
    std::uint64_t mostUnread = 0;
    std::uint64_t mostTogether = 0;
    int ends = 0;
    while (isStopping == 0) {
        const pid_t pid = startProgram(argv + 4);
        record << seconds() << " s " << ip << " started process " << pid << std::endl;
        bool hasEnded = false;
        while (isStopping == 0 && !hasEnded) {
            std::this_thread::sleep_for(checkInterval);
            if (waitpid(pid, nullptr, WNOHANG) == pid) {
                ++ends;
                hasEnded = true;
                record << seconds() << " s " << ip << " process " << pid << " ended by itself" << std::endl;
                break;
            }
            const auto resident = residentBytes(pid);
            const auto unread = received.unread();
            mostResident = std::max(mostResident, resident);
            mostUnread = std::max(mostUnread, unread);
            mostTogether = std::max(mostTogether, resident + unread);
            if (resident + unread <= limit)
                continue;
            ++ends;
            hasEnded = true;
            record << seconds() << " s " << ip << " process " << pid << " exceeds " << limit / bytesPerMb << " MB: resident " << resident / bytesPerMb << " MB, received and not read " << unread / bytesPerMb << " MB; killed" << std::endl;
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
        if (!hasEnded) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        } else if (isStopping == 0) {
            std::this_thread::sleep_for(restartDelay);
        }
    }
    record << seconds() << " s " << ip << " ends " << ends << " most resident " << mostResident / bytesPerMb << " MB, most unread " << mostUnread / bytesPerMb << " MB, most together " << mostTogether / bytesPerMb << " MB" << std::endl;
    return ends;
}
