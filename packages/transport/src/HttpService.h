#pragma once

#include "kumquatbank/core/CxxtoolsCompat.h"
#include "kumquatbank/transport/HttpServer.h"

#include <cxxtools/http/service.h>

namespace kumquatbank {

/// Gives every request of the server to one handler.
class HttpService : public cxxtools::http::Service {
public:
    explicit HttpService(HttpServer::Handler handler);

    HttpResponse handle(const HttpRequest& request) { return m_handler(request); }

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override;
    void releaseResponder(cxxtools::http::Responder* responder) override;

private:
    HttpServer::Handler m_handler;
};

} // namespace kumquatbank
