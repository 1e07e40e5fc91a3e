#include "World.h"

#include <algorithm>
#include <memory>
#include <thread>

namespace review {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds work { 3 };
    constexpr milliseconds connectWork { 5 };
    constexpr milliseconds promoteTime { 1000 };
    constexpr milliseconds heartbeat { 1200 };
    constexpr milliseconds poll { 10 };
    /// A connection whose remote end is unreachable for longer is dropped.
    constexpr milliseconds unreachableLimit { 3000 };
    constexpr milliseconds sessionLimit { 120'000 };
    constexpr milliseconds answerLimit { 10'000 };
    constexpr int databasePort = 10;

    std::string takeWord(std::string& rest)
    {
        rest.erase(0, std::min(rest.find_first_not_of(' '), rest.size()));
        const auto end = std::min(rest.find(' '), rest.size());
        auto word = rest.substr(0, end);
        rest.erase(0, std::min(end + 1, rest.size()));
        return word;
    }

    std::string parameter(const std::string& target, const std::string& name)
    {
        const auto begin = target.find(name + "=");
        if (begin == std::string::npos)
            return {};
        const auto value = target.substr(begin + name.size() + 1);
        return value.substr(0, value.find('&'));
    }

    std::string revisionConflict(const Json& object) { return object.dump(); }

} // namespace

void Record::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    m_out << std::chrono::duration_cast<milliseconds>(Clock::now() - m_since).count() << ' ' << line << std::endl;
}

Store::Store(const std::string& ip, std::uint16_t port)
{
    listenOn(ip, port, [this](LineSocket& socket) { serveHttp(socket, [this](const HttpMessage& request) { return answer(request); }); });
}

void Store::change(const std::string& kind, const std::string& name, Json object)
{
    object["meta"]["Name"] = name;
    object["meta"]["Revision"] = ++m_revision;
    m_events.push_back({ m_revision, kind, object, false });
    m_objects[kind][name] = std::move(object);
    m_changed.notify_all();
}

void Store::put(const std::string& kind, const std::string& name, const Json& spec)
{
    const std::lock_guard lock(m_mutex);
    change(kind, name, { { "meta", { { "Created", 1 }, { "Finalizers", Json::array() }, { "Deleting", false } } }, { "spec", spec }, { "status", nullptr } });
}

void Store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects[kind].find(name);
    if (it == m_objects[kind].end())
        return;
    m_events.push_back({ ++m_revision, kind, it->second, true });
    m_objects[kind].erase(it);
    m_changed.notify_all();
}

HttpAnswer Store::answer(const HttpMessage& request)
{
    const std::string prefix = "/objects/";
    if (!request.target.starts_with(prefix))
        return { 404, "{}" };
    const auto path = request.target.substr(prefix.size(), request.target.find('?') - prefix.size());
    const auto kind = path.substr(0, path.find('/'));
    const auto name = kind.size() == path.size() ? std::string() : path.substr(kind.size() + 1);
    if (request.method != "GET")
        return write(kind, name, request);
    if (!name.empty()) {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects[kind].find(name);
        return it == m_objects[kind].end() ? HttpAnswer { 404, "{}" } : HttpAnswer { 200, it->second.dump() };
    }
    const auto since = parameter(request.target, "Watch");
    if (since.empty())
        return list(kind);
    return watch(kind, std::stoull(since), milliseconds(std::stoll("0" + parameter(request.target, "WaitMs"))));
}

HttpAnswer Store::list(const std::string& kind)
{
    const std::lock_guard lock(m_mutex);
    Json body { { "items", Json::array() }, { "More", false }, { "AsOf", m_revision } };
    for (const auto& [name, object] : m_objects[kind])
        body["items"].push_back(object);
    return { 200, body.dump() };
}

