#include "EmulatedStore.h"

#include <boost/url/parse.hpp>

namespace kumquatbank {

using Json = nlohmann::json;

namespace {

    /// Key of a spec that is sent as text; see putText().
    constexpr const char* specText = "specText";

    /// Limits of one page of a listing. A page has one object at least.
    constexpr std::size_t maxPageItems = 500;
    constexpr std::size_t maxPageBytes = 1 << 20;

    std::string objectText(const Json& object)
    {
        if (!object.contains(specText))
            return object.dump();
        return R"({"meta":)" + object["meta"].dump() + R"(,"spec":)" + object[specText].get_ref<const std::string&>() + R"(,"status":null})";
    }

    std::string joinTexts(const std::vector<std::string>& texts)
    {
        std::string joined;
        for (const auto& text : texts)
            joined += (joined.empty() ? "" : ",") + text;
        return "[" + joined + "]";
    }

    /// Answer that the listener replaces by closing the connection.
    HttpResponse lostAnswer() { return { HttpResponse::closeConnection, "" }; }

} // namespace

EmulatedStore::EmulatedStore(asio::io_context& io, const HostAddress& address)
    : m_io(io)
    , m_listener(io, address, [this](HttpRequest request) { return answer(std::move(request)); })
{
}

void EmulatedStore::listenAlso(const HostAddress& address, std::chrono::milliseconds delay)
{
    m_furtherListeners.push_back(std::make_unique<HttpListener>(m_io, address, [this, delay](HttpRequest request) { return answerLate(std::move(request), delay); }));
}

void EmulatedStore::store(const std::string& kind, const std::string& name, Json object)
{
    auto& meta = object["meta"];
    meta["Name"] = name;
    meta["Revision"] = ++m_revision;
    m_objects[kind][name] = object;
    m_events.push_back({ m_revision, kind, std::move(object), false });
    for (const auto& waiter : std::exchange(m_waiters, {}))
        waiter->wake();
}

void EmulatedStore::put(const std::string& kind, const std::string& name, const Json& spec)
{
    store(kind, name, { { "meta", { { "Finalizers", Json::array() } } }, { "spec", spec }, { "status", nullptr } });
}

void EmulatedStore::putText(const std::string& kind, const std::string& name, std::string spec)
{
    store(kind, name, { { "meta", { { "Finalizers", Json::array() } } }, { specText, std::move(spec) } });
}

void EmulatedStore::remove(const std::string& kind, const std::string& name)
{
    auto& objects = m_objects[kind];
    const auto it = objects.find(name);
    if (it == objects.end())
        return;
    m_events.push_back({ ++m_revision, kind, it->second, true });
    objects.erase(it);
    for (const auto& waiter : std::exchange(m_waiters, {}))
        waiter->wake();
}

void EmulatedStore::restore(const Copy& copy)
{
    m_objects = copy.objects;
    m_revision = copy.revision;
    m_firstRevision = std::min(m_firstRevision, m_revision + 1);
    std::erase_if(m_events, [this](const Event& event) { return event.revision > m_revision; });
    ++m_era;
    for (const auto& waiter : std::exchange(m_waiters, {}))
        waiter->wake();
}

Json EmulatedStore::get(const std::string& kind, const std::string& name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end())
        return {};
    const auto it = objects->second.find(name);
    return it == objects->second.end() ? Json() : it->second;
}

Task<HttpResponse> EmulatedStore::watch(std::string kind, std::uint64_t revision, std::chrono::milliseconds wait)
{
    const auto until = BootClock::now() + wait;
    const auto era = m_era;
    while (true) {
        if (era != m_era)
            co_return lostAnswer();
        if (revision + 1 < m_firstRevision || revision > m_revision)
            co_return HttpResponse { 410, "{}" };
        std::vector<std::string> events;
        for (const auto& event : m_events) {
            if (event.kind == kind && event.revision > revision)
                events.push_back(std::string(R"({"Deleted":)") + (event.isRemoved ? "true" : "false") + R"(,"Object":)" + objectText(event.object) + "}");
        }
        if (!events.empty() || BootClock::now() >= until)
            co_return HttpResponse { 200, R"({"events":)" + joinTexts(events) + R"(,"AsOf":)" + std::to_string(m_revision) + "}" };
        const auto waiter = std::make_shared<AutoResetEvent>(m_io);
        m_waiters.push_back(waiter);
        co_await waiter->wait(until);
    }
}

