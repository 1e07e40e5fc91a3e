#include "kumquatbank/engine/HttpListener.h"

#include "OperationTimer.h"
#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/LineChannel.h"
#include "kumquatbank/engine/LogFailure.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <list>

namespace kumquatbank {

namespace http = boost::beast::http;

namespace {

    /// Between two requests of a connection.
    constexpr std::chrono::seconds idleTimeout { 60 };
    /// From the accept to the first byte of the first request. Clients connect when they have a request.
    constexpr std::chrono::seconds firstByteTimeout { 10 };
    /// From the first byte of a request to its end. Requests of the product's own clients are a few hundred bytes.
    constexpr std::chrono::seconds requestTimeout { 5 };
    /// For a client to take the whole answer. The longest ones, of a few MB, take 4 s at 10 Mbit/s.
    constexpr std::chrono::seconds writeTimeout { 10 };
    constexpr std::chrono::milliseconds deadPeerTimeout { 5000 };
    /// Answers up to this size are not counted in the memory budget.
    constexpr std::size_t uncountedAnswerBytes = 16 << 10;

} // namespace

struct HttpListener::State {
    struct Connection {
        asio::ip::tcp::socket* socket = nullptr;
        BootTime waitsSince {};
        bool isServing = false; ///< A request has been read, and its answer has not been sent yet.
    };

    Handler handler;
    HttpLimits limits;
    std::list<Connection> connections;

    void recordRefusal(std::string_view reason) const
    {
        if (limits.onRefused)
            limits.onRefused(reason);
    }

    /// Closes the connection that has waited longest for a request if there are too many. Returns false if all are serving.
    bool makeRoom()
    {
        // A closed connection stays in the list until its coroutine has ended.
        const auto isOpen = [](const Connection& connection) { return connection.socket->is_open(); };
        if (connections.size() < limits.connections || static_cast<std::size_t>(std::ranges::count_if(connections, isOpen)) < limits.connections)
            return true;
        recordRefusal("descriptors");
        const auto oldest = std::ranges::min_element(connections, {}, [&](const Connection& connection) { return std::tuple(!isOpen(connection), connection.isServing, connection.waitsSince); });
        if (oldest == connections.end() || !isOpen(*oldest) || oldest->isServing)
            return false;
        boost::system::error_code ec; // Ignored: nothing can be done about a failed close.
        oldest->socket->close(ec);
        return true;
    }
};

HttpListener::HttpListener(asio::io_context& io, const HostAddress& address, Handler handler, HttpLimits limits)
    : m_state(std::make_shared<State>(State { std::move(handler), std::move(limits), {} }))
    , m_listener(io, address, [&io, state = m_state](asio::ip::tcp::socket socket) {
        if (state->makeRoom())
            asio::co_spawn(io, serve(std::move(socket), state), LogFailure("http_connection"));
    })
{
}

Task<void> HttpListener::serve(asio::ip::tcp::socket socket, std::shared_ptr<State> state)
{
    LineChannel::enableDeadPeerDetection(socket, deadPeerTimeout);
    auto leave = [&state](asio::ip::tcp::socket* own) { std::erase_if(state->connections, [own](const auto& connection) { return connection.socket == own; }); };
    const std::unique_ptr<asio::ip::tcp::socket, decltype(leave)> membership(&socket, leave);
    state->connections.push_back({ &socket, BootClock::now(), false });
    const auto connection = std::prev(state->connections.end());
    boost::beast::flat_buffer buf;
    bool keepAlive = true;
    bool isFirst = true;
    while (keepAlive) {
        connection->waitsSince = BootClock::now();
        connection->isServing = false;
        OperationTimer idleTimer(socket, connection->waitsSince + (std::exchange(isFirst, false) ? firstByteTimeout : idleTimeout));
        if (buf.size() == 0) {
            if (const auto [ec] = co_await socket.async_wait(asio::ip::tcp::socket::wait_read, asTuple); ec)
                co_return;
        }
        idleTimer.stop();
        OperationTimer timer(socket, BootClock::now() + requestTimeout);
        http::request_parser<http::string_body> parser;
        parser.body_limit(state->limits.bodyBytes);
        if (const auto [ec, n] = co_await http::async_read(socket, buf, parser, asTuple); ec) {
            const bool isTooLong = ec == http::error::body_limit || ec == http::error::header_limit || ec == http::error::buffer_overflow;
            if (timer.hasExpired() || isTooLong)
                state->recordRefusal(isTooLong ? "too_long" : "incomplete");
            if (isTooLong) {
                const std::string refusal = "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                co_await socket.async_write_some(asio::buffer(refusal), asTuple);
            }
            co_return;
        }
        connection->isServing = true;
        auto request = parser.release();
        timer.stop();
        HttpRequest received;
        received.method = request.method_string();
        received.target = request.target();
        received.body = std::move(request.body());
        for (const auto& field : request)
            received.headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] = field.value();
        HttpResponse result;
        try {
            result = co_await state->handler(std::move(received));
        } catch (const std::exception& e) {
            EventLog::error("http_request_failed", { { "target", std::string_view(request.target()) }, { "error", e.what() } });
            result = { 500, R"({"error":"the request could not be processed"})" };
        }
        if (result.status == HttpResponse::closeConnection)
            co_return;
        // Twice the size, because the body and its serialized form may exist at once.
        MemoryHold hold;
        if (result.body.size() > uncountedAnswerBytes && !hold.resize(MemoryUse::Answer, 2 * result.body.size())) {
            state->recordRefusal("memory");
            result = { 503, R"({"error":"the host is short of memory"})" };
        }
        http::response<http::string_body> response(static_cast<http::status>(result.status), request.version());
        response.set(http::field::content_type, result.contentType);
        for (const auto& [name, value] : result.headers)
            response.set(name, value);
        response.keep_alive(request.keep_alive());
        response.body() = std::move(result.body);
        response.prepare_payload();
        keepAlive = response.keep_alive();
        OperationTimer writeTimer(socket, BootClock::now() + writeTimeout);
        if (const auto [ec, n] = co_await http::async_write(socket, response, asTuple); ec)
            co_return;
    }
}

} // namespace kumquatbank