HttpAnswer Store::watch(const std::string& kind, std::uint64_t revision, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    const auto isNew = [&](const Event& event) { return event.revision > revision && event.kind == kind; };
    m_changed.wait_for(lock, wait, [&] { return std::ranges::any_of(m_events, isNew); });
    Json body { { "events", Json::array() }, { "AsOf", m_revision } };
    for (const auto& event : m_events) {
        if (isNew(event))
            body["events"].push_back({ { "Object", event.object }, { "Deleted", event.isDeleted } });
    }
    return { 200, body.dump() };
}

HttpAnswer Store::write(const std::string& kind, const std::string& name, const HttpMessage& request)
{
    const auto body = request.body.empty() ? Json::object() : Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    auto& objects = m_objects[kind];
    if (request.method == "DELETE") {
        const auto it = objects.find(name);
        if (it == objects.end())
            return { 404, "{}" };
        m_events.push_back({ ++m_revision, kind, it->second, true });
        objects.erase(it);
        m_changed.notify_all();
        return { 200, "{}" };
    }
    const auto target = request.method == "POST" ? body.at("meta").at("Name").get<std::string>() : name;
    const auto it = objects.find(target);
    if (request.method == "POST" && it != objects.end())
        return { 409, revisionConflict(it->second) };
    if (request.method == "PUT" && it == objects.end())
        return { 404, "{}" };
    const auto expected = body.at("meta").value("Revision", Json());
    if (it != objects.end() && !expected.is_null() && expected != it->second["meta"]["Revision"])
        return { 409, revisionConflict(it->second) };
    auto object = it == objects.end() ? Json { { "meta", { { "Created", 1 }, { "Deleting", false } } }, { "status", nullptr } } : it->second;
    object["meta"]["Finalizers"] = body.at("meta").value("Finalizers", Json::array());
    object["spec"] = body.value("spec", Json());
    change(kind, target, std::move(object));
    return { 200, objects.at(target).dump() };
}

struct Database::Session {
    std::string host;
    bool isStarted = false;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared; ///< Name to kind and shape.
    char state = 'I';
    bool isReadOnly = false;
    std::uint64_t term = 0;
    std::map<std::string, std::string> changes;
    int number = 0;
};

