#include "kumquatbank/engine/HttpClient.h"

#include "OperationTimer.h"
#include "kumquatbank/engine/LineChannel.h"

#include <algorithm>
#include <boost/beast/http.hpp>

namespace kumquatbank {

namespace http = boost::beast::http;

namespace {

    constexpr std::size_t maxIdleConnections = 4;
    constexpr std::uint64_t maxBodyBytes = 64 << 20;
    /// Answers up to this size are not counted in the memory budget.
    constexpr std::uint64_t uncountedAnswerBytes = 16 << 10;
    /// A body without a known length grows, and exists twice for a moment.
    constexpr std::uint64_t growthFactor = 2;
    /// A connection fails if sent data stays unacknowledged for this long.
    constexpr std::chrono::milliseconds deadPeerTimeout { 1500 };

} // namespace

struct HttpClient::Connection {
    explicit Connection(asio::io_context& io)
        : socket(io)
    {
    }

    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buf;
};

std::string HttpResult::describe() const
{
    switch (outcome) {
    case Outcome::NotSent:
        return "not_sent";
    case Outcome::NoResponse:
        return hasNoRoom ? "no_room" : "no_answer";
    case Outcome::Completed:
        break;
    }
    return std::to_string(status);
}

HttpClient::HttpClient(asio::io_context& io, HostAddress server)
    : m_io(io)
    , m_server(std::move(server))
{
}

HttpClient::~HttpClient() = default;

Task<HttpResult> HttpClient::call(HttpCall call, std::chrono::milliseconds timeout)
{
    const auto deadline = BootClock::now() + timeout;
    std::shared_ptr<Connection> connection;
    while (!m_idle.empty() && !connection) {
        connection = std::move(m_idle.back());
        m_idle.pop_back();
        char probe = 0;
        // An idle connection must have nothing to read. A closed one, or one with unexpected bytes, cannot be reused.
        if (::recv(connection->socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT) >= 0)
            connection.reset();
    }
    HttpResult reply;
    if (!connection) {
        connection = std::make_shared<Connection>(m_io);
        OperationTimer timer(connection->socket, deadline);
        const auto [ec] = co_await connection->socket.async_connect(toEndpoint(m_server), asTuple);
        if (ec)
            co_return reply;
        LineChannel::enableDeadPeerDetection(connection->socket, deadPeerTimeout);
    }

    http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, m_server.toString());
    for (const auto& [name, value] : call.headers)
        request.set(name, value);
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(call.body);
    }
    request.prepare_payload();

    reply.outcome = HttpResult::Outcome::NoResponse;
    OperationTimer timer(connection->socket, deadline);
    if (const auto [ec, n] = co_await http::async_write(connection->socket, request, asTuple); ec) {
        m_idle.clear();
        co_return reply;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    if (const auto [ec, n] = co_await http::async_read_header(connection->socket, connection->buf, parser, asTuple); ec) {
        reply.hasNoRoom = ec == http::error::body_limit;
        if (reply.hasNoRoom)
            AnswerMemory::ofProcess().recordRefusal(call.reader, parser.content_length().value_or(maxBodyBytes));
        m_idle.clear();
        co_return reply;
    }
    auto& answers = AnswerMemory::ofProcess();
    const auto length = parser.content_length();
    if (length && *length > uncountedAnswerBytes && !answers.add(reply.memory, call.reader, *length)) {
        reply.hasNoRoom = true;
        m_idle.clear();
        co_return reply;
    }
    if (!length) {
        const std::uint64_t room = MemoryBudget::ofProcess().available(MemoryUse::Answer) / growthFactor;
        parser.body_limit(std::clamp(room, uncountedAnswerBytes, maxBodyBytes));
    }
    if (const auto [ec, n] = co_await http::async_read(connection->socket, connection->buf, parser, asTuple); ec) {
        reply.hasNoRoom = ec == http::error::body_limit;
        if (reply.hasNoRoom)
            AnswerMemory::ofProcess().recordRefusal(call.reader, parser.content_length().value_or(maxBodyBytes));
        m_idle.clear();
        co_return reply;
    }
    if (!length && !answers.add(reply.memory, call.reader, parser.get().body().capacity())) {
        reply.hasNoRoom = true;
        m_idle.clear();
        co_return reply;
    }
    auto response = parser.release();
    reply.outcome = HttpResult::Outcome::Completed;
    reply.status = static_cast<int>(response.result_int());
    reply.body = std::move(response.body());
    timer.stop();
    const bool isReusable = response.keep_alive();
    reply.headers = std::move(response.base());
    if (isReusable && m_idle.size() < maxIdleConnections)
        m_idle.push_back(std::move(connection));
    co_return reply;
}

} // namespace kumquatbank
