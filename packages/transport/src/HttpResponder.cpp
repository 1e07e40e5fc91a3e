#include "HttpResponder.h"

#include "HttpService.h"

#include <array>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/query_params.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace kumquatbank {

namespace {

    constexpr int payloadTooLarge = 413;
    constexpr int lengthRequired = 411;
    constexpr int badRequest = 400;
    constexpr auto tooLargeMessage = "the request body exceeds 2097152 bytes";

    /// Longest oversize body that is read to its end. Closing a connection with unread bytes resets it, so the
    /// client often loses the 413; a client that announces more has to live with that.
    constexpr std::size_t maxSkippedBytes = 64 * 1024 * 1024;

    /// Failure that ends a request before its handler sees it.
    class RejectedRequest : public std::runtime_error {
    public:
        RejectedRequest(int status, const std::string& message)
            : std::runtime_error(message)
            , m_status(status)
        {
        }
        int status() const { return m_status; }

    private:
        int m_status;
    };

    const char* reasonPhrase(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case badRequest:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case lengthRequired:
            return "Length Required";
        case payloadTooLarge:
            return "Payload Too Large";
        case 422:
            return "Unprocessable Content";
        case 429:
            return "Too Many Requests";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
        }
    }

    std::string errorBody(const std::string& message)
    {
        const auto failure = notRun(FailureCode::BadRequest, message, Cause::BadRequest);
        return nlohmann::json { { "verdict", "not_run" }, { "error", failure.value() } }.dump();
    }

    void fill(std::ostream& out, cxxtools::http::Reply& reply, const HttpResponse& response)
    {
        reply.httpReturn(static_cast<unsigned>(response.status), reasonPhrase(response.status));
        reply.setHeader("Content-Type", response.contentType.c_str());
        out.write(response.body.data(), static_cast<std::streamsize>(response.body.size()));
    }

} // namespace

HttpResponder::HttpResponder(HttpService& service)
    : cxxtools::http::Responder(service)
    , m_service(service)
{
}

void HttpResponder::beginRequest(
    cxxtools::net::TcpSocket&, std::istream&, cxxtools::http::Request& request)
{
    // cxxtools does not decode chunked requests: it would take the chunks for the next request.
    if (request.header().chunkedTransferEncoding())
        throw RejectedRequest(lengthRequired, "the request needs a Content-Length; chunked bodies are not accepted");
    m_isTooLarge = request.header().contentLength() > maxBodyBytes;
    if (request.header().contentLength() > maxSkippedBytes)
        throw RejectedRequest(payloadTooLarge, tooLargeMessage);
}

std::size_t HttpResponder::readBody(std::istream& in)
{
    std::array<char, 16 * 1024> buf;
    std::size_t total = 0;
    while (true) {
        const auto n = in.rdbuf()->in_avail();
        if (n <= 0)
            break;
        const auto size = std::min<std::streamsize>(n, buf.size());
        const auto got = in.rdbuf()->sgetn(buf.data(), size);
        if (got <= 0)
            break;
        if (!m_isTooLarge)
            m_body.append(buf.data(), static_cast<std::size_t>(got));
        total += static_cast<std::size_t>(got);
    }
    return total;
}

void HttpResponder::reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply)
{
    if (m_isTooLarge)
        return fill(out, reply, { payloadTooLarge, errorBody(tooLargeMessage), "application/json" });
    HttpRequest received { request.method(), request.url(), {}, std::move(m_body) };
    cxxtools::QueryParams query;
    query.parse_url(request.qparams());
    std::set<std::string> names;
    query.getNames(std::inserter(names, names.end()));
    for (const auto& name : names)
        received.query[name] = query.param(name);
    fill(out, reply, m_service.handle(received));
}

void HttpResponder::replyError(std::ostream& out, cxxtools::http::Request&, cxxtools::http::Reply& reply,
    const std::exception& error)
{
    const auto* rejected = dynamic_cast<const RejectedRequest*>(&error);
    const int status = rejected ? rejected->status() : badRequest;
    fill(out, reply, { status, errorBody(error.what()), "application/json" });
    reply.setHeader("Connection", "close"); // The rest of the body is not read.
}

} // namespace kumquatbank
