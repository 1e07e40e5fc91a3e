#pragma once

#include <map>
#include <string>

namespace kumquatbank {

/// A received or outgoing HTTP request; the query is decoded.
struct HttpRequest {
    std::string method; ///< "GET", "POST", "PUT" or "DELETE".
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query;
    std::string body;
};

/// An HTTP response.
struct HttpResponse {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
};

} // namespace kumquatbank