Database::Database(World& world, std::string id, std::uint16_t port)
    : m_world(world)
    , m_id(std::move(id))
    , m_port(port)
    , m_bornMs(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
{
    listenOn(m_world.ip(), m_port, [this](LineSocket& socket) { serve(socket); });
}

void Database::serve(LineSocket& socket)
{
    Session session;
    {
        const std::lock_guard lock(m_world.m_mutex);
        session.number = ++m_connections;
    }
    std::string line;
    while (socket.readLine(line, sessionLimit)) {
        if (!session.isStarted) {
            auto rest = line;
            takeWord(rest);
            takeWord(rest);
            session.host = takeWord(rest);
        }
        const auto heldSince = Clock::now();
        while (m_world.isCut(*this, session.host))
            std::this_thread::sleep_for(poll);
        if (Clock::now() - heldSince > unreachableLimit)
            return;
        const auto reply = session.isStarted ? query(session, line) : start(session, line);
        while (m_world.isCut(*this, session.host))
            std::this_thread::sleep_for(poll);
        if (!socket.write(reply) || !session.isStarted)
            return;
    }
}

std::string Database::start(Session& session, const std::string& line)
{
    auto rest = line;
    const auto word = takeWord(rest);
    const auto service = takeWord(rest);
    takeWord(rest);
    const auto id = takeWord(rest);
    if (word != "START" || service != World::service || (!id.empty() && id != m_id))
        return "ERR MISROUTED " + m_id + "\r\n";
    std::this_thread::sleep_for(connectWork);
    session.isStarted = true;
    const std::lock_guard lock(m_world.m_mutex);
    return "READY I " + position() + "\r\n";
}

std::string Database::query(Session& session, const std::string& line)
{
    auto rest = line;
    const auto word = takeWord(rest);
    if (word != "QUERY")
        return "ERR MALFORMED " + m_id + "\r\nREADY I -\r\n";
    const auto id = takeWord(rest);
    std::unique_lock lock(m_world.m_mutex);
    const auto result = run(session, id, rest, lock);
    if (id != "-" || (result.starts_with("ERR") && rest != "BEGIN"))
        m_world.record().write("database " + m_id + " connection " + std::to_string(session.number) + " of " + session.host + " gets '" + line + "' and answers '" + result.substr(0, result.find('\r')) + "' in state " + session.state);
    return result + "READY " + session.state + ' ' + position() + "\r\n";
}

bool Database::hasLostLead(const Session& session) const { return m_world.m_primary != m_id || m_world.m_term != session.term; }

std::size_t Database::applied() const
{
    if (m_world.m_primary == m_id)
        return m_log.size();
    const auto lag = m_world.m_disruptions[m_id].lag;
    const auto now = Clock::now();
    return static_cast<std::size_t>(std::ranges::count_if(m_log, [&](const Commit& commit) { return commit.receivedAt + lag <= now; }));
}

std::uint64_t Database::termAt(std::size_t n) const { return n == 0 ? 1 : m_log[n - 1].term; }

std::string Database::position() const { return std::to_string(termAt(applied())) + '.' + std::to_string(1000 + applied()); }

std::string Database::statusRow() const
{
    const auto lag = m_world.m_disruptions[m_id].lag.count();
    return "ROW " + std::string(m_world.m_primary == m_id ? "primary " : "replica ") + std::to_string(m_term) + ' ' + std::to_string(termAt(m_log.size())) + '.' + std::to_string(1000 + m_log.size()) + ' ' + std::to_string(m_term) + ' ' + std::to_string(lag) + " 0 1\r\nDONE -\r\n";
}

std::string Database::refuse(Session& session, const std::string& code)
{
    if (session.state == 'T')
        session.state = 'E';
    return "ERR " + code + ' ' + m_id + "\r\n";
}

std::string Database::run(Session& session, const std::string& id, std::string text, std::unique_lock<std::mutex>& lock)
{
    auto rest = text;
    auto word = takeWord(rest);
    if (word == "AFTER") {
        const auto wanted = takeWord(rest);
        const auto dot = wanted.find('.');
        const auto term = std::stoull(wanted.substr(0, dot));
        const auto number = std::stoull(wanted.substr(dot + 1));
        if (std::pair(termAt(applied()), std::uint64_t(1000 + applied())) < std::pair(std::uint64_t(term), std::uint64_t(number)))
            return refuse(session, "LAGGING");
        text = rest;
        word = takeWord(rest);
    }
    if (word == "STATUS" || word == "RESET" || word == "DEMOTE" || word == "PAUSE" || word == "RESUME")
        return runCommand(session, word, rest);
    const bool ends = word == "COMMIT" || word == "ROLLBACK";
    if (session.state == 'E' && !ends)
        return refuse(session, "MALFORMED");
    if (word == "ROLLBACK") {
        session.state = 'I';
        session.changes.clear();
        return "DONE -\r\n";
    }
    // Any statement of a plain transaction is refused once the lead is lost, except a COMMIT that has nothing to keep.
    const bool commitsNothing = word == "COMMIT" && session.changes.empty();
    if (session.state == 'T' && !session.isReadOnly && hasLostLead(session) && !commitsNothing) {
        const auto refusal = refuse(session, "READONLY");
        if (word == "COMMIT") {
            session.state = 'I';
            session.changes.clear();
        }
        return refusal;
    }
    if (word == "SET") {
        const auto name = takeWord(rest);
        session.values[name] = rest;
        return "DONE -\r\n";
    }
    if (word == "PREPARE") {
        const auto name = takeWord(rest);
        session.prepared[name] = rest;
        return "DONE -\r\n";
    }
    if (word == "DEALLOC") {
        session.prepared.erase(takeWord(rest));
        return "DONE -\r\n";
    }
    if (word == "BEGIN") {
        session.isReadOnly = rest == "READ";
        if (!session.isReadOnly && m_world.m_primary != m_id)
            return refuse(session, "READONLY");
        session.state = 'T';
        session.term = m_world.m_term;
        session.changes.clear();
        return "DONE -\r\n";
    }
    return runStatement(session, id, text, lock);
}

std::string Database::runCommand(Session& session, const std::string& word, const std::string& rest)
{
    if (word == "RESET") {
        session.values.clear();
        session.prepared.clear();
        return "DONE -\r\n";
    }
    const bool isPrimary = m_world.m_primary == m_id;
    if (word == "DEMOTE" && isPrimary && m_term < std::stoull(rest)) {
        m_world.m_primary.clear();
        m_world.announce(*this);
    }
    if (word == "PAUSE" && (isPrimary || std::stoull(rest) <= m_term))
        return refuse(session, "MALFORMED");
    if (word == "PAUSE" || word == "RESUME")
        m_isPaused = word == "PAUSE";
    return statusRow();
}

std::string Database::runStatement(Session& session, const std::string& id, const std::string& text, std::unique_lock<std::mutex>& lock)
{
    auto rest = text;
    const auto word = takeWord(rest);
    bool writes = word == "WRITE";
    std::string shape;
    if (word == "EXEC") {
        const auto it = session.prepared.find(takeWord(rest));
        if (it == session.prepared.end())
            return refuse(session, "NOSTMT");
        shape = it->second;
        writes = shape.starts_with("WRITE");
    }
    lock.unlock();
    std::this_thread::sleep_for(work);
    lock.lock();
    const auto signature = "DONE " + m_id + '.' + std::to_string(++m_signatures) + "\r\n";
    if (word == "COMMIT") {
        const bool wasOpen = session.state == 'T';
        session.state = 'I';
        auto changes = std::exchange(session.changes, {});
        if (!wasOpen)
            return refuse(session, "ABORTED");
        if (changes.empty())
            return signature;
        if (hasLostLead(session))
            return refuse(session, "READONLY");
        const auto refusal = commit(session, id, std::move(changes), lock);
        return refusal.empty() ? signature : refusal;
    }
    const auto item = takeWord(rest);
    if (writes) {
        if (session.state == 'T' && (session.isReadOnly || hasLostLead(session)))
            return refuse(session, "READONLY");
        if (session.state == 'T') {
            session.changes[item] = rest;
            return signature;
        }
        if (m_world.m_primary != m_id)
            return refuse(session, "READONLY");
        const auto refusal = commit(session, id, { { item, rest } }, lock);
        return refusal.empty() ? signature : refusal;
    }
    std::string value = "none";
    const auto n = applied();
    for (std::size_t i = 0; i < n; ++i) {
        if (const auto it = m_log[i].changes.find(item); it != m_log[i].changes.end())
            value = it->second;
    }
    if (const auto it = session.changes.find(item); it != session.changes.end())
        value = it->second;
    return "ROW " + value + "\r\n" + signature;
}

std::string Database::commit(Session& session, const std::string& id, std::map<std::string, std::string> changes, std::unique_lock<std::mutex>& lock)
{
    const Commit entry { m_term, 1001 + m_log.size(), id, std::move(changes), Clock::now() };
    const auto term = m_world.m_term;
    m_log.push_back(entry);
    m_world.replicate(entry);
    const auto received = [&] {
        return std::ranges::count_if(m_world.m_databases, [&](const auto& item) { return item.second.get() != this && item.second->m_log.size() >= entry.number - 1000 && item.second->m_log[entry.number - 1001].id == entry.id; });
    };
    while (received() < m_world.m_syncReplicas) {
        lock.unlock();
        std::this_thread::sleep_for(poll);
        lock.lock();
        if (m_world.m_primary != m_id || m_world.m_term != term)
            return refuse(session, "TIMEOUT");
    }
    return {};
}

World::World(std::string ip, std::uint16_t basePort, const std::string& recordFile)
    : m_ip(std::move(ip))
    , m_basePort(basePort)
    , m_record(recordFile)
    , m_store(m_ip, basePort)
{
    listenOn(m_ip, static_cast<std::uint16_t>(basePort + 1), [this](LineSocket& socket) { serveHttp(socket, [this](const HttpMessage& request) { return promote(request); }); });
}

void World::startDatabases(const std::vector<std::string>& ids)
{
    {
        const std::lock_guard lock(m_mutex);
        m_primary = ids.front();
        for (const auto& id : ids) {
            m_disruptions[id];
            const auto port = static_cast<std::uint16_t>(m_basePort + databasePort + static_cast<int>(m_databases.size()));
            m_databases[id] = std::make_unique<Database>(*this, id, port);
            announce(*m_databases[id]);
        }
    }
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(heartbeat);
            const std::lock_guard lock(m_mutex);
            for (const auto& [id, database] : m_databases)
                announce(*database);
        }
    }).detach();
}

