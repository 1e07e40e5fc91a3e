#include "kumquatbank/core/SessionToken.h"

#include "kumquatbank/core/CxxtoolsCompat.h"
#include "kumquatbank/core/JsonText.h"

#include <algorithm>
#include <cxxtools/base64codec.h>
#include <exception>
#include <nlohmann/json.hpp>

namespace kumquatbank {

namespace {

    // A session touches few databases; a longer token is not one of ours.
    constexpr std::size_t maxTokenBytes = 16 * 1024;

} // namespace

SessionToken::SessionToken(std::string deployment)
    : m_deployment(std::move(deployment))
{
}

Result<SessionToken> SessionToken::decode(const std::string& text, const std::string& deployment)
{
    SessionToken token(deployment);
    if (text.empty())
        return token;
    if (text.size() > maxTokenBytes)
        return notRun(FailureCode::BadRequest, "session token is longer than 16 KiB", Cause::BadRequest);
    try {
        const auto json = JsonText::parseOrDiscard(cxxtools::Base64Codec::decode(text));
        const auto origin = json.at("d").get<std::string>();
        if (origin != deployment)
            return notRun(FailureCode::ForeignToken,
                "session token belongs to deployment '" + origin + "', not '" + deployment + "'",
                Cause::BadRequest);
        token.m_positions = json.at("p").get<std::map<std::string, LogPosition>>();
    } catch (const std::exception&) {
        return notRun(FailureCode::BadRequest, "session token cannot be read", Cause::BadRequest);
    }
    return token;
}

std::string SessionToken::encode() const
{
    return cxxtools::Base64Codec::encode(
        nlohmann::json { { "d", m_deployment }, { "p", m_positions } }.dump());
}

LogPosition SessionToken::required(const std::string& database) const
{
    const auto it = m_positions.find(database);
    return it == m_positions.end() ? LogPosition {} : it->second;
}

void SessionToken::advance(const std::string& database, const LogPosition& position)
{
    auto& known = m_positions[database];
    known = std::max(known, position);
}

} // namespace kumquatbank
