#include "kumquatbank/core/CxxtoolsCompat.h"

#include "HttpConnection.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cxxtools/query_params.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string_view>

namespace kumquatbank {

namespace {

    constexpr auto tooLargeMessage = "the request body exceeds 2097152 bytes";

    /// Longest oversize body that is read to its end. Closing a connection with unread bytes resets it, so the
    /// client often loses the 413; a client that announces more has to live with that.
    constexpr std::size_t maxSkippedBytes = 64 * 1024 * 1024;

    std::string_view headerOf(nng_http_req* request, const char* name)
    {
        const auto* value = nng_http_req_get_header(request, name);
        return value ? value : std::string_view();
    }

    std::string toLower(std::string_view text)
    {
        std::string lower(text);
        std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
        return lower;
    }

    /// Length of the body in bytes; nothing when the text is no number. Repeated headers arrive as one list.
    std::optional<std::size_t> parseLength(std::string_view text)
    {
        std::size_t length = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
        if (ec != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return length;
    }

    /// Decodes percent-encoded bytes; a percent sign without two hexadecimal digits stays as it is.
    std::string decodePath(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned char byte = 0;
            if (text[i] == '%' && i + 2 < text.size()) {
                const auto* first = text.data() + i + 1;
                if (std::from_chars(first, first + 2, byte, 16).ptr == first + 2) {
                    decoded += static_cast<char>(byte);
                    i += 2;
                    continue;
                }
            }
            decoded += text[i];
        }
        return decoded;
    }

    HttpRequest makeRequest(nng_http_req* request, std::string body)
    {
        const std::string_view target = nng_http_req_get_uri(request);
        const auto mark = std::min(target.find('?'), target.size());
        HttpRequest received { nng_http_req_get_method(request), decodePath(target.substr(0, mark)), {},
            std::move(body) };
        if (mark + 1 >= target.size())
            return received;
        cxxtools::QueryParams query;
        query.parse_url(std::string(target.substr(mark + 1)));
        std::set<std::string> names;
        query.getNames(std::inserter(names, names.end()));
        for (const auto& name : names)
            received.query[name] = query.param(name);
        return received;
    }

} // namespace

HttpConnection::HttpConnection(nng_http_conn* connection, nng_http_req* request, ReadHandler handler)
    : m_connection(connection)
    , m_request(request)
    , m_handler(std::move(handler))
{
    const auto onRead = [](void* self) {
        auto& connection = *static_cast<HttpConnection*>(self);
        connection.m_readStartedAt = TimePoint::max();
        connection.m_handler(connection);
    };
    checkNng(nng_aio_alloc(&m_readAio, onRead, this));
}

HttpConnection::~HttpConnection()
{
    nng_aio_free(m_readAio);
    nng_http_conn_close(m_connection);
    nng_http_req_free(m_request);
}

void HttpConnection::startRead()
{
    nng_http_req_reset(m_request);
    m_readStartedAt = Clock::now();
    nng_http_conn_read_req(m_connection, m_request, m_readAio);
}

HttpResponse HttpConnection::makeError(int status, const Failure& failure)
{
    return { status, nlohmann::json { { "verdict", "not_run" }, { "error", failure } }.dump(), "application/json" };
}

bool HttpConnection::isLastRequest() const
{
    return std::string_view(nng_http_req_get_version(m_request)) != "HTTP/1.1"
        || toLower(headerOf(m_request, "Connection")).find("close") != std::string::npos;
}

bool HttpConnection::read(const NngAio& aio, char* data, std::size_t size)
{
    if (size == 0)
        return true;
    nng_iov part { data, size };
    checkNng(nng_aio_set_iov(aio.get(), 1, &part));
    nng_http_conn_read_all(m_connection, aio.get());
    return aio.wait() == 0;
}

bool HttpConnection::skip(const NngAio& aio, std::size_t size)
{
    std::string buf(std::min<std::size_t>(size, 64 * 1024), '\0');
    while (size > 0) {
        const auto n = std::min(size, buf.size());
        if (!read(aio, buf.data(), n))
            return false;
        size -= n;
    }
    return true;
}

bool HttpConnection::reject(const NngAio& aio, int status, const std::string& message, bool close)
{
    return respond(
        aio, makeError(status, notRun(FailureCode::BadRequest, message, Cause::BadRequest).value()), close);
}

bool HttpConnection::serve(const NngAio& aio, Milliseconds transferTimeout, const std::atomic<bool>& isClosing,
    const std::function<HttpResponse(const HttpRequest&)>& handler)
{
    nng_aio_set_timeout(aio.get(), static_cast<nng_duration>(transferTimeout.count()));
    if (!std::string_view(nng_http_req_get_version(m_request)).starts_with("HTTP/1."))
        return reject(aio, 505, "only HTTP/1.1 and HTTP/1.0 are supported", true);
    if (std::string_view(nng_http_req_get_version(m_request)) == "HTTP/1.1" && headerOf(m_request, "Host").empty())
        return reject(aio, 400, "the request needs a Host header", true);
    if (!headerOf(m_request, "Transfer-Encoding").empty())
        return reject(aio, 411, "the request needs a Content-Length; chunked bodies are not accepted", true);
    const auto lengthText = headerOf(m_request, "Content-Length");
    const auto length = lengthText.empty() ? 0 : parseLength(lengthText);
    if (!length)
        return reject(aio, 400, "the Content-Length is no number of bytes", true);
    if (*length > maxBodyBytes) {
        const bool isSkipped = *length <= maxSkippedBytes && skip(aio, *length);
        return reject(aio, 413, tooLargeMessage, !isSkipped || isClosing || isLastRequest());
    }
    std::string body(*length, '\0');
    if (!read(aio, body.data(), body.size()))
        return false;
    const auto response = handler(makeRequest(m_request, std::move(body)));
    return respond(aio, response, isClosing || isLastRequest());
}

bool HttpConnection::respond(const NngAio& aio, const HttpResponse& response, bool close)
{
    nng_http_res* raw = nullptr;
    checkNng(nng_http_res_alloc(&raw));
    const std::unique_ptr<nng_http_res, decltype(&nng_http_res_free)> outgoing(raw, &nng_http_res_free);
    checkNng(nng_http_res_set_status(raw, static_cast<std::uint16_t>(response.status)));
    checkNng(nng_http_res_set_header(raw, "Content-Type", response.contentType.c_str()));
    if (close)
        checkNng(nng_http_res_set_header(raw, "Connection", "close"));
    const auto* method = nng_http_req_get_method(m_request);
    if (response.body.empty() || (method && std::string_view(method) == "HEAD"))
        checkNng(nng_http_res_set_header(raw, "Content-Length", std::to_string(response.body.size()).c_str()));
    else // The response outlives the write, so its body need not be copied.
        checkNng(nng_http_res_set_data(raw, response.body.data(), response.body.size()));
    nng_http_conn_write_res(m_connection, raw, aio.get());
    return aio.wait() == 0 && !close;
}

} // namespace kumquatbank
