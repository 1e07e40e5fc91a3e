#include "kumquatbank/transport/transport.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <csignal>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

/// Test double of the platform: object API, watch, lagging host list and fault switches. State is in memory.

using namespace kumquatbank;
using nlohmann::json;

namespace {

constexpr std::size_t maxHistory = 10'000; // Older changes are compacted.
constexpr std::size_t maxValueBytes = 1024 * 1024;
constexpr std::uint64_t maxWaitMs = 120'000;

/// Failure that ends a request with a status.
struct RequestError {
    int status;
    std::string message;
};

/// Reads a query parameter as a whole number; 400 when it is missing or malformed.
std::uint64_t numberParameter(const HttpRequest& request, const std::string& name)
{
    const auto it = request.query.find(name);
    std::uint64_t number = 0;
    if (it == request.query.end())
        throw RequestError { 400, "query parameter '" + name + "' is missing" };
    const auto* end = it->second.data() + it->second.size();
    const auto [parsedEnd, ec] = std::from_chars(it->second.data(), end, number);
    if (ec != std::errc {} || parsedEnd != end)
        throw RequestError { 400, "query parameter '" + name + "' must be a whole number" };
    return number;
}

std::vector<std::string> splitText(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
        parts.push_back(part);
    return parts;
}

/// Versioned objects with one revision over all of them and a bounded history of changes. Thread-safe.
class ObjectStore {
public:
    json get(const std::string& kind, const std::string& name) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects.find({ kind, name });
        if (it == m_objects.end() || it->second["deleted"] == true)
            throw RequestError { 404, "no object " + kind + "/" + name };
        return it->second;
    }

    json list(const std::string& kind) const
    {
        const std::lock_guard lock(m_mutex);
        json objects = json::array();
        for (const auto& [key, object] : m_objects) {
            if (object["kind"] == kind && object["deleted"] == false)
                objects.push_back(object);
        }
        return { { "revision", m_revision }, { "objects", std::move(objects) } };
    }

    /// Writes a new version, or removes the object when @p isDeleted; 409 unless its version is @p expected.
    json write(
        const std::string& kind, const std::string& name, const json& value, bool isDeleted, std::uint64_t expected)
    {
        const std::lock_guard lock(m_mutex);
        auto& object = m_objects[{ kind, name }];
        const bool exists = !object.is_null() && object["deleted"] == false;
        const std::uint64_t current = exists ? object["version"].get<std::uint64_t>() : 0;
        if (current != expected)
            throw RequestError { 409, exists ? object.dump() : json { { "version", 0 } }.dump() };
        if (isDeleted && !exists)
            throw RequestError { 404, "no object " + kind + "/" + name };
        // Versions go on after a removal, so that an old expected version never matches a new object.
        const auto version = object.is_null() ? 1 : object["version"].get<std::uint64_t>() + 1;
        object = { { "kind", kind }, { "name", name }, { "version", version }, { "revision", ++m_revision },
            { "deleted", isDeleted }, { "value", isDeleted ? json() : value } };
        m_history.push_back(object);
        if (m_history.size() > maxHistory)
            m_history.pop_front();
        m_hasChanged.notify_all();
        return { { "version", version }, { "revision", m_revision } };
    }

    /// Changes after @p since, as soon as there are any, at @p deadline, or when @p isCancelled says so.
    json watch(std::uint64_t since, const std::set<std::string>& kinds, const Deadline& deadline,
        const std::atomic<bool>& isCancelled) const
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            const auto oldestKnown = m_revision - m_history.size();
            if (since < oldestKnown || since > m_revision)
                return { { "revision", m_revision }, { "changes", json::array() }, { "compacted", true } };
            json changes = json::array();
            for (std::size_t n = since - oldestKnown; n < m_history.size(); ++n) {
                if (kinds.contains(m_history[n]["kind"].get<std::string>()))
                    changes.push_back(m_history[n]);
            }
            if (!changes.empty() || deadline.hasPassed() || isCancelled)
                return { { "revision", m_revision }, { "changes", std::move(changes) }, { "compacted", false } };
            m_hasChanged.wait_until(lock, deadline.at());
        }
    }

    /// Ends every watch whose flag of cancellation is set.
    void wakeWatches() const
    {
        const std::lock_guard lock(m_mutex);
        m_hasChanged.notify_all();
    }

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_hasChanged;
    std::map<std::pair<std::string, std::string>, json> m_objects; ///< Removed objects stay, marked as deleted.
    std::deque<json> m_history; ///< The last changes, one for each revision.
    std::uint64_t m_revision = 0;
};

