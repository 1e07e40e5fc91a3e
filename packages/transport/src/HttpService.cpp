#include "HttpService.h"

#include "HttpResponder.h"

#include <cxxtools/http/responder.h>

namespace kumquatbank {

HttpService::HttpService(HttpServer::Handler handler)
    : m_handler(std::move(handler))
{
}

cxxtools::http::Responder* HttpService::createResponder(const cxxtools::http::Request&)
{
    return new HttpResponder(*this);
}

void HttpService::releaseResponder(cxxtools::http::Responder* responder) { delete responder; }

} // namespace kumquatbank
