#include "LimitMessage.h"

#include "kumquatbank/core/JsonText.h"

#include <nlohmann/json.hpp>

namespace kumquatbank {

using Json = nlohmann::json;

namespace {

    constexpr std::string_view requestPrefix = "LIMIT ";
    constexpr std::string_view replyPrefix = "LIMITREPLY ";

    std::string frame(std::string_view prefix, const Json& json) { return std::string(prefix) + json.dump() + "\r\n"; }

    /// Returns a discarded value if the line does not start with @p prefix or is not valid JSON.
    Json parse(std::string_view prefix, std::string_view line)
    {
        return line.starts_with(prefix) ? JsonText::parseOrDiscard(line.substr(prefix.size())) : Json(Json::value_t::discarded);
    }

    Json formatStamp(const LimitStamp& stamp) { return { stamp.run, stamp.time.time_since_epoch().count() }; }

    LimitStamp parseStamp(const Json& json)
    {
        return { json.at(0).get<std::uint64_t>(), BootTime(BootClock::duration(json.at(1).get<std::int64_t>())) };
    }

    std::map<std::string, double, std::less<>> parseTokens(const Json& json, const char* key)
    {
        return json.contains(key) ? json[key].get<std::map<std::string, double, std::less<>>>() : std::map<std::string, double, std::less<>>();
    }

} // namespace

bool LimitMessage::isRequest(std::string_view line) { return line.starts_with(requestPrefix); }

std::string LimitMessage::formatRequest(const LimitRequest& request)
{
    Json json { { "host", request.host }, { "hosts", request.hosts } };
    if (request.isExchange)
        json["exchange"] = true;
    if (request.isFirstLease)
        json["first"] = true;
    if (request.stamp)
        json["stamp"] = formatStamp(*request.stamp);
    if (!request.wants.empty())
        json["wants"] = request.wants;
    return frame(requestPrefix, json);
}

std::optional<LimitRequest> LimitMessage::parseRequest(std::string_view line)
{
    const auto json = parse(requestPrefix, line);
    if (!json.is_object())
        return std::nullopt;
    try {
        LimitRequest request;
        request.host = json.at("host").get<std::string>();
        request.hosts = json.at("hosts").get<int>();
        request.isExchange = json.value("exchange", false);
        request.isFirstLease = json.value("first", false);
        if (json.contains("stamp"))
            request.stamp = parseStamp(json["stamp"]);
        request.wants = parseTokens(json, "wants");
        return request;
    } catch (const Json::exception&) {
        return std::nullopt; // Sent by another version of the program; the caller logs it.
    }
}

std::string LimitMessage::formatReply(const LimitReply& reply)
{
    Json json { { "stamp", formatStamp(reply.stamp) }, { "hosts", reply.hosts } };
    if (reply.mayLendAtOnce)
        json["mayLendAtOnce"] = true;
    if (!reply.grants.empty())
        json["grants"] = reply.grants;
    for (const auto& [account, retryAfter] : reply.retryAfter)
        json["retryAfterMs"][account] = retryAfter.count();
    return frame(replyPrefix, json);
}

std::optional<LimitReply> LimitMessage::parseReply(std::string_view line)
{
    const auto json = parse(replyPrefix, line);
    if (!json.is_object())
        return std::nullopt;
    try {
        LimitReply reply;
        reply.stamp = parseStamp(json.at("stamp"));
        reply.hosts = json.at("hosts").get<int>();
        reply.mayLendAtOnce = json.value("mayLendAtOnce", false);
        reply.grants = parseTokens(json, "grants");
        if (json.contains("retryAfterMs")) {
            for (const auto& [account, ms] : json["retryAfterMs"].get<std::map<std::string, std::int64_t>>())
                reply.retryAfter[account] = durationOfMessage(ms);
        }
        return reply;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace kumquatbank
