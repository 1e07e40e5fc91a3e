#include "kumquatbank/transport/HttpClient.h"

#include "NngHandles.h"

#include <cctype>
#include <nng/supplemental/http/http.h>
#include <string_view>

namespace kumquatbank {

namespace {

    constexpr std::size_t maxUrlBytes = 2048; // The server's whole request head is limited to 4096 bytes.

    /// Percent-encodes all but the unreserved characters of RFC 3986 and those in @p keep.
    std::string encodeUrl(const std::string& text, std::string_view keep)
    {
        constexpr std::string_view digits = "0123456789ABCDEF";
        std::string encoded;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (std::isalnum(byte) || std::string_view("-._~").find(c) != std::string_view::npos
                || keep.find(c) != std::string_view::npos) {
                encoded += c;
                continue;
            }
            encoded += { '%', digits[byte >> 4], digits[byte & 15] };
        }
        return encoded;
    }

    std::string makeTarget(const HttpRequest& request)
    {
        auto target = encodeUrl(request.path, "/");
        char separator = '?';
        for (const auto& [name, value] : request.query) {
            target += separator + encodeUrl(name, {}) + '=' + encodeUrl(value, {});
            separator = '&';
        }
        return target;
    }

    struct UrlDeleter {
        void operator()(nng_url* url) const { nng_url_free(url); }
    };
    struct ClientDeleter {
        void operator()(nng_http_client* client) const { nng_http_client_free(client); }
    };
    struct ConnectionDeleter {
        void operator()(nng_http_conn* connection) const { nng_http_conn_close(connection); }
    };
    struct RequestDeleter {
        void operator()(nng_http_req* request) const { nng_http_req_free(request); }
    };
    struct ResponseDeleter {
        void operator()(nng_http_res* response) const { nng_http_res_free(response); }
    };

} // namespace

/// Uses nng's HTTP client: the one of cxxtools sends a request a second time when the kept-alive connection
/// closes before the response, which would run a write twice.
class HttpClient::Impl {
public:
    explicit Impl(HostAddress server)
        : m_server(std::move(server))
    {
        nng_url* url = nullptr;
        checkNng(nng_url_parse(&url, ("http://" + m_server.toString() + "/").c_str()));
        m_url.reset(url);
        nng_http_client* client = nullptr;
        checkNng(nng_http_client_alloc(&client, url));
        m_client.reset(client);
    }

    Result<HttpResponse> send(const HttpRequest& request, Milliseconds timeout);

private:
    Result<void> connect(const Deadline& deadline);
    tl::unexpected<Failure> lose(int error);

    HostAddress m_server;
    std::unique_ptr<nng_url, UrlDeleter> m_url;
    std::unique_ptr<nng_http_client, ClientDeleter> m_client;
    std::unique_ptr<nng_http_conn, ConnectionDeleter> m_connection;
};

Result<void> HttpClient::Impl::connect(const Deadline& deadline)
{
    NngAio aio;
    nng_aio_set_timeout(aio.get(), static_cast<nng_duration>(deadline.remaining().count()));
    nng_http_client_connect(m_client.get(), aio.get());
    const int error = aio.wait();
    if (error != 0)
        return notRun(FailureCode::Unreachable,
            "no connection to " + m_server.toString() + ": " + nng_strerror(error));
    m_connection.reset(static_cast<nng_http_conn*>(nng_aio_get_output(aio.get(), 0)));
    return {};
}

tl::unexpected<Failure> HttpClient::Impl::lose(int error)
{
    m_connection.reset();
    const auto code = error == NNG_ETIMEDOUT ? FailureCode::Timeout : FailureCode::ConnectionLost;
    return mayHaveRun(code, "no answer from " + m_server.toString() + ": " + nng_strerror(error));
}

Result<HttpResponse> HttpClient::Impl::send(const HttpRequest& request, Milliseconds timeout)
{
    const auto deadline = Deadline::after(timeout);
    const auto target = makeTarget(request);
    if (target.size() > maxUrlBytes)
        return notRun(FailureCode::BadRequest, "the URL is longer than 2048 bytes");
    if (!m_connection) {
        if (const auto connected = connect(deadline); !connected)
            return tl::unexpected<Failure>(connected.error());
    }
    nng_http_req* rawRequest = nullptr;
    checkNng(nng_http_req_alloc(&rawRequest, m_url.get()));
    const std::unique_ptr<nng_http_req, RequestDeleter> outgoing(rawRequest);
    nng_http_res* rawResponse = nullptr;
    checkNng(nng_http_res_alloc(&rawResponse));
    const std::unique_ptr<nng_http_res, ResponseDeleter> incoming(rawResponse);
    checkNng(nng_http_req_set_method(rawRequest, request.method.c_str()));
    checkNng(nng_http_req_set_uri(rawRequest, target.c_str()));
    if (!request.body.empty()) { // nng cannot copy an empty body.
        checkNng(nng_http_req_copy_data(rawRequest, request.body.data(), request.body.size()));
        checkNng(nng_http_req_set_header(rawRequest, "Content-Type", "application/json"));
    }

    NngAio aio;
    nng_aio_set_timeout(aio.get(), static_cast<nng_duration>(deadline.remaining().count()));
    nng_http_conn_transact(m_connection.get(), rawRequest, rawResponse, aio.get());
    if (const int error = aio.wait(); error != 0)
        return lose(error);

    HttpResponse response;
    response.status = nng_http_res_get_status(rawResponse);
    void* data = nullptr;
    std::size_t size = 0;
    nng_http_res_get_data(rawResponse, &data, &size);
    if (size > 0)
        response.body.assign(static_cast<const char*>(data), size);
    const auto* type = nng_http_res_get_header(rawResponse, "Content-Type");
    response.contentType = type ? type : "";
    const auto* connection = nng_http_res_get_header(rawResponse, "Connection");
    if (connection && std::string_view(connection) == "close")
        m_connection.reset();
    return response;
}

HttpClient::HttpClient(HostAddress server)
    : m_impl(std::make_unique<Impl>(std::move(server)))
{
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

Result<HttpResponse> HttpClient::send(const HttpRequest& request, Milliseconds timeout)
{
    return m_impl->send(request, timeout);
}

} // namespace kumquatbank
