#include "StatementService.h"
#include "kumquatbank/core/JsonText.h"

#include <exception>

namespace kumquatbank {

namespace {

    using Json = nlohmann::json;

    int httpStatus(const Failure& failure)
    {
        switch (failure.code) {
        case FailureCode::BadRequest:
        case FailureCode::ForeignToken:
            return 400;
        case FailureCode::UnknownEntry:
        case FailureCode::UnknownDatabase:
        case FailureCode::UnknownTransaction:
        case FailureCode::NoTransaction:
            return 404;
        case FailureCode::StatementError:
            return 422;
        case FailureCode::Refused:
            return 429;
        case FailureCode::ConnectionLost:
            return 502;
        case FailureCode::DeadlinePassed:
        case FailureCode::Timeout:
            return 504;
        case FailureCode::Internal:
            return 500;
        default:
            return 503;
        }
    }

    HttpResponse failureResponse(const std::string& requestId, const Failure& failure)
    {
        Json error = failure;
        error.erase("verdict");
        const Json body
            = { { "requestId", requestId }, { "verdict", verdictName(failure.verdict) }, { "error", error } };
        return { httpStatus(failure), body.dump(-1, ' ', false, Json::error_handler_t::replace) };
    }

    std::string requestIdOf(const Json& json)
    {
        const bool hasId = json.is_object() && json.contains("requestId") && json.at("requestId").is_string();
        return hasId ? json.at("requestId").get<std::string>() : std::string();
    }

} // namespace

/// Counts a request as in progress for the lifetime of the object.
class StatementService::Progress {
public:
    explicit Progress(StatementService& service)
        : m_service(service)
    {
        const std::lock_guard lock(m_service.m_mutex);
        ++m_service.m_inProgress;
    }

    ~Progress()
    {
        const std::lock_guard lock(m_service.m_mutex);
        if (--m_service.m_inProgress == 0)
            m_service.m_idle.notify_all();
    }

    Progress(const Progress&) = delete;
    Progress& operator=(const Progress&) = delete;

private:
    StatementService& m_service;
};

StatementService::StatementService(
    RequestResolver& resolver, ForwardingRouter& router, HolderService& holder, ServiceMetrics& metrics)
    : m_resolver(resolver)
    , m_router(router)
    , m_holder(holder)
    , m_metrics(metrics)
{
}

HttpResponse StatementService::serve(const std::string& body)
{
    const Progress progress(*this);
    const auto json = JsonText::parseOrDiscard(body);
    const auto requestId = requestIdOf(json);
    try {
        const auto answer = run(json);
        if (!answer)
            return failureResponse(requestId, answer.error());
        return { 200, Json(*answer).dump(-1, ' ', false, Json::error_handler_t::replace) };
    } catch (const std::exception& e) {
        return failureResponse(requestId, mayHaveRun(FailureCode::Internal, e.what()).value());
    }
}

Result<CallerAnswer> StatementService::run(const Json& json)
{
    const auto start = Clock::now();
    // 1. Parse and validate the request.
    const auto request = parseCallerRequest(json);
    if (!request)
        return tl::unexpected(request.error());
    // 2. Look up its catalogue entry, database, session and transaction.
    const auto resolved = m_resolver.resolve(*request);
    if (!resolved)
        return tl::unexpected(resolved.error());
    // 3. Forward it to the holder of the database, which does admission, routing and execution.
    auto answer = m_router.route(*resolved);
    // 4. Record its metrics.
    m_metrics.recordRequest(*resolved->entry, *request, answer, Clock::now() - start);
    return answer;
}

Json StatementService::serveForwarded(const Json& body)
{
    const Progress progress(*this);
    try {
        const auto message = decodeForward(body);
        if (!message)
            return encodeReply({ tl::unexpected(message.error()) });
        const auto resolved = m_resolver.resolve(message->request);
        if (!resolved)
            return encodeReply({ tl::unexpected(resolved.error()) });
        return encodeReply(m_holder.run(*message, *resolved));
    } catch (const std::exception& e) {
        return encodeReply({ mayHaveRun(FailureCode::Internal, e.what()) });
    }
}

void StatementService::waitUntilIdle()
{
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_inProgress == 0; });
}

std::size_t StatementService::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_inProgress;
}

} // namespace kumquatbank
