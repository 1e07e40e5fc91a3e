#include "kumquatbank/core/HostAddress.h"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>

namespace kumquatbank {

namespace {

    bool isIpAddress(const std::string& ip)
    {
        in6_addr buf {};
        return inet_pton(AF_INET, ip.c_str(), &buf) == 1 || inet_pton(AF_INET6, ip.c_str(), &buf) == 1;
    }

} // namespace

Result<HostAddress> HostAddress::parse(const std::string& text)
{
    const auto invalid
        = [&] { return notRun(FailureCode::BadRequest, "'" + text + "' is not an address of the form ip:port"); };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return invalid();
    std::string ip = text.substr(0, colon);
    if (ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [parsedEnd, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc {} || parsedEnd != end || !isIpAddress(ip))
        return invalid();
    return HostAddress { std::move(ip), port };
}

std::string HostAddress::toString() const
{
    const bool isV6 = ip.find(':') != std::string::npos;
    return (isV6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

} // namespace kumquatbank
