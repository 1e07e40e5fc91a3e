#include "kumquatbank/core/Failure.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace kumquatbank {

namespace {

    using CodeName = std::pair<FailureCode, std::string_view>;

    constexpr std::array<CodeName, 23> codeNames { {
        { FailureCode::BadRequest, "bad_request" },
        { FailureCode::UnknownEntry, "unknown_entry" },
        { FailureCode::UnknownDatabase, "unknown_database" },
        { FailureCode::UnknownTransaction, "unknown_transaction" },
        { FailureCode::ForeignToken, "foreign_token" },
        { FailureCode::Refused, "refused" },
        { FailureCode::DeadlinePassed, "deadline_passed" },
        { FailureCode::Unavailable, "unavailable" },
        { FailureCode::NotHolder, "not_holder" },
        { FailureCode::NotPrimary, "not_primary" },
        { FailureCode::TermMismatch, "term_mismatch" },
        { FailureCode::Behind, "behind" },
        { FailureCode::ClaimSuperseded, "claim_superseded" },
        { FailureCode::ConnectionLimit, "connection_limit" },
        { FailureCode::Leaving, "leaving" },
        { FailureCode::NoTransaction, "no_transaction" },
        { FailureCode::StatementError, "statement_error" },
        { FailureCode::Unreachable, "unreachable" },
        { FailureCode::ConnectionLost, "connection_lost" },
        { FailureCode::Timeout, "timeout" },
        { FailureCode::Conflict, "conflict" },
        { FailureCode::NotFound, "not_found" },
        { FailureCode::Internal, "internal" },
    } };

    tl::unexpected<Failure> makeFailure(Verdict verdict, FailureCode code, std::string message, Cause cause)
    {
        return tl::unexpected<Failure>(
            Failure { verdict, code, std::move(message), cause, {}, {}, std::nullopt });
    }

} // namespace

std::string_view failureCodeName(FailureCode code)
{
    const auto it = std::ranges::find(codeNames, code, &CodeName::first);
    return it == codeNames.end() ? "internal" : it->second;
}

std::optional<FailureCode> parseFailureCode(std::string_view name)
{
    const auto it = std::ranges::find(codeNames, name, &CodeName::second);
    if (it == codeNames.end())
        return std::nullopt;
    return it->first;
}

void to_json(nlohmann::json& json, const Failure& failure)
{
    json = { { "verdict", verdictName(failure.verdict) }, { "code", failureCodeName(failure.code) },
        { "message", failure.message }, { "cause", causeName(failure.cause) }, { "entry", failure.entry },
        { "owner", failure.owner } };
    if (failure.retryAfter)
        json["retryAfterMs"] = failure.retryAfter->count();
}

void from_json(const nlohmann::json& json, Failure& failure)
{
    failure.verdict = parseVerdict(json.value("verdict", ""));
    failure.code = parseFailureCode(json.value("code", "")).value_or(FailureCode::Internal);
    failure.message = json.value("message", "");
    failure.cause = parseCause(json.value("cause", "")).value_or(Cause::None);
    failure.entry = json.value("entry", "");
    failure.owner = json.value("owner", "");
    failure.retryAfter = json.contains("retryAfterMs")
        ? std::optional(Milliseconds(json.at("retryAfterMs").get<Milliseconds::rep>()))
        : std::nullopt;
}

tl::unexpected<Failure> notRun(FailureCode code, std::string message, Cause cause)
{
    return makeFailure(Verdict::NotRun, code, std::move(message), cause);
}

tl::unexpected<Failure> mayHaveRun(FailureCode code, std::string message, Cause cause)
{
    return makeFailure(Verdict::MayHaveRun, code, std::move(message), cause);
}

} // namespace kumquatbank
