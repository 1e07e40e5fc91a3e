#include "ProxyReader.h"

#include "kumquatbank/transport/HttpClient.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace kumquatbank {

namespace {

    constexpr Milliseconds readTimeout { 3000 };

    /// Enough to read 3,000 proxies in seconds without a burst of connections.
    constexpr std::size_t maxReaders = 16;

} // namespace

Result<nlohmann::json> readProxy(
    const ProxyTarget& proxy, const std::string& path, const std::map<std::string, std::string>& query)
{
    HttpClient client(proxy.address);
    auto fullQuery = query;
    if (!proxy.peer.empty())
        fullQuery["peer"] = proxy.peer;
    const auto response = client.send(HttpRequest { "GET", path, fullQuery, {} }, readTimeout);
    if (!response)
        return tl::unexpected(response.error());
    if (response->status != 200)
        return notRun(FailureCode::Refused, "status " + std::to_string(response->status));
    auto body = nlohmann::json::parse(response->body, nullptr, false);
    if (!body.is_object())
        return notRun(FailureCode::Internal, "the answer is not a JSON object");
    return body;
}

std::vector<ProxyAnswer> readProxies(const std::vector<ProxyTarget>& proxies, const std::string& path,
    const std::map<std::string, std::string>& query)
{
    std::vector<ProxyAnswer> answers;
    for (const auto& proxy : proxies)
        answers.push_back({ proxy, notRun(FailureCode::Unavailable, "not read") });
    std::atomic<std::size_t> next { 0 };
    {
        std::vector<std::jthread> readers;
        for (std::size_t n = 0; n < std::min(maxReaders, answers.size()); ++n) {
            readers.emplace_back([&] {
                for (auto index = next.fetch_add(1); index < answers.size(); index = next.fetch_add(1))
                    answers[index].body = readProxy(answers[index].target, path, query);
            });
        }
    }
    return answers;
}

std::vector<ProxyTarget> memberTargets(const HostAddress& seed, const nlohmann::json& state)
{
    std::vector<ProxyTarget> targets;
    for (const auto& member : state.value("members", nlohmann::json::array())) {
        if (member.value("state", "") == "dead")
            continue;
        if (const auto address = HostAddress::parse(member.value("callerAddress", "")))
            targets.push_back({ *address, {} });
        else if (const auto peer = member.value("host", ""); !peer.empty())
            targets.push_back({ seed, peer });
    }
    if (targets.empty())
        targets.push_back({ seed, {} });
    return targets;
}

} // namespace kumquatbank