void World::announce(Database& database)
{
    m_store.put("servers", database.m_id, { { "Service", service }, { "Address", m_ip + ":" + std::to_string(database.m_port) }, { "Zone", "z1" }, { "Version", "v1" }, { "Slots", 3 }, { "State", database.m_isDraining ? "draining" : "ready" }, { "ColdLeftMs", 0 }, { "DbRole", m_primary == database.m_id ? "primary" : "replica" }, { "Sequence", ++database.m_sequence }, { "born", database.m_bornMs } });
}

void World::writeConfig(int version, int maxConnections, int syncReplicas)
{
    m_syncReplicas = syncReplicas;
    const auto route = [](const char* host, const char* kind, int priority) {
        Json json { { "Name", std::string("r-") + host }, { "Host", host }, { "PathPrefix", "/" }, { "Kind", kind }, { "TimeoutMs", 800 }, { "TargetLatencyMs", 2000 }, { "Priority", priority }, { "Service", service }, { "MaxAttempts", 2 } };
        if (std::string(kind) != "primary")
            json["MaxStalenessMs"] = std::string(kind) == "bounded" ? 1500 : 2500;
        return json;
    };
    m_store.put("config", "main", { { "Version", version }, { "Routes", { route("orders", "primary", 0), route("proofs", "bounded", 1), route("tickets", "read_your_writes", 2) } }, { "Services", { { { "Name", service }, { "HealthPath", "/health" }, { "MaxConns", maxConnections }, { "Protocol", "h1" }, { "Tls", false }, { "SyncReplicas", syncReplicas } } } }, { "Limits", { { "TxIdleMs", 3000 } } } });
}