HttpResponse EmulatedStore::change(const std::string& method, const std::string& kind, const std::string& name, const std::string& body)
{
    const auto json = Json::parse(body, nullptr, false);
    const auto stored = get(kind, name);
    if (method == "DELETE") {
        remove(kind, name);
        return stored.is_null() ? HttpResponse { 404, "{}" } : HttpResponse { 200, objectText(stored) };
    }
    if (!json.is_object() || !json.contains("meta"))
        return { 400, "{}" };
    const auto target = method == "POST" ? json["meta"].value("Name", "") : name;
    const auto current = get(kind, target);
    if (method == "POST" && !current.is_null())
        return { 409, objectText(current) };
    if (method == "PUT" && current.is_null())
        return { 404, "{}" };
    const auto expected = json["meta"].find("Revision");
    if (method == "PUT" && expected != json["meta"].end() && *expected != current["meta"]["Revision"])
        return { 409, objectText(current) };
    store(kind, target, { { "meta", { { "Finalizers", Json::array() } } }, { "spec", json.value("spec", Json()) }, { "status", nullptr } });
    if (m_behaviour.answersToLose > 0) {
        if (--m_behaviour.answersToLose == 0 && m_behaviour.goesDownAfterLostAnswers)
            m_behaviour.isDown = true;
        return lostAnswer();
    }
    return { 200, objectText(get(kind, target)) };
}

Task<HttpResponse> EmulatedStore::answer(HttpRequest request)
{
    auto response = co_await process(std::move(request));
    response.headers["Store-Era"] = std::to_string(m_era);
    co_return response;
}

Task<HttpResponse> EmulatedStore::answerLate(HttpRequest request, std::chrono::milliseconds delay)
{
    co_await sleepFor(m_io, delay);
    co_return co_await answer(std::move(request));
}

Task<HttpResponse> EmulatedStore::process(HttpRequest request)
{
    ++m_calls;
    if (m_behaviour.isDown)
        co_return HttpResponse { 503, "{}" };
    const auto url = boost::urls::parse_origin_form(request.target);
    if (!url)
        co_return HttpResponse { 400, "{}" };
    std::vector<std::string> segments;
    for (const auto& segment : url->segments())
        segments.push_back(segment);
    if (segments.size() < 2 || segments[0] != "objects")
        co_return HttpResponse { 404, "{}" };
    const auto kind = segments[1];
    const std::string name = segments.size() > 2 ? segments[2] : "";
    if (request.method != "GET")
        co_return change(request.method, kind, name, request.body);
    if (!name.empty()) {
        const auto object = get(kind, name);
        co_return object.is_null() ? HttpResponse { 404, "{}" } : HttpResponse { 200, objectText(object) };
    }
    const auto parameters = url->params();
    const auto since = parameters.find("Watch");
    if (since != parameters.end()) {
        const auto wait = std::chrono::milliseconds(std::stoll(std::string((*parameters.find("WaitMs")).value)));
        const auto revision = std::stoull(std::string((*since).value));
        co_return co_await watch(kind, revision, wait);
    }
    const auto after = parameters.find("after");
    co_return listPage(m_objects[kind], after == parameters.end() ? std::string() : std::string((*after).value));
}

HttpResponse EmulatedStore::listPage(const std::map<std::string, Json>& objects, const std::string& after) const
{
    std::vector<std::string> items;
    std::size_t bytes = 0;
    auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
    for (; it != objects.end() && items.size() < maxPageItems; ++it) {
        auto text = objectText(it->second);
        if (!items.empty() && bytes + text.size() > maxPageBytes)
            break;
        bytes += text.size();
        items.push_back(std::move(text));
    }
    const auto* more = it == objects.end() ? "false" : "true";
    return { 200, R"({"items":)" + joinTexts(items) + R"(,"More":)" + more + R"(,"AsOf":)" + std::to_string(m_revision) + "}" };
}

} // namespace kumquatbank
