#include "LinearFit.h"
#include "kumquatbank/core/core.h"
#include "kumquatbank/transport/transport.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

// Measures the statement path of one proxy process in front of one database group of stand-ins without service
// time: latency against direct calls to the primary, CPU time per statement, greatest rate, memory per idle
// connection. Usage: statement_bench [build directory]. Starts its processes itself and ends them by id.

namespace kumquatbank {

namespace {

    const HostAddress platform { "127.0.0.1", 24800 };
    const HostAddress proxy { "127.0.0.1", 24801 };
    constexpr std::uint16_t firstEndpointPort = 24810;
    constexpr int slots = 3;
    constexpr int connectionLimit = 64;
    constexpr int pacedCallers = 32;
    constexpr int writeShare = 5; ///< Every fifth statement is a write.
    constexpr Milliseconds runTime { 4000 };
    constexpr Milliseconds callTimeout { 3000 };
    constexpr Milliseconds startTimeout { 20'000 };

    /// Process that is ended, by its id, with its owner.
    class Child {
    public:
        explicit Child(std::vector<std::string> words)
        {
            std::vector<char*> arguments;
            for (auto& word : words)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            posix_spawn_file_actions_t actions;
            posix_spawn_file_actions_init(&actions);
            posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
            const int ec = posix_spawn(&m_id, arguments.front(), &actions, nullptr, arguments.data(), environ);
            posix_spawn_file_actions_destroy(&actions);
            if (ec != 0)
                throw std::runtime_error("cannot start " + words.front());
        }
        ~Child()
        {
            if (m_id > 0)
                ::kill(m_id, SIGKILL);
            wait();
        }
        Child(const Child&) = delete;
        Child& operator=(const Child&) = delete;

        /// @return the exit status.
        int wait()
        {
            int status = 0;
            if (m_id > 0)
                ::waitpid(m_id, &status, 0);
            m_id = -1;
            return status;
        }

        double cpuSeconds() const
        {
            std::ifstream file("/proc/" + std::to_string(m_id) + "/stat");
            std::string text((std::istreambuf_iterator<char>(file)), {});
            std::istringstream fields(text.substr(text.rfind(')') + 1));
            constexpr int fieldsBeforeTimes = 11;
            std::string skipped;
            for (int n = 0; n < fieldsBeforeTimes; ++n)
                fields >> skipped;
            double user = 0;
            double system = 0;
            fields >> user >> system;
            return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
        }

        double residentKilobytes() const
        {
            std::ifstream file("/proc/" + std::to_string(m_id) + "/statm");
            double total = 0;
            double resident = 0;
            file >> total >> resident;
            return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
        }

    private:
        pid_t m_id = -1;
    };

    /// Sends one statement; false when it was not answered.
    using Call = std::function<bool(bool isWrite, int number)>;

    struct Sample {
        std::vector<double> reads; ///< Milliseconds.
        std::vector<double> writes;
        std::size_t failures = 0;
        double perSecond = 0;
    };

    double percentile(std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0;
        const auto n = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(n));
        return values[n];
    }

