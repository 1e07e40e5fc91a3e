#include "ProxyClient.h"

namespace kumquatbank::load {

namespace {

    // Time on top of the deadline in which a proxy must send its final response.
    constexpr Milliseconds responseGrace { 1000 };

} // namespace

ProxyClient::ProxyClient(std::vector<HostAddress> proxies, std::mt19937_64& random)
    : m_proxies(std::move(proxies))
    , m_random(random)
{
}

CallResult ProxyClient::call(const CallerRequest& request, bool isRepeated)
{
    m_last = pickProxy(isRepeated);
    auto& client = m_clients.try_emplace(m_last, m_proxies[m_last]).first->second;
    const auto timeout = request.deadline.remaining() + responseGrace;
    const auto start = Clock::now();
    const auto response
        = client.send({ "POST", "/v1/statement", {}, nlohmann::json(request).dump() }, timeout);
    CallResult result;
    if (response) {
        result = readResponse(*response, request.requestId);
    } else {
        result.measured.verdict = response.error().verdict;
        result.measured.isUnreachable = response.error().verdict == Verdict::NotRun;
    }
    result.measured.latency = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start);
    return result;
}

std::size_t ProxyClient::pickProxy(bool isRepeated)
{
    const auto count = m_proxies.size();
    if (!isRepeated || count == 1)
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    const auto step = std::uniform_int_distribution<std::size_t>(1, count - 1)(m_random);
    return (m_last + step) % count;
}

CallResult readResponse(const HttpResponse& response, const std::string& requestId)
{
    CallResult result;
    try {
        const auto json = nlohmann::json::parse(response.body);
        result.measured.verdict = parseVerdict(json.at("verdict").get<std::string>());
        if (json.at("requestId") != requestId)
            result.broken = "the response to " + requestId + " carries id " + json.at("requestId").dump();
        if (result.measured.verdict == Verdict::Answered) {
            result.answer = json.get<CallerAnswer>();
            result.measured.servedByReplica = result.answer->servedBy == ServedBy::Replica;
            if (response.status != 200)
                result.broken = "an answer to " + requestId + " has status " + std::to_string(response.status);
        } else if (const auto& error = json.at("error"); error.contains("retryAfterMs")) {
            result.retryAfter = Milliseconds(error.at("retryAfterMs").get<std::int64_t>());
        }
    } catch (const std::exception& error) {
        result = {};
        result.broken = "the response to " + requestId + " cannot be read: " + error.what();
    }
    // A response that is not this request's says nothing about this request.
    if (!result.broken.empty()) {
        result.measured.verdict = Verdict::MayHaveRun;
        result.answer.reset();
    }
    return result;
}

} // namespace kumquatbank::load
