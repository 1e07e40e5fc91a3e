#include "ForwardMessage.h"

#include <algorithm>
#include <iterator>

namespace kumquatbank {

namespace {

    using Json = nlohmann::json;

    Json encodeAddresses(const std::vector<HostAddress>& addresses)
    {
        Json json = Json::array();
        std::ranges::transform(
            addresses, std::back_inserter(json), [](const HostAddress& it) { return it.toString(); });
        return json;
    }

    std::vector<HostAddress> decodeAddresses(const Json& json)
    {
        std::vector<HostAddress> addresses;
        for (const auto& it : json) {
            if (const auto address = HostAddress::parse(it.get<std::string>()))
                addresses.push_back(*address);
        }
        return addresses;
    }

} // namespace

bool isUncertain(const ForwardReply& reply)
{
    return !reply.answer && reply.answer.error().verdict == Verdict::MayHaveRun;
}

Json encodeForward(const ForwardMessage& message)
{
    return { { "request", message.request }, { "hop", message.hopCount },
        { "unreachable", encodeAddresses(message.unreachable) }, { "declined", encodeAddresses(message.declined) } };
}

Result<ForwardMessage> decodeForward(const Json& json)
{
    try {
        auto request = parseCallerRequest(json.at("request"));
        if (!request)
            return tl::unexpected(request.error());
        return ForwardMessage { std::move(*request), json.at("hop").get<unsigned>(),
            decodeAddresses(json.at("unreachable")), decodeAddresses(json.at("declined")) };
    } catch (const Json::exception&) {
        return notRun(FailureCode::BadRequest, "the forwarded request could not be decoded", Cause::BadRequest);
    }
}

Json encodeReply(const ForwardReply& reply)
{
    Json json = { { "declined", reply.hasDeclined } };
    if (reply.answer)
        json["answer"] = *reply.answer;
    else
        json["failure"] = reply.answer.error();
    return json;
}

ForwardReply decodeReply(const Json& json)
{
    try {
        const bool hasDeclined = json.value("declined", false);
        if (json.contains("answer"))
            return { json.at("answer").get<CallerAnswer>(), hasDeclined };
        return { tl::unexpected(json.at("failure").get<Failure>()), hasDeclined };
    } catch (const Json::exception&) {
        return { mayHaveRun(FailureCode::Internal, "the holder's reply could not be decoded"), false };
    }
}

} // namespace kumquatbank
