#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace review {

/// A blocking TCP connection that is read line by line.
class LineSocket {
public:
    explicit LineSocket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~LineSocket() { close(); }

    LineSocket(const LineSocket&) = delete;
    LineSocket& operator=(const LineSocket&) = delete;

    /// Connects to @p ip and @p port; false if nobody listens there.
    bool connect(const std::string& ip, std::uint16_t port);
    /// Reads up to CR LF or LF, without them. Returns false at the end of the connection or after the time limit.
    bool readLine(std::string& line, std::chrono::milliseconds limit);
    bool readBytes(std::string& bytes, std::size_t n);
    bool write(const std::string& text);
    void close();

private:
    bool fill(std::chrono::milliseconds limit);

    int m_fd;
    std::string m_input;
};

/// Listens on @p ip and @p port and runs @p serve for each connection in a thread of its own. Ends the program with exit
/// code 2 if the port is taken.
void listenOn(const std::string& ip, std::uint16_t port, std::function<void(LineSocket&)> serve);

struct HttpMessage {
    std::string method;
    std::string target;
    std::string body;
    std::string holder; ///< Of a promotion: who sends it.
    std::string token;
};

struct HttpAnswer {
    int status = 200;
    std::string body;
};

/// Reads requests of a kept connection and answers them until it ends.
void serveHttp(LineSocket& socket, const std::function<HttpAnswer(const HttpMessage&)>& answer);

/// Status of GET @p target; 0 without an answer.
int httpStatus(const std::string& ip, std::uint16_t port, const std::string& target);

} // namespace review
