#pragma once

#include "kumquatbank/core/CxxtoolsCompat.h"
#include "kumquatbank/transport/HttpServer.h"

#include <cxxtools/http/responder.h>
#include <string>

namespace kumquatbank {

class HttpService;

/// Reads one request's body and has the service's handler answer it.
class HttpResponder : public cxxtools::http::Responder {
public:
    /// Largest accepted body, in bytes: a statement of 1 MB whose characters are escaped in JSON.
    static constexpr std::size_t maxBodyBytes = 2 * 1024 * 1024;

    explicit HttpResponder(HttpService& service);

    void beginRequest(
        cxxtools::net::TcpSocket& socket, std::istream& in, cxxtools::http::Request& request) override;
    std::size_t readBody(std::istream& in) override;
    void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override;
    void replyError(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply,
        const std::exception& error) override;

private:
    HttpService& m_service;
    std::string m_body;
    bool m_isTooLarge = false; ///< The body is skipped and answered with 413.
};

} // namespace kumquatbank
