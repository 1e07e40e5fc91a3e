#include "kumquatbank/platform/PlatformClient.h"

#include "Backoff.h"
#include "CallBudget.h"
#include "HttpClientPool.h"
#include "kumquatbank/core/JsonText.h"

#include <atomic>
#include <mutex>
#include <numeric>

namespace kumquatbank {

namespace {

    /// Whether a call changes the platform's state, which decides the verdict when its response is lost.
    enum class CallEffect {
        Read,
        Write,
    };

    tl::unexpected<Failure> lost(CallEffect effect, FailureCode code, const std::string& message)
    {
        if (effect == CallEffect::Read)
            return notRun(code, message, Cause::PlatformDown);
        return mayHaveRun(code, message, Cause::PlatformDown);
    }

    Result<std::string> objectPath(const std::string& kind, const std::string& name)
    {
        if (kind.empty() || name.empty() || kind.find('/') != std::string::npos
            || name.find('/') != std::string::npos)
            return notRun(FailureCode::BadRequest, "'" + kind + "/" + name + "' is not an object's name");
        return "/v1/objects/" + kind + "/" + name;
    }

    HostNotice readNotice(const nlohmann::json& json)
    {
        const auto address = HostAddress::parse(json.at("address").get<std::string>());
        if (!address)
            throw std::invalid_argument(address.error().message);
        return { *address, json.at("place").get<std::string>(), json.at("state") == "leaving",
            json.at("role") == "endpoint" };
    }

} // namespace

class PlatformClient::Impl {
public:
    Impl(HostAddress platform, PlatformClientOptions options)
        : m_options(options)
        , m_pool(std::move(platform))
        , m_budget(options.maxCallsPerSecond)
        , m_backoff(options.minBackoff, options.maxBackoff, std::random_device()())
    {
    }

    /// Makes one call and reads its response with @p read, which may throw std::exception on bad JSON.
    template <typename Read>
    auto call(const HttpRequest& request, CallEffect effect, Milliseconds wait, Read read)
        -> Result<std::invoke_result_t<Read, const nlohmann::json&>>;

    std::atomic<std::uint64_t> callCount = 0;
    std::atomic<std::uint64_t> refusedCount = 0;

    bool isDown()
    {
        const std::lock_guard lock(m_mutex);
        return m_backoff.isFailing();
    }

private:
    Result<void> admit();
    void record(bool isSuccess, TimePoint startedAt);
    Result<nlohmann::json> send(const HttpRequest& request, CallEffect effect, Milliseconds wait);