void World::replicate(const Commit& commit)
{
    for (const auto& [id, database] : m_databases) {
        if (id == m_primary || database->m_isPaused || m_disruptions[id].receivesNothing)
            continue;
        // A replica receives everything that it lacks, in order.
        const auto& log = m_databases.at(m_primary)->m_log;
        while (database->m_log.size() < commit.number - 1000) {
            database->m_log.push_back(log[database->m_log.size()]);
            database->m_log.back().receivedAt = Clock::now();
        }
    }
}

bool World::isCut(const Database& database, const std::string& host)
{
    const std::lock_guard lock(m_mutex);
    return m_disruptions[database.m_id].cutHosts.contains(host);
}

HttpAnswer World::promote(const HttpMessage& request)
{
    const auto body = Json::parse(request.body);
    const auto id = body.at("Id").get<std::string>();
    const auto token = std::stoull(request.token);
    std::unique_lock lock(m_mutex);
    const bool isRefused = token < m_newestToken || !m_databases.contains(id);
    m_record.write("platform gets promote " + id + " from " + request.holder + " with token " + request.token + (isRefused ? ": 409" : ": 200"));
    if (isRefused)
        return { 409, "{}" };
    m_newestToken = token;
    if (id == m_primary)
        return { 200, "{}" };
    lock.unlock();
    std::this_thread::sleep_for(promoteTime);
    lock.lock();
    lead(id);
    return { 200, "{}" };
}

