#include "LoanMessage.h"

#include "kumquatbank/core/JsonText.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace kumquatbank {

using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr std::string_view requestPrefix = "LOAN ASK ";
    constexpr std::string_view replyPrefix = "LOAN SAY ";
    constexpr std::array<std::string_view, 5> replyNames { "queued", "granted", "refused", "leaving", "unreachable" };

    std::string frame(std::string_view prefix, const Json& json) { return std::string(prefix) + json.dump() + "\r\n"; }

    /// Returns a discarded value if the line does not start with @p prefix or is not valid JSON.
    Json parse(std::string_view prefix, std::string_view line)
    {
        return line.starts_with(prefix) ? JsonText::parseOrDiscard(line.substr(prefix.size())) : Json(Json::value_t::discarded);
    }

} // namespace

std::string LoanMessage::formatRequest(const LoanRequest& request)
{
    Json json { { "service", request.service }, { "primary", request.eligibility == Eligibility::PrimaryOnly }, { "priority", request.priority }, { "maxWaitMs", request.maxWait.count() }, { "answerTimeoutMs", request.answerTimeout.count() }, { "excluded", request.excluded }, { "waitsForEndpoint", request.waitsForEndpoint } };
    if (!request.account.empty())
        json["account"] = request.account;
    if (request.isRepeatable)
        json["repeatable"] = true;
    if (request.maxStaleness)
        json["maxStalenessMs"] = request.maxStaleness->count();
    return frame(requestPrefix, json);
}

std::optional<LoanRequest> LoanMessage::parseRequest(std::string_view line)
{
    const auto json = parse(requestPrefix, line);
    if (!json.is_object())
        return std::nullopt;
    try {
        LoanRequest request;
        request.service = json.at("service").get<std::string>();
        request.eligibility = json.at("primary").get<bool>() ? Eligibility::PrimaryOnly : Eligibility::Any;
        request.priority = json.at("priority").get<int>();
        request.maxWait = durationOfMessage(json.at("maxWaitMs").get<std::int64_t>());
        request.answerTimeout = durationOfMessage(json.at("answerTimeoutMs").get<std::int64_t>());
        request.excluded = json.at("excluded").get<std::set<std::string>>();
        request.waitsForEndpoint = json.at("waitsForEndpoint").get<bool>();
        request.account = json.value("account", std::string());
        request.isRepeatable = json.value("repeatable", false);
        // The account is written into a line of the database's protocol.
        if (std::ranges::any_of(request.account, [](char symbol) { return static_cast<unsigned char>(symbol) <= ' ' || symbol == '\x7f'; }))
            return std::nullopt;
        if (json.contains("maxStalenessMs"))
            request.maxStaleness = durationOfMessage(json["maxStalenessMs"].get<std::int64_t>());
        return request;
    } catch (const Json::exception&) {
        return std::nullopt; // Sent by another version of the program; the caller logs it.
    }
}

std::string LoanMessage::formatReply(const LoanReply& reply)
{
    Json json { { "kind", replyNames.at(static_cast<std::size_t>(reply.kind)) } };
    if (reply.kind == LoanReply::Kind::Granted)
        json["endpoint"] = reply.endpoint;
    if (reply.sample)
        json["sample"] = { { "primary", reply.sample->primary }, { "term", reply.sample->position.term }, { "position", reply.sample->position.position }, { "ageMs", reply.sample->age.count() } };
    if (reply.kind == LoanReply::Kind::Refused) {
        json["retryAfterMs"] = reply.retryAfter.count();
        json["reason"] = reply.reason;
    }
    return frame(replyPrefix, json);
}

LoanReply LoanMessage::parseReply(std::string_view line)
{
    const auto json = parse(replyPrefix, line);
    LoanReply reply;
    if (!json.is_object())
        return reply;
    try {
        const auto it = std::ranges::find(replyNames, json.at("kind").get<std::string>());
        if (it == replyNames.end())
            return reply;
        const auto kind = static_cast<LoanReply::Kind>(std::distance(replyNames.begin(), it));
        if (kind == LoanReply::Kind::Granted)
            reply.endpoint = json.at("endpoint").get<std::string>();
        if (json.contains("sample")) {
            const auto& sample = json["sample"];
            reply.sample = { sample.at("primary").get<std::string>(), { sample.at("term").get<Term>(), sample.at("position").get<std::uint64_t>() }, durationOfMessage(sample.at("ageMs").get<std::int64_t>()) };
        }
        if (kind == LoanReply::Kind::Refused) {
            reply.retryAfter = durationOfMessage(json.at("retryAfterMs").get<std::int64_t>());
            reply.reason = json.at("reason").get<std::string>();
        }
        reply.kind = kind;
    } catch (const Json::exception&) {
        reply.kind = LoanReply::Kind::Unreadable;
    }
    return reply;
}

} // namespace kumquatbank
