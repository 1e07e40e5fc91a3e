// Clients that send statements ahead on one connection each and do not read the answers. Every client sends a bounded
// number of bytes; one whose connection ends comes back after a second.
// Usage: crowd ADDRESS PORT DATABASE CLIENTS BYTES SECONDS

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds returnDelay { 1 };
constexpr std::chrono::milliseconds roundInterval { 5 };

struct Client {
    int fd = -1;
    std::size_t sent = 0;
    Clock::time_point returnsAt {};
};

void leave(Client& client)
{
    close(client.fd);
    client = { -1, 0, Clock::now() + returnDelay };
}

void connectTo(const sockaddr_in& address, Client& client)
{
    client.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.fd >= 0 && connect(client.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS)
        leave(client);
}

/// Sends what the connection takes, and notices its end.
void step(Client& client, std::string_view text)
{
    if (client.sent < text.size()) {
        const auto n = send(client.fd, text.data() + client.sent, text.size() - client.sent, MSG_NOSIGNAL);
        if (n > 0)
            client.sent += static_cast<std::size_t>(n);
        else if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN)
            leave(client);
        return;
    }
    char buf = 0;
    const auto n = recv(client.fd, &buf, 1, MSG_PEEK | MSG_DONTWAIT);
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(client.fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (n == 0 || error != 0 || (n < 0 && errno != EAGAIN))
        leave(client);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 7) {
        std::cerr << "usage: crowd ADDRESS PORT DATABASE CLIENTS BYTES SECONDS\n";
        return 2;
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = inet_addr(argv[1]);
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(argv[2])));
    std::vector<Client> clients(std::stoul(argv[4]));
    const std::size_t bytes = std::stoul(argv[5]);
    const auto end = Clock::now() + std::chrono::seconds(std::stoi(argv[6]));
    rlimit descriptors {};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);

    auto text = std::string("START ") + argv[3] + " crowd\r\n";
    for (int n = 1; text.size() < bytes; ++n)
        text += "QUERY c" + std::to_string(n) + " READ item\r\n";
    while (Clock::now() < end) {
        for (auto& client : clients) {
            if (client.fd < 0 && Clock::now() >= client.returnsAt)
                connectTo(address, client);
            if (client.fd >= 0)
                step(client, text);
        }
        std::this_thread::sleep_for(roundInterval);
    }
    return 0;
}