void World::lead(const std::string& id)
{
    if (m_primary == id)
        return;
    m_primary = id;
    ++m_term;
    const auto& leader = m_databases.at(id)->m_log;
    for (const auto& [other, database] : m_databases) {
        if (database->m_log.size() > leader.size())
            database->m_log.resize(leader.size());
        database->m_isPaused = false;
        database->m_term = m_term;
        announce(*database);
    }
    m_record.write("platform: " + id + " leads term " + std::to_string(m_term));
}

std::string World::primary()
{
    const std::lock_guard lock(m_mutex);
    return m_primary;
}

bool World::waitForPromotion(const std::string& former, milliseconds limit)
{
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
        const auto now = primary();
        if (!now.empty() && now != former)
            return true;
        std::this_thread::sleep_for(poll);
    }
    return false;
}

void World::cut(const std::string& id, const std::set<std::string>& hosts)
{
    const std::lock_guard lock(m_mutex);
    m_disruptions[id].cutHosts = hosts;
    m_disruptions[id].cutSince = Clock::now();
    m_record.write("disruption: " + id + " is cut from " + std::to_string(hosts.size()) + " hosts");
}

void World::heal(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    m_disruptions[id].cutHosts.clear();
    m_record.write("disruption: the cut of " + id + " ends");
}

void World::stopReceiving(const std::string& id, bool stops)
{
    const std::lock_guard lock(m_mutex);
    m_disruptions[id].receivesNothing = stops;
    m_record.write("disruption: " + id + (stops ? " receives nothing" : " receives again"));
}

void World::setLag(const std::string& id, milliseconds lag)
{
    const std::lock_guard lock(m_mutex);
    m_disruptions[id].lag = lag;
}

void World::startDraining(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    m_databases.at(id)->m_isDraining = true;
    announce(*m_databases.at(id));
    m_record.write("disruption: " + id + " is draining");
}

bool Client::open(const std::string& ip, std::uint16_t port, const std::string& database)
{
    std::string line;
    const bool isOpen = m_socket.connect(ip, port) && m_socket.write("START " + database + " " + m_name + "\r\n") && m_socket.readLine(line, answerLimit) && line.starts_with("READY");
    m_world.record().write("client " + m_name + " opens a session on " + database + " at " + ip + ": " + line);
    return isOpen;
}

Client::Answer Client::ask(const std::string& text)
{
    Answer answer;
    const auto id = m_name + "-" + std::to_string(++m_number);
    if (!m_socket.write("QUERY " + id + " " + text + "\r\n"))
        return answer;
    std::string line;
    std::string all;
    while (m_socket.readLine(line, answerLimit)) {
        all += (all.empty() ? "" : " | ") + line;
        auto rest = line;
        const auto word = takeWord(rest);
        if (word == "ROW")
            answer.row = rest;
        else if (word == "DONE")
            answer.signature = rest;
        else if (word == "ERR")
            answer.code = takeWord(rest);
        if (word == "READY") {
            answer.state = takeWord(rest);
            answer.isComplete = true;
            break;
        }
    }
    m_world.record().write("client " + id + " sends '" + text + "' and gets '" + all + "'");
    return answer;
}

bool waitForProxies(const std::vector<std::string>& ips, std::uint16_t readyPort, milliseconds calm, milliseconds limit)
{
    const auto until = Clock::now() + limit;
    auto calmSince = Clock::now();
    while (Clock::now() < until) {
        const bool areReady = std::ranges::all_of(ips, [&](const std::string& ip) { return httpStatus(ip, readyPort, "/ready") == 200; });
        if (!areReady)
            calmSince = Clock::now();
        else if (Clock::now() - calmSince >= calm)
            return true;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

} // namespace review
