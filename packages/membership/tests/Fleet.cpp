#include "Fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char** environ; // NOLINT(readability-redundant-declaration): no header declares it everywhere

namespace kumquatbank {

namespace {

    constexpr unsigned serverThreads = 16;

    PlatformClientOptions platformOptions()
    {
        PlatformClientOptions options;
        options.maxBackoff = Milliseconds(1000); // An hour of outage shortened to seconds.
        return options;
    }

} // namespace

bool waitFor(Milliseconds limit, const std::function<bool()>& condition)
{
    const auto deadline = Deadline::after(limit);
    while (!condition()) {
        if (deadline.hasPassed())
            return false;
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return true;
}

PlatformProcess::PlatformProcess(std::uint16_t port)
    : m_address { "127.0.0.1", port }
{
    std::string program = PLATFORM_STANDIN;
    std::string option = "--address";
    std::string value = m_address.toString();
    char* arguments[] = { program.data(), option.data(), value.data(), nullptr };
    if (posix_spawn(&m_processId, program.c_str(), nullptr, nullptr, arguments, environ) != 0)
        throw std::runtime_error("cannot start " + program);
    if (!waitFor(Milliseconds(5000), [this] { return HttpClient(m_address).send({ "GET", "/counters", {}, {} }, Milliseconds(500)).has_value(); }))
        throw std::runtime_error("the platform test double does not answer");
}

PlatformProcess::~PlatformProcess()
{
    ::kill(m_processId, SIGKILL);
    waitpid(m_processId, nullptr, 0);
}

nlohmann::json PlatformProcess::send(const std::string& method, const std::string& path, const nlohmann::json& body,
    std::map<std::string, std::string> query)
{
    const auto answer = HttpClient(m_address).send(
        { method, path, std::move(query), body.is_null() ? std::string() : body.dump() }, Milliseconds(2000));
    if (!answer)
        throw std::runtime_error(path + ": " + answer.error().message);
    return answer->body.empty() ? nlohmann::json() : nlohmann::json::parse(answer->body);
}

void PlatformProcess::putEntry(const std::string& name, unsigned maxConcurrent)
{
    const nlohmann::json current = send("GET", "/v1/objects/entry/" + name);
    const nlohmann::json value = { { "name", name }, { "owner", "clerks" }, { "class", "write" }, { "rank", 1 },
        { "service", "zapisnik-1" }, { "maxConcurrent", maxConcurrent }, { "floorPercent", 10 },
        { "maxQueueMs", 1000 }, { "repeatable", false }, { "changeId", "test" } };
    send("PUT", "/v1/objects/entry/" + name, value, { { "expected", std::to_string(current.value("version", 0)) } });
}

void PlatformProcess::removeEntry(const std::string& name)
{
    const nlohmann::json current = send("GET", "/v1/objects/entry/" + name);
    send("DELETE", "/v1/objects/entry/" + name, nullptr, { { "expected", std::to_string(current.value("version", 0)) } });
}

void PlatformProcess::setHosts(const nlohmann::json& hosts) { send("POST", "/hosts", hosts); }

void PlatformProcess::setFaults(const nlohmann::json& faults) { send("POST", "/faults", faults); }

std::uint64_t PlatformProcess::calls()
{
    const nlohmann::json counters = send("GET", "/counters");
    return counters.value("watch", 0U) + counters.value("list", 0U) + counters.value("hosts", 0U)
        + counters.value("refused_while_down", 0U);
}

void Network::setSide(const HostAddress& host, int side)
{
    const std::lock_guard lock(m_mutex);
    m_sides[host] = side;
}

void Network::heal()
{
    const std::lock_guard lock(m_mutex);
    m_sides.clear();
}

bool Network::isCut(const HostAddress& a, const HostAddress& b) const
{
    const std::lock_guard lock(m_mutex);
    const auto sideOf = [this](const HostAddress& it) { return m_sides.contains(it) ? m_sides.at(it) : 0; };
    return sideOf(a) != sideOf(b);
}

TestProcess::TestProcess(MembershipOptions options, const HostAddress& platformAddress, Network& network)
    : platform(platformAddress, platformOptions())
    , membership(options, catalogue, peers, platform)
    , m_identity(options.self)
    , m_network(network)
    , m_server(options.self.address, serverThreads,
          [this, &network, timeout = options.probeTimeout](const PeerMessage& message) -> nlohmann::json {
              const Milliseconds tooLate = timeout + Milliseconds(100);
              if (network.isCut(message.from.address, m_identity.address)) {
                  std::this_thread::sleep_for(tooLate);
                  return { { "error", "cut" } };
              }
              nlohmann::json answer = membership.handle(message);
              if (network.takeLostAnswer())
                  std::this_thread::sleep_for(tooLate);
              return answer;
          })
{
    network.setSide(m_identity.address, 0);
    if (const auto started = m_server.start(); !started)
        throw std::runtime_error(started.error().message);
    membership.start();
}

void TestProcess::kill()
{
    if (!std::exchange(m_isRunning, false))
        return;
    // The threads take up to two seconds to end; what they send until then must not look alive.
    m_network.setSide(m_identity.address, m_identity.address.port);
    m_server.stop();
    membership.stop();
}

std::size_t TestProcess::count(MemberState state) const
{
    const std::vector<Member> members = membership.members();
    return static_cast<std::size_t>(std::ranges::count(members, state, &Member::state));
}

std::optional<MemberState> TestProcess::stateOf(const HostAddress& host) const
{
    for (const Member& it : membership.members()) {
        if (it.identity.address == host)
            return it.state;
    }
    return std::nullopt;
}

unsigned TestProcess::limitOf(const std::string& entry) const
{
    const auto found = catalogue.findEntry(entry);
    return found ? found->maxConcurrent.value_or(0) : 0;
}

Fleet::Fleet(
    std::uint16_t firstPort, std::size_t size, const HostAddress& platform, const MembershipOptions& timing)
    : processes(size)
    , m_firstPort(firstPort)
    , m_platform(platform)
    , m_timing(timing)
{
}

Fleet::~Fleet()
{
    std::vector<std::jthread> threads;
    for (auto& it : processes)
        threads.emplace_back([&it] { it.reset(); });
}

HostAddress Fleet::address(std::size_t index) const
{
    return { "127.0.0.1", static_cast<std::uint16_t>(m_firstPort + index) };
}

void Fleet::start(std::size_t index, std::vector<HostAddress> seeds)
{
    MembershipOptions options = m_timing;
    options.self = { address(index), ++m_incarnation, std::string("place-") + static_cast<char>('a' + index % 3) };
    options.seeds = std::move(seeds);
    processes[index].reset();
    processes[index] = std::make_unique<TestProcess>(options, m_platform, network);
}

void Fleet::start(std::size_t index)
{
    std::vector<HostAddress> seeds;
    for (std::size_t i = 0; i < processes.size(); ++i)
        seeds.push_back(address(i));
    start(index, std::move(seeds));
}

void Fleet::startAll()
{
    for (std::size_t i = 0; i < processes.size(); ++i)
        start(i);
}

bool Fleet::all(const std::function<bool(TestProcess&)>& condition) const
{
    return std::ranges::all_of(processes, [&](const auto& it) { return !it || condition(*it); });
}

bool Fleet::isComplete() const
{
    const auto running = static_cast<std::size_t>(std::ranges::count_if(processes, [](const auto& it) { return it != nullptr; }));
    return all([&](TestProcess& it) {
        return it.count(MemberState::Alive) == running && it.membership.members().size() == running;
    });
}

} // namespace kumquatbank
