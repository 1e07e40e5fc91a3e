#include "kumquatbank/core/CallerRequest.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kumquatbank {

namespace {

    using KindName = std::pair<RequestKind, std::string_view>;

    constexpr std::array<KindName, 5> kindNames { {
        { RequestKind::Read, "read" },
        { RequestKind::Write, "write" },
        { RequestKind::Begin, "begin" },
        { RequestKind::Commit, "commit" },
        { RequestKind::Rollback, "rollback" },
    } };

    constexpr std::size_t maxNameBytes = 256;
    constexpr std::size_t maxStatementBytes = 1024 * 1024;
    constexpr Milliseconds maxDeadline { 10 * 60 * 1000 };

    constexpr std::array<std::string_view, 9> knownFields { "requestId", "entry", "database", "kind", "statement",
        "session", "deadlineMs", "idempotencyKey", "transaction" };

    tl::unexpected<Failure> badRequest(std::string message)
    {
        return notRun(FailureCode::BadRequest, std::move(message), Cause::BadRequest);
    }

    /// Reads text fields and remembers the first problem.
    class FieldReader {
    public:
        explicit FieldReader(const nlohmann::json& json)
            : m_json(json)
        {
        }

        std::string read(const std::string& field, std::size_t maxBytes, bool isRequired)
        {
            const auto it = m_json.find(field);
            if (it == m_json.end()) {
                if (isRequired)
                    report("field '" + field + "' is missing");
                return {};
            }
            if (!it->is_string()) {
                report("field '" + field + "' must be a string");
                return {};
            }
            auto text = it->get<std::string>();
            if (isRequired && text.empty())
                report("field '" + field + "' must not be empty");
            if (text.size() > maxBytes)
                report("field '" + field + "' is longer than " + std::to_string(maxBytes) + " bytes");
            return text;
        }

        const std::string& problem() const { return m_problem; }

    private:
        void report(std::string problem)
        {
            if (m_problem.empty())
                m_problem = std::move(problem);
        }

        const nlohmann::json& m_json;
        std::string m_problem;
    };

} // namespace

std::string_view requestKindName(RequestKind kind)
{
    const auto it = std::ranges::find(kindNames, kind, &KindName::first);
    return it == kindNames.end() ? "read" : it->second;
}

std::optional<RequestKind> parseRequestKind(std::string_view name)
{
    const auto it = std::ranges::find(kindNames, name, &KindName::second);
    if (it == kindNames.end())
        return std::nullopt;
    return it->first;
}

void to_json(nlohmann::json& json, const CallerRequest& request)
{
    json = { { "requestId", request.requestId }, { "entry", request.entry }, { "database", request.database },
        { "kind", requestKindName(request.kind) }, { "statement", request.statement },
        { "session", request.session }, { "deadlineMs", request.deadline.remaining().count() },
        { "idempotencyKey", request.idempotencyKey }, { "transaction", request.transaction } };
}

Result<CallerRequest> parseCallerRequest(const nlohmann::json& json)
{
    if (!json.is_object())
        return badRequest("the body must be a JSON object");
    for (const auto& [field, value] : json.items()) {
        if (std::ranges::find(knownFields, field) == knownFields.end())
            return badRequest("field '" + field + "' is unknown");
    }

    FieldReader reader(json);
    CallerRequest request;
    request.requestId = reader.read("requestId", maxNameBytes, true);
    request.entry = reader.read("entry", maxNameBytes, true);
    request.database = reader.read("database", maxNameBytes, true);
    const auto kind = parseRequestKind(reader.read("kind", maxNameBytes, true));
    const bool isStatement = kind == RequestKind::Read || kind == RequestKind::Write;
    request.statement = reader.read("statement", maxStatementBytes, isStatement);
    request.session = reader.read("session", maxStatementBytes, false);
    request.idempotencyKey = reader.read("idempotencyKey", maxNameBytes, false);
    request.transaction = reader.read("transaction", maxNameBytes, false);
    if (!reader.problem().empty())
        return badRequest(reader.problem());
    if (!kind)
        return badRequest("field 'kind' must be read, write, begin, commit or rollback");
    request.kind = *kind;
    const bool endsTransaction = request.kind == RequestKind::Commit || request.kind == RequestKind::Rollback;
    if (endsTransaction && request.transaction.empty())
        return badRequest("field 'transaction' is needed to end a transaction");
    if (request.kind == RequestKind::Begin && !request.transaction.empty())
        return badRequest("field 'transaction' must be absent when a transaction begins");

    const auto it = json.find("deadlineMs");
    if (it == json.end() || !it->is_number_integer())
        return badRequest("field 'deadlineMs' must be a whole number of milliseconds");
    const auto remaining = it->get<std::int64_t>();
    if (remaining <= 0)
        return notRun(FailureCode::DeadlinePassed, "the deadline passed before the request arrived", Cause::Deadline);
    if (remaining > maxDeadline.count())
        return badRequest("field 'deadlineMs' must be at most " + std::to_string(maxDeadline.count()));
    request.deadline = Deadline::after(Milliseconds(remaining));
    return request;
}

void to_json(nlohmann::json& json, const CallerAnswer& answer)
{
    json = { { "requestId", answer.requestId }, { "verdict", verdictName(Verdict::Answered) },
        { "result", answer.result }, { "session", answer.session },
        { "servedBy", answer.servedBy == ServedBy::Primary ? "primary" : "replica" },
        { "repeated", answer.repeated } };
    if (!answer.transaction.empty())
        json["transaction"] = answer.transaction;
}

void from_json(const nlohmann::json& json, CallerAnswer& answer)
{
    answer.requestId = json.at("requestId").get<std::string>();
    answer.result = json.at("result");
    answer.session = json.at("session").get<std::string>();
    answer.servedBy = json.at("servedBy") == "replica" ? ServedBy::Replica : ServedBy::Primary;
    answer.repeated = json.value("repeated", false);
    answer.transaction = json.value("transaction", "");
}

} // namespace kumquatbank