    /// Runs @p callers threads for runTime at @p rate statements/s in total; 0 sends each at once.
    Sample run(int callers, double rate, const std::function<Call(int)>& makeCall)
    {
        std::vector<Sample> samples(static_cast<std::size_t>(callers));
        std::vector<std::thread> threads;
        const auto start = Clock::now() + Milliseconds(200);
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                auto& sample = samples[static_cast<std::size_t>(caller)];
                const auto call = makeCall(caller);
                const auto interval = std::chrono::duration_cast<Clock::duration>(
                    std::chrono::duration<double>(rate > 0 ? callers / rate : 0));
                auto due = start + interval * caller / callers;
                for (int n = 0; due < start + runTime && Clock::now() < start + runTime; ++n) {
                    std::this_thread::sleep_until(due);
                    const bool isWrite = (n + caller) % writeShare == 0;
                    const auto sentAt = Clock::now();
                    const bool isAnswered = call(isWrite, n);
                    const std::chrono::duration<double, std::milli> taken = Clock::now() - sentAt;
                    if (isAnswered)
                        (isWrite ? sample.writes : sample.reads).push_back(taken.count());
                    else
                        ++sample.failures;
                    due += interval;
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
        Sample all;
        for (const auto& sample : samples) {
            all.reads.insert(all.reads.end(), sample.reads.begin(), sample.reads.end());
            all.writes.insert(all.writes.end(), sample.writes.begin(), sample.writes.end());
            all.failures += sample.failures;
        }
        all.perSecond = static_cast<double>(all.reads.size() + all.writes.size())
            / std::chrono::duration<double>(runTime).count();
        return all;
    }

    void print(const char* name, Sample& sample)
    {
        std::printf("%-28s %8.0f/s, failed %zu; read p50 %.3f p99 %.3f ms; write p50 %.3f p99 %.3f ms\n", name,
            sample.perSecond, sample.failures, percentile(sample.reads, 0.5), percentile(sample.reads, 0.99),
            percentile(sample.writes, 0.5), percentile(sample.writes, 0.99));
    }

    std::string statementOf(bool isWrite, int caller, int number)
    {
        const auto key = "k" + std::to_string(caller);
        return isWrite ? "put " + key + " " + std::to_string(number) : "get " + key;
    }

    HostAddress endpointAddress(int slot)
    {
        return { "127.0.0.1", static_cast<std::uint16_t>(firstEndpointPort + slot) };
    }

    /// Caller with a connection of its own to the primary; a write is not confirmed by a replica.
    Call makeDirectCall(int caller)
    {
        auto opened = EndpointConnection::open(endpointAddress(0), Deadline::after(callTimeout));
        if (!opened)
            throw std::runtime_error(opened.error().message);
        const std::shared_ptr<EndpointConnection> connection = std::move(*opened);
        const auto status = connection->call(
            "hello", { { "host", "bench" }, { "claim", 0 }, { "purpose", "work" } }, Deadline::after(callTimeout));
        if (!status)
            throw std::runtime_error(status.error().message);
        return [connection, caller, term = status->at("promisedTerm")](bool isWrite, int number) {
            return connection
                ->call("execute",
                    { { "term", term }, { "kind", isWrite ? "write" : "read" },
                        { "statement", statementOf(isWrite, caller, number) } },
                    Deadline::after(callTimeout))
                .has_value();
        };
    }

    /// Caller with a kept-alive connection and a session of its own.
    Call makeProxyCall(int caller)
    {
        struct State {
            HttpClient client { proxy };
            std::string session;
        };
        return [state = std::make_shared<State>(), caller](bool isWrite, int number) {
            const nlohmann::json body { { "requestId", std::to_string(number) },
                { "entry", isWrite ? "save" : "lookup" }, { "database", "zapisnik-1-a" },
                { "kind", isWrite ? "write" : "read" }, { "statement", statementOf(isWrite, caller, number) },
                { "session", state->session }, { "deadlineMs", callTimeout.count() } };
            const auto response = state->client.send({ "POST", "/v1/statement", {}, body.dump() }, callTimeout);
            if (!response || response->status != 200)
                return false;
            state->session = nlohmann::json::parse(response->body).value("session", "");
            return true;
        };
    }

    void waitUntil(const std::string& what, const std::function<bool()>& isTrue)
    {
        const auto deadline = Deadline::after(startTimeout);
        while (!isTrue()) {
            if (deadline.remaining().count() <= 0)
                throw std::runtime_error("timed out: " + what);
            std::this_thread::sleep_for(Milliseconds(100));
        }
    }

    bool answers(const HostAddress& server, const std::string& path)
    {
        const auto response = HttpClient(server).send({ "GET", path, {}, {} }, callTimeout);
        return response && response->status == 200;
    }

    /// Opens a connection that has made one request and stays idle.
    int openIdle()
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(proxy.port);
        ::inet_pton(AF_INET, proxy.ip.c_str(), &target.sin_addr);
        const std::string request = "GET /live HTTP/1.1\r\nHost: bench\r\n\r\n";
        char buf[1024];
        if (::connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0
            || ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0 || ::recv(fd, buf, sizeof(buf), 0) <= 0)
            throw std::runtime_error("cannot open an idle connection");
        return fd;
    }

    class Bench {
    public:
        explicit Bench(std::string build)
            : m_build(std::move(build))
        {
            std::string pattern = std::filesystem::temp_directory_path() / "statement_bench.XXXXXX";
            m_directory = ::mkdtemp(pattern.data());
        }
        ~Bench() { std::filesystem::remove_all(m_directory); }
        Bench(const Bench&) = delete;
        Bench& operator=(const Bench&) = delete;

        void run();

    private:
        void startGroup();
        void createObject(const std::string& kind, const nlohmann::json& value);
        void startProxy();
        Sample measure(const char* name, int callers, double rate);

        std::string m_build;
        std::filesystem::path m_directory;
        std::vector<std::unique_ptr<Child>> m_group;
        std::unique_ptr<Child> m_proxy;
        double m_cpuShare = 0; ///< Cores that the proxy used in the last measurement.
    };

    void Bench::createObject(const std::string& kind, const nlohmann::json& value)
    {
        const auto file = m_directory / "object.json";
        std::ofstream(file) << value;
        Child command({ m_build + "/apps/kumquatctl", kind, "create", value.at("name"), "--platform",
            platform.toString(), "--from-file", file });
        if (command.wait() != 0)
            throw std::runtime_error("kumquatctl failed for " + kind);
    }

