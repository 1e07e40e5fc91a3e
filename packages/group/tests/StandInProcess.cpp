#include "StandInProcess.h"

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace kumquatbank {

namespace {

    constexpr Milliseconds startLimit { 5000 };

    sockaddr_in socketAddress(const HostAddress& address)
    {
        sockaddr_in storage {};
        storage.sin_family = AF_INET;
        storage.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &storage.sin_addr);
        return storage;
    }

    struct Socket {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ~Socket() { ::close(fd); }
    };

} // namespace

StandInProcess::StandInProcess(std::vector<std::string> arguments, HostAddress control)
    : m_control(std::move(control))
{
    arguments.insert(arguments.begin(), DATABASE_STANDIN);
    std::vector<char*> pointers;
    for (auto& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    if (posix_spawn(&m_pid, DATABASE_STANDIN, nullptr, nullptr, pointers.data(), environ) != 0)
        throw std::runtime_error("the database stand-in cannot be started");
    const auto deadline = Deadline::after(startLimit);
    while (this->control({ { "command", "status" } }).is_null()) {
        if (deadline.hasPassed())
            throw std::runtime_error("the database stand-in does not answer");
        std::this_thread::sleep_for(Milliseconds(5));
    }
}

StandInProcess::~StandInProcess() { kill(); }

void StandInProcess::kill()
{
    if (m_pid < 0)
        return;
    ::kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

void StandInProcess::pause() { ::kill(m_pid, SIGSTOP); }

void StandInProcess::resume() { ::kill(m_pid, SIGCONT); }

nlohmann::json StandInProcess::control(const nlohmann::json& command) const
{
    const Socket socket;
    const timeval limit { 2, 0 };
    setsockopt(socket.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const auto address = socketAddress(m_control);
    if (connect(socket.fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        return nullptr;
    const auto line = command.dump() + "\n";
    if (send(socket.fd, line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size()))
        return nullptr;
    std::string answer;
    char buf[4096];
    while (answer.empty() || answer.back() != '\n') {
        const auto n = recv(socket.fd, buf, sizeof(buf), 0);
        if (n <= 0)
            return nullptr;
        answer.append(buf, static_cast<std::size_t>(n));
    }
    return nlohmann::json::parse(answer, nullptr, false);
}

} // namespace kumquatbank
