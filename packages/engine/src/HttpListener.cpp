#include "kumquatbank/engine/HttpListener.h"

#include "OperationTimer.h"
#include "kumquatbank/engine/EventLog.h"
#include "kumquatbank/engine/LineChannel.h"
#include "kumquatbank/engine/LogFailure.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace kumquatbank {

namespace http = boost::beast::http;

namespace {

    constexpr std::uint64_t maxBodyBytes = 1 << 20;
    constexpr std::chrono::seconds idleTimeout { 60 };
    constexpr std::chrono::milliseconds deadPeerTimeout { 5000 };

} // namespace

HttpListener::HttpListener(asio::io_context& io, const HostAddress& address, Handler handler)
    : m_listener(io, address, [&io, handler = std::move(handler)](asio::ip::tcp::socket socket) {
        asio::co_spawn(io, serve(std::move(socket), handler), LogFailure("http_connection"));
    })
{
}

Task<void> HttpListener::serve(asio::ip::tcp::socket socket, Handler handler)
{
    LineChannel::enableDeadPeerDetection(socket, deadPeerTimeout);
    boost::beast::flat_buffer buf;
    bool keepAlive = true;
    while (keepAlive) {
        OperationTimer timer(socket, BootClock::now() + idleTimeout);
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        if (const auto [ec, n] = co_await http::async_read(socket, buf, parser, asTuple); ec)
            co_return;
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
            result = co_await handler(std::move(received));
        } catch (const std::exception& e) {
            EventLog::error("http_request_failed", { { "target", std::string_view(request.target()) }, { "error", e.what() } });
            result = { 500, R"({"error":"the request could not be processed"})" };
        }
        if (result.status == HttpResponse::closeConnection)
            co_return;
        http::response<http::string_body> response(static_cast<http::status>(result.status), request.version());
        response.set(http::field::content_type, result.contentType);
        for (const auto& [name, value] : result.headers)
            response.set(name, value);
        response.keep_alive(request.keep_alive());
        response.body() = result.body;
        response.prepare_payload();
        keepAlive = response.keep_alive();
        if (const auto [ec, n] = co_await http::async_write(socket, response, asTuple); ec)
            co_return;
    }
}

} // namespace kumquatbank