    PlatformClientOptions m_options;
    HttpClientPool m_pool;
    std::mutex m_mutex;
    CallBudget m_budget;
    Backoff m_backoff;
};

Result<void> PlatformClient::Impl::admit()
{
    const auto now = Clock::now();
    const std::lock_guard lock(m_mutex);
    auto refusal = [&](FailureCode code, const char* message, Milliseconds retryAfter) {
        ++refusedCount;
        auto failure = notRun(code, message, Cause::PlatformDown);
        failure.value().retryAfter = retryAfter;
        return failure;
    };
    if (!m_backoff.allows(now))
        return refusal(FailureCode::Unavailable, "the platform failed a moment ago",
            std::chrono::ceil<Milliseconds>(m_backoff.retryAt() - now));
    if (!m_budget.take(now))
        return refusal(FailureCode::Refused, "this process's budget of platform calls is used up", Milliseconds(1000));
    ++callCount;
    return {};
}

void PlatformClient::Impl::record(bool isSuccess, TimePoint startedAt)
{
    const std::lock_guard lock(m_mutex);
    if (isSuccess)
        m_backoff.recordSuccess();
    else
        m_backoff.recordFailure(startedAt, Clock::now());
}

Result<nlohmann::json> PlatformClient::Impl::send(
    const HttpRequest& request, CallEffect effect, Milliseconds wait)
{
    constexpr int firstServerError = 500;
    constexpr int tooManyRequests = 429;
    if (const auto admitted = admit(); !admitted)
        return tl::unexpected<Failure>(admitted.error());
    const auto startedAt = Clock::now();
    const auto response = m_pool.send(request, m_options.timeout + wait);
    const bool isAnswered
        = response && response->status < firstServerError && response->status != tooManyRequests;
    record(isAnswered, startedAt);
    if (!response) {
        auto failure = response.error();
        failure.cause = Cause::PlatformDown;
        if (effect == CallEffect::Read)
            failure.verdict = Verdict::NotRun;
        return tl::unexpected<Failure>(std::move(failure));
    }
    const auto status = "the platform answered " + std::to_string(response->status);
    if (response->status == tooManyRequests)
        return notRun(FailureCode::Refused, status, Cause::PlatformDown);
    if (response->status >= firstServerError)
        return lost(effect, FailureCode::Unavailable, status);
    if (response->status == 404)
        return notRun(FailureCode::NotFound, request.path + " does not exist");
    if (response->status == 409)
        return notRun(FailureCode::Conflict, request.path + " has another version: " + response->body);
    if (response->status != 200)
        return notRun(FailureCode::BadRequest, status + ": " + response->body);
    auto json = JsonText::parseOrDiscard(response->body);
    if (!json.is_object())
        return lost(effect, FailureCode::ConnectionLost, "the platform's response is not a JSON object");
    return json;
}

template <typename Read>
auto PlatformClient::Impl::call(const HttpRequest& request, CallEffect effect, Milliseconds wait, Read read)
    -> Result<std::invoke_result_t<Read, const nlohmann::json&>>
{
    const auto response = send(request, effect, wait);
    if (!response)
        return tl::unexpected<Failure>(response.error());
    try {
        return read(*response);
    } catch (const std::exception& ex) {
        return lost(effect, FailureCode::ConnectionLost, std::string("the platform's response is malformed: ") + ex.what());
    }
}

PlatformClient::PlatformClient(HostAddress platform, PlatformClientOptions options)
    : m_impl(std::make_unique<Impl>(std::move(platform), options))
{
}

PlatformClient::~PlatformClient() = default;

Result<PlatformObject> PlatformClient::get(const std::string& kind, const std::string& name)
{
    const auto path = objectPath(kind, name);
    if (!path)
        return tl::unexpected<Failure>(path.error());
    return m_impl->call({ "GET", *path, {}, {} }, CallEffect::Read, Milliseconds(0), [&](const nlohmann::json& json) {
        return PlatformObject { kind, name, json.at("version").get<std::uint64_t>(),
            json.at("revision").get<std::uint64_t>(), false, json.at("value") };
    });
}

Result<ObjectList> PlatformClient::list(const std::string& kind)
{
    return m_impl->call(
        { "GET", "/v1/objects/" + kind, {}, {} }, CallEffect::Read, Milliseconds(0), [&](const nlohmann::json& json) {
            ObjectList list { json.at("revision").get<std::uint64_t>(),
                json.at("objects").get<std::vector<PlatformObject>>() };
            for (auto& object : list.objects)
                object.kind = kind;
            return list;
        });
}

Result<PlatformObject> PlatformClient::put(
    const std::string& kind, const std::string& name, const nlohmann::json& value, std::uint64_t expected)
{
    const auto path = objectPath(kind, name);
    if (!path)
        return tl::unexpected<Failure>(path.error());
    const auto body = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const HttpRequest request { "PUT", *path, { { "expected", std::to_string(expected) } }, body };
    return m_impl->call(request, CallEffect::Write, Milliseconds(0), [&](const nlohmann::json& json) {
        return PlatformObject { kind, name, json.at("version").get<std::uint64_t>(),
            json.at("revision").get<std::uint64_t>(), false, value };
    });
}

Result<void> PlatformClient::remove(const std::string& kind, const std::string& name, std::uint64_t expected)
{
    const auto path = objectPath(kind, name);
    if (!path)
        return tl::unexpected<Failure>(path.error());
    const HttpRequest request { "DELETE", *path, { { "expected", std::to_string(expected) } }, {} };
    const auto removed
        = m_impl->call(request, CallEffect::Write, Milliseconds(0), [](const nlohmann::json&) { return true; });
    return removed.map([](bool) {});
}

Result<WatchResult> PlatformClient::watch(
    std::uint64_t since, const std::vector<std::string>& kinds, Milliseconds wait)
{
    const auto joined = std::accumulate(kinds.begin(), kinds.end(), std::string(),
        [](const std::string& all, const std::string& kind) { return all.empty() ? kind : all + ',' + kind; });
    const HttpRequest request { "GET", "/v1/watch",
        { { "since", std::to_string(since) }, { "kinds", joined }, { "waitMs", std::to_string(wait.count()) } }, {} };
    return m_impl->call(request, CallEffect::Read, wait, [](const nlohmann::json& json) {
        return WatchResult { json.at("revision").get<std::uint64_t>(),
            json.at("changes").get<std::vector<PlatformObject>>(), json.at("compacted").get<bool>() };
    });
}

Result<HostList> PlatformClient::hosts()
{
    return m_impl->call(
        { "GET", "/v1/hosts", {}, {} }, CallEffect::Read, Milliseconds(0), [](const nlohmann::json& json) {
            HostList list;
            list.revision = json.at("revision").get<std::uint64_t>();
            for (const auto& host : json.at("hosts"))
                list.hosts.push_back(readNotice(host));
            return list;
        });
}

std::uint64_t PlatformClient::callCount() const { return m_impl->callCount; }

std::uint64_t PlatformClient::refusedCount() const { return m_impl->refusedCount; }

bool PlatformClient::isDown() const { return m_impl->isDown(); }

} // namespace kumquatbank