    void Bench::startGroup()
    {
        m_group.push_back(std::make_unique<Child>(
            std::vector<std::string> { m_build + "/tools/platform_standin", "--address", platform.toString() }));
        nlohmann::json rows = nlohmann::json::array();
        for (int slot = 0; slot < slots; ++slot) {
            const auto peers = endpointAddress((slot + 1) % slots).toString() + ","
                + endpointAddress((slot + 2) % slots).toString();
            std::vector<std::string> words { m_build + "/tools/database_standin", "--address",
                endpointAddress(slot).toString(), "--control", endpointAddress(slot + slots).toString(), "--slot",
                std::to_string(slot), "--peers", peers, "--connect-ms", "10", "--connection-limit",
                std::to_string(connectionLimit), "--lag-ms", "1", "--execute-ms", "0" };
            if (slot == 0)
                words.emplace_back("--primary");
            m_group.push_back(std::make_unique<Child>(std::move(words)));
            rows.push_back({ { "slot", slot }, { "address", endpointAddress(slot).toString() }, { "place", "p" } });
        }
        waitUntil("platform", [] { return answers(platform, "/counters"); });
        createObject("database", { { "name", "zapisnik-1-a" }, { "service", "zapisnik-1" }, { "connectionLimit", connectionLimit }, { "slots", rows } });
        for (const auto* name : { "save", "lookup" }) {
            const bool isWrite = std::string_view(name) == "save";
            createObject("entry", { { "name", name }, { "owner", "bench" }, { "class", isWrite ? "write" : "read" }, { "rank", isWrite ? 1 : 3 }, { "service", "zapisnik-1" }, { "floorPercent", 5 }, { "maxQueueMs", 1000 }, { "repeatable", false } });
        }
    }

    void Bench::startProxy()
    {
        const auto file = m_directory / "proxy.json";
        std::ofstream(file) << nlohmann::json { { "deployment", "stenozapis" }, { "place", "p" },
            { "callerAddress", proxy.toString() }, { "peerAddress", "127.0.0.1:24802" },
            { "metricsAddress", "127.0.0.1:24803" }, { "platformAddress", platform.toString() },
            { "seeds", { "127.0.0.1:24802" } }, { "logLevels", { { "default", "warn" } } } };
        m_proxy = std::make_unique<Child>(
            std::vector<std::string> { m_build + "/apps/kumquatbank", "--settings", file });
        waitUntil("proxy", [] { return answers(proxy, "/ready"); });
        const auto call = makeProxyCall(0);
        waitUntil("first write", [&] { return call(true, 0); });
    }

    Sample Bench::measure(const char* name, int callers, double rate)
    {
        const double before = m_proxy->cpuSeconds();
        auto sample = kumquatbank::run(callers, rate, makeProxyCall);
        m_cpuShare = (m_proxy->cpuSeconds() - before) / std::chrono::duration<double>(runTime).count();
        print(name, sample);
        std::printf("  %d callers: proxy %.1f us CPU per statement, %.0f statements per CPU second\n", callers,
            1e6 * m_cpuShare / sample.perSecond, sample.perSecond / m_cpuShare);
        return sample;
    }

    void Bench::run()
    {
        startGroup();
        auto direct = kumquatbank::run(pacedCallers, 1600, makeDirectCall);
        print("direct, 1,600/s", direct);
        startProxy();
        measure("proxy, 1,600/s, 0 idle", pacedCallers, 1600);

        LinearFit memory("idle connections", "resident KB");
        memory.add(0, m_proxy->residentKilobytes());
        std::size_t open = 0;
        for (const std::size_t count : { 1000, 2000, 3300 }) {
            for (; open < count; ++open)
                openIdle(); // Closed by the end of this process.
            memory.add(static_cast<double>(count), m_proxy->residentKilobytes());
        }
        memory.print();

        LinearFit cpu("statements/s", "proxy CPU us/s");
        for (const double rate : { 400., 1600., 3200. }) {
            const auto name = "proxy, " + std::to_string(static_cast<int>(rate)) + "/s, 3300 idle";
            auto sample = measure(name.c_str(), pacedCallers, rate);
            cpu.add(sample.perSecond, 1e6 * m_cpuShare);
            if (rate != 1600)
                continue;
            std::printf("  added to a read: p50 %.3f ms, p99 %.3f ms (target: under 1 ms at p99)\n",
                percentile(sample.reads, 0.5) - percentile(direct.reads, 0.5),
                percentile(sample.reads, 0.99) - percentile(direct.reads, 0.99));
            std::printf("  added to a write, with its replica confirmation: p50 %.3f ms, p99 %.3f ms\n",
                percentile(sample.writes, 0.5) - percentile(direct.writes, 0.5),
                percentile(sample.writes, 0.99) - percentile(direct.writes, 0.99));
        }
        cpu.print();
        for (const int callers : { 8, 32, 64 })
            measure("proxy, unpaced, 3300 idle", callers, 0);
    }

} // namespace

} // namespace kumquatbank

int main(int argc, char** argv)
{
    rlimit files {};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 16'384); // 3,300 connections on both sides.
    ::setrlimit(RLIMIT_NOFILE, &files);
    try {
        kumquatbank::Bench(argc > 1 ? argv[1] : "build").run();
    } catch (const std::exception& ex) {
        std::fprintf(stderr, "statement_bench: %s\n", ex.what());
        return 1;
    }
    return 0;
}
