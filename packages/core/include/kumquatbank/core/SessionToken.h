#pragma once

#include "kumquatbank/core/Failure.h"
#include "kumquatbank/core/LogPosition.h"

#include <map>
#include <string>

namespace kumquatbank {

/// The confirmed changes of one session: per database the greatest position a later read must cover.
/// The caller carries it, so any proxy can serve the session.
class SessionToken {
public:
    /// Token of a new session of @p deployment.
    explicit SessionToken(std::string deployment);

    /// Reads a token made by encode(); an empty text is a new session. A token that cannot be read gives
    /// NotRun/BadRequest, one of another deployment NotRun/ForeignToken.
    static Result<SessionToken> decode(const std::string& text, const std::string& deployment);

    /// Base64 text that the caller sends with its next request.
    std::string encode() const;

    /// Position that a read of @p database must cover; {0, 0} when the session wrote nothing there.
    LogPosition required(const std::string& database) const;

    /// Records a confirmed change; an older position never replaces a newer one.
    void advance(const std::string& database, const LogPosition& position);

private:
    std::string m_deployment;
    std::map<std::string, LogPosition> m_positions;
};

} // namespace kumquatbank