/// Host lists with the time from which they are true. Thread-safe.
class HostHistory {
public:
    void set(json hosts)
    {
        const std::lock_guard lock(m_mutex);
        m_lists.push_back({ Clock::now(), std::move(hosts), ++m_revision });
        constexpr std::size_t maxLists = 1000;
        if (m_lists.size() > maxLists)
            m_lists.pop_front();
    }

    /// The list as it was @p lag ago; the oldest known one before that.
    json read(Milliseconds lag) const
    {
        const std::lock_guard lock(m_mutex);
        const auto isVisible = [limit = Clock::now() - lag](const auto& list) { return list.since <= limit; };
        const auto it = std::find_if(m_lists.rbegin(), m_lists.rend(), isVisible);
        if (it == m_lists.rend())
            return { { "revision", 0 }, { "hosts", json::array() } };
        return { { "revision", it->revision }, { "hosts", it->hosts } };
    }

private:
    struct HostList {
        TimePoint since;
        json hosts;
        std::uint64_t revision;
    };

    mutable std::mutex m_mutex;
    std::deque<HostList> m_lists;
    std::uint64_t m_revision = 0;
};

/// Answers the requests of all callers and applies the faults.
class PlatformStandin {
public:
    HttpResponse handle(const HttpRequest& request)
    {
        try {
            return { 200, answer(request).dump(), "application/json" };
        } catch (const RequestError& error) {
            // The body of a conflict is the current object.
            const auto body = error.status == 409 ? error.message : json { { "error", error.message } }.dump();
            return { error.status, body, "application/json" };
        } catch (const std::exception& ex) {
            return { 400, json { { "error", ex.what() } }.dump(), "application/json" };
        }
    }

    void cancelWatches()
    {
        m_isDown = true;
        m_store.wakeWatches();
    }

private:
    json answer(const HttpRequest& request)
    {
        if (request.path == "/counters" && request.method == "GET")
            return readCounters();
        if (request.path == "/faults" && request.method == "POST")
            return setFaults(json::parse(request.body));
        if (request.path == "/hosts" && request.method == "POST")
            return setHosts(json::parse(request.body));
        if (m_isDown) {
            count("refused_while_down");
            throw RequestError { 503, "the platform is down" };
        }
        std::this_thread::sleep_for(Milliseconds(m_slowMs));
        return answerApi(request);
    }

    json answerApi(const HttpRequest& request)
    {
        if (request.path == "/v1/hosts" && request.method == "GET") {
            count("hosts");
            return m_hosts.read(Milliseconds(m_hostLagMs));
        }
        if (request.path == "/v1/watch" && request.method == "GET")
            return watch(request);
        const auto parts = splitText(request.path, '/');
        if (parts.size() < 4 || parts.size() > 5 || parts[1] != "v1" || parts[2] != "objects")
            throw RequestError { 404, "no such path" };
        if (!std::set<std::string> { "entry", "database", "causes" }.contains(parts[3]))
            throw RequestError { 400, "kind '" + parts[3] + "' must be entry, database or causes" };
        if (parts.size() == 4 && request.method == "GET") {
            count("list");
            return m_store.list(parts[3]);
        }
        if (parts.size() == 4)
            throw RequestError { 400, "a kind can only be listed" };
        if (request.method == "GET") {
            count("get");
            return m_store.get(parts[3], parts[4]);
        }
        return write(request, parts[3], parts[4]);
    }

    json write(const HttpRequest& request, const std::string& kind, const std::string& name)
    {
        const bool isDeleted = request.method == "DELETE";
        if (!isDeleted && request.method != "PUT")
            throw RequestError { 400, "method " + request.method + " is not supported" };
        count(isDeleted ? "delete" : "put");
        if (request.body.size() > maxValueBytes)
            throw RequestError { 413, "the value exceeds 1 MB" };
        const auto value = isDeleted ? json() : json::parse(request.body);
        if (!isDeleted && !value.is_object())
            throw RequestError { 400, "the value must be a JSON object" };
        const auto result = m_store.write(kind, name, value, isDeleted, numberParameter(request, "expected"));
        // The write has taken effect; now its answer may get lost.
        int left = m_loseAnswers;
        while (left > 0) {
            if (m_loseAnswers.compare_exchange_weak(left, left - 1)) {
                count("lost_answers");
                throw RequestError { 500, "the answer was lost" };
            }
        }
        return result;
    }

