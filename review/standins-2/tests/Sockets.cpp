#include "Sockets.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

using std::chrono::milliseconds;

namespace {

    constexpr int backlog = 256;
    constexpr std::size_t chunkBytes = 16384;
    constexpr milliseconds httpLimit { 60'000 };

    sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    void disableDelay(int fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

} // namespace

bool LineSocket::connect(const std::string& ip, std::uint16_t port)
{
    close();
    m_fd = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = addressOf(ip, port);
    if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close();
        return false;
    }
    disableDelay(m_fd);
    return true;
}

bool LineSocket::fill(milliseconds limit)
{
    pollfd request { m_fd, POLLIN, 0 };
    if (m_fd < 0 || poll(&request, 1, static_cast<int>(limit.count())) <= 0)
        return false;
    std::string chunk(chunkBytes, '\0');
    const auto n = recv(m_fd, chunk.data(), chunk.size(), 0);
    if (n <= 0)
        return false;
    m_input.append(chunk, 0, static_cast<std::size_t>(n));
    return true;
}

bool LineSocket::readLine(std::string& line, milliseconds limit)
{
    while (m_input.find('\n') == std::string::npos) {
        if (!fill(limit))
            return false;
    }
    const auto end = m_input.find('\n');
    line = m_input.substr(0, end);
    m_input.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    return true;
}

bool LineSocket::readBytes(std::string& bytes, std::size_t n)
{
    while (m_input.size() < n) {
        if (!fill(httpLimit))
            return false;
    }
    bytes = m_input.substr(0, n);
    m_input.erase(0, n);
    return true;
}

bool LineSocket::write(const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

void LineSocket::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
    m_input.clear();
}

void listenOn(const std::string& ip, std::uint16_t port, std::function<void(LineSocket&)> serve)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(ip, port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(listener, backlog) != 0) {
        std::cerr << "cannot listen on " << ip << ':' << port << '\n';
        std::_Exit(2);
    }
    std::thread([listener, serve = std::move(serve)] {
        while (true) {
            const int fd = accept(listener, nullptr, nullptr);
            if (fd < 0)
                continue;
            disableDelay(fd);
            std::thread([fd, serve] {
                LineSocket socket(fd);
                serve(socket);
            }).detach();
        }
    }).detach();
}

void serveHttp(LineSocket& socket, const std::function<HttpAnswer(const HttpMessage&)>& answer)
{
    std::string line;
    while (socket.readLine(line, httpLimit)) {
        HttpMessage request;
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        if (second == std::string::npos)
            return;
        request.method = line.substr(0, first);
        request.target = line.substr(first + 1, second - first - 1);
        std::size_t length = 0;
        while (socket.readLine(line, httpLimit) && !line.empty()) {
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            std::ranges::transform(name, name.begin(), [](unsigned char symbol) { return static_cast<char>(std::tolower(symbol)); });
            const auto begin = line.find_first_not_of(' ', colon + 1);
            const auto value = begin == std::string::npos ? std::string() : line.substr(begin);
            if (name == "content-length")
                length = std::stoul(value);
            else if (name == "x-lease-holder")
                request.holder = value;
            else if (name == "x-fencing-token")
                request.token = value;
        }
        if (!socket.readBytes(request.body, length))
            return;
        const auto reply = answer(request);
        if (reply.status == 0)
            return;
        const auto text = "HTTP/1.1 " + std::to_string(reply.status) + " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
        if (!socket.write(text))
            return;
    }
}

int httpStatus(const std::string& ip, std::uint16_t port, const std::string& target)
{
    LineSocket socket;
    std::string line;
    if (!socket.connect(ip, port) || !socket.write("GET " + target + " HTTP/1.1\r\nHost: " + ip + "\r\n\r\n") || !socket.readLine(line, milliseconds(1000)))
        return 0;
    return std::atoi(line.substr(line.find(' ') + 1).c_str());
}

} // namespace review