    json watch(const HttpRequest& request)
    {
        count("watch");
        const auto it = request.query.find("kinds");
        if (it == request.query.end())
            throw RequestError { 400, "query parameter 'kinds' is missing" };
        const auto kinds = splitText(it->second, ',');
        const auto wait = Milliseconds(std::min(numberParameter(request, "waitMs"), maxWaitMs));
        const auto since = numberParameter(request, "since");
        ++m_pendingWatches;
        auto result = m_store.watch(since, { kinds.begin(), kinds.end() }, Deadline::after(wait), m_isDown);
        --m_pendingWatches;
        if (m_isDown)
            throw RequestError { 503, "the platform is down" };
        return result;
    }

    json setFaults(const json& faults)
    {
        const auto read = [&](const char* name, int current) {
            const int value = faults.value(name, current);
            if (value < 0)
                throw RequestError { 400, std::string(name) + " must not be negative" };
            return value;
        };
        const int slowMs = read("slowMs", m_slowMs);
        const int loseAnswers = read("loseAnswers", m_loseAnswers);
        const int hostLagMs = read("hostLagMs", m_hostLagMs);
        m_isDown = faults.value("down", m_isDown.load());
        m_slowMs = slowMs;
        m_loseAnswers = loseAnswers;
        m_hostLagMs = hostLagMs;
        m_store.wakeWatches();
        return { { "down", m_isDown.load() }, { "slowMs", slowMs }, { "loseAnswers", loseAnswers },
            { "hostLagMs", hostLagMs } };
    }

    json setHosts(const json& body)
    {
        const auto& hosts = body.at("hosts");
        for (const auto& host : hosts) {
            const auto address = HostAddress::parse(host.at("address").get<std::string>());
            if (!address)
                throw RequestError { 400, address.error().message };
            host.at("place").get_ref<const std::string&>();
            if (host.at("state") != "live" && host.at("state") != "leaving")
                throw RequestError { 400, "state must be live or leaving" };
            if (host.at("role") != "proxy" && host.at("role") != "endpoint")
                throw RequestError { 400, "role must be proxy or endpoint" };
        }
        m_hosts.set(hosts);
        return { { "hosts", hosts.size() } };
    }

    json readCounters() const
    {
        const std::lock_guard lock(m_countersMutex);
        json counters = m_counters;
        counters["pending_watches"] = m_pendingWatches.load();
        return counters;
    }

    void count(const std::string& type)
    {
        const std::lock_guard lock(m_countersMutex);
        ++m_counters[type];
    }

    ObjectStore m_store;
    HostHistory m_hosts;
    std::atomic<bool> m_isDown = false;
    std::atomic<int> m_slowMs = 0;
    std::atomic<int> m_loseAnswers = 0;
    std::atomic<int> m_hostLagMs = 0;
    std::atomic<int> m_pendingWatches = 0;
    mutable std::mutex m_countersMutex;
    std::map<std::string, std::uint64_t> m_counters;
};

/// Serves until SIGTERM or SIGINT. @return the exit code.
int run(const HostAddress& address)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr); // Inherited by the server's threads.
    PlatformStandin standin;
    constexpr unsigned maxThreads = 512; // A pending watch occupies one.
    HttpServer server(address, { 64, maxThreads }, [&](const HttpRequest& request) { return standin.handle(request); });
    if (const auto started = server.start(); !started) {
        std::cerr << started.error().message << '\n';
        return 1;
    }
    std::cout << "listening on " << address.toString() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    standin.cancelWatches();
    server.stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("platform_standin", "Test double of the platform's object API");
    options.add_options()("address", "ip:port to listen on", cxxopts::value<std::string>())("help", "Print this text");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help() << '\n';
            return 0;
        }
        const auto address = HostAddress::parse(arguments["address"].as<std::string>());
        if (address)
            return run(*address);
        std::cerr << address.error().message << '\n';
    } catch (const std::exception& ex) {
        std::cerr << ex.what() << '\n';
    }
    return 2;
}
