#include "PoolerFixture.h"

#include "kumquatbank/duties/duties.h"
#include "kumquatbank/engine/HttpClient.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace kumquatbank {

namespace {

    constexpr std::uint16_t platformPort = 30'000;
    constexpr std::uint16_t hostPort = 31'000;
    constexpr int portsPerHost = 10;
    constexpr std::chrono::seconds answerTimeout { 8 };

    /// Returns a new loopback address for each fixture, so that tests that run concurrently do not share ports.
    std::string nextIp()
    {
        static int n = 0;
        const int pid = getpid();
        return fmt::format("127.{}.{}.{}", 10 + pid % 200, pid / 200 % 250, 1 + n++ % 250);
    }

} // namespace

Task<TestClient::Answer> TestClient::receive()
{
    Answer answer;
    const auto until = BootClock::now() + answerTimeout;
    std::string_view line;
    while (m_channel && co_await m_channel->readLine(line, until) == ChannelStatus::Ok) {
        if (line.starts_with("READY")) {
            answer.ready = line;
            break;
        }
        if (line.starts_with("ROW "))
            answer.rows.emplace_back(line.substr(4));
        else
            answer.result = line;
    }
    co_return answer;
}

Task<TestClient::Answer> TestClient::start(HostAddress address, std::string database, std::string key)
{
    auto channel = co_await LineChannel::connect(m_io, address, WireDialect::maxMessageBytes, std::chrono::milliseconds(1000), std::chrono::milliseconds(3000));
    if (!channel)
        co_return Answer {};
    m_channel.emplace(std::move(*channel));
    const auto line = fmt::format("START {} {}\r\n", database, key);
    co_return co_await sendRaw(line);
}

Task<TestClient::Answer> TestClient::query(std::string text)
{
    static int n = 0;
    m_lastId = fmt::format("{:08x}", ++n);
    const auto line = fmt::format("QUERY {} {}\r\n", m_lastId, text);
    co_return co_await sendRaw(line);
}

Task<TestClient::Answer> TestClient::sendRaw(std::string bytes)
{
    if (!m_channel)
        co_return Answer {};
    co_await m_channel->write(bytes, BootClock::now() + answerTimeout);
    co_return co_await receive();
}

PoolerFixture::PoolerFixture(EmulatedPlatform::Shape shape, int hosts, int dataCentres, bool lends, int regions, std::function<void(PoolerSettings&)> adjust)
    : m_io(new asio::io_context(1))
    , m_ip(nextIp())
    , m_dataCentres(dataCentres)
    , m_lends(lends)
    , m_regions(regions)
    , m_adjust(std::move(adjust))
{
    shape.ip = m_ip;
    shape.basePort = platformPort;
    m_platform = new EmulatedPlatform(*m_io, shape);
    for (int n = 0; n < hosts; ++n)
        startHost(n);
    run([](PoolerFixture& fixture, int count) -> Task<void> {
        for (int n = 0; n < count; ++n)
            co_await fixture.waitUntilReady(n);
    }(*this, hosts));
}

HostAddress PoolerFixture::address(int host, int offset) const
{
    return { m_ip, static_cast<std::uint16_t>(hostPort + host * portsPerHost + offset) };
}

std::string PoolerFixture::region(int host) const { return m_regions == 1 ? "region" : fmt::format("region-{}", host % m_regions); }

int PoolerFixture::holder(const std::string& service, int hosts, const std::string& region) const
{
    std::vector<PlacementHost> candidates;
    for (int n = 0; n < hosts; ++n)
        candidates.push_back({ fmt::format("host-{}", n), "", this->region(n) });
    const auto best = Placement(candidates).holders(service, region).front().name;
    return std::stoi(best.substr(best.find('-') + 1));
}

std::string PoolerFixture::settingsFile(int host) const { return m_settingsFolder.empty() ? "" : fmt::format("{}/host-{}.json", m_settingsFolder, host); }

void PoolerFixture::writeSettings(int host, const HostAddress& storeAddress) const
{
    const nlohmann::json settings { { "host", fmt::format("host-{}", host) }, { "dataCentre", fmt::format("dc-{}", host % m_dataCentres) }, { "region", region(host) }, { "clientAddress", address(host, 0).toString() }, { "readyAddress", address(host, 1).toString() }, { "peerAddress", address(host, 2).toString() }, { "metricsAddress", address(host, 3).toString() }, { "storeAddress", storeAddress.toString() }, { "promotionAddress", m_platform->promotionAddress().toString() }, { "logLinesPerSecond", 0 }, { "failureLinesPerSecond", 0 } };
    std::ofstream(settingsFile(host)) << settings.dump();
}

void PoolerFixture::startHost(int host)
{
    PoolerSettings settings;
    settings.host = fmt::format("host-{}", host);
    settings.dataCentre = fmt::format("dc-{}", host % m_dataCentres);
    settings.region = region(host);
    settings.clientAddress = address(host, 0);
    settings.readyAddress = address(host, 1);
    settings.peerAddress = address(host, 2);
    settings.metricsAddress = address(host, 3);
    if (m_lends)
        settings.loanAddress = address(host, 4);
    settings.storeAddress = m_platform->storeAddress();
    settings.promotionAddress = m_platform->promotionAddress();
    settings.seeds = { address(0, 2) };
    settings.grace = std::chrono::seconds(3);
    settings.logLinesPerSecond = 0;
    settings.failureLinesPerSecond = 0;
    if (m_adjust)
        m_adjust(settings);
    m_processes.push_back(new PoolerProcess(*m_io, settings, settingsFile(host)));
    m_processes.back()->start();
}

void PoolerFixture::run(Task<void> task, std::chrono::seconds limit)
{
    bool isDone = false;
    std::exception_ptr failure;
    asio::co_spawn(*m_io, std::move(task), [&](std::exception_ptr error) {
        failure = error;
        isDone = true;
    });
    const auto until = BootClock::now() + limit;
    while (!isDone && BootClock::now() < until)
        m_io->run_one_for(std::chrono::milliseconds(50));
    CHECK_TRUE_TEXT(isDone, "the test's task did not end within its limit");
    if (failure)
        std::rethrow_exception(failure);
}

Task<int> PoolerFixture::ready(int host)
{
    HttpClient client(*m_io, address(host, 1));
    HttpCall call;
    call.target = "/ready";
    const auto reply = co_await client.call(std::move(call), std::chrono::milliseconds(500));
    co_return reply.status;
}

Task<nlohmann::json> PoolerFixture::state(int host) { return document(host, "/state"); }

Task<nlohmann::json> PoolerFixture::document(int host, std::string target)
{
    HttpClient client(*m_io, address(host, 3));
    HttpCall call;
    call.target = std::move(target);
    const auto reply = co_await client.call(std::move(call), std::chrono::milliseconds(500));
    co_return nlohmann::json::parse(reply.body);
}

Task<int> PoolerFixture::hostsWithoutRoute(std::string database, int hosts)
{
    int found = 0;
    for (int n = 0; n < hosts; ++n) {
        TestClient client(*m_io);
        const auto answer = co_await client.start(clientAddress(n), database);
        found += answer.code() == "NODB" ? 1 : 0;
    }
    co_return found;
}

Task<void> PoolerFixture::waitUntilReady(int host)
{
    while (true) {
        const auto status = co_await ready(host);
        if (status == 200)
            co_return;
        co_await sleep(std::chrono::milliseconds(20));
    }
}

Task<int> PoolerFixture::writeUntilSuccess(std::string database, std::string text, int host)
{
    int attempts = 0;
    while (true) {
        ++attempts;
        TestClient client(*m_io);
        const auto started = co_await client.start(clientAddress(host), database);
        if (!started.ready.empty()) {
            const auto answer = co_await client.query(text);
            if (answer.isSuccess())
                co_return attempts;
        }
        co_await sleep(std::chrono::milliseconds(50));
    }
}

void PoolerFixture::checkTransactions() const
{
    std::map<std::pair<std::string, std::uint64_t>, std::vector<RanStatement>> open;
    for (const auto& ran : m_platform->ran()) {
        if (ran.transaction != 0)
            open[{ ran.database, ran.transaction }].push_back(ran);
    }
    for (const auto& [key, statements] : open) {
        for (const auto& ran : statements)
            LONGS_EQUAL_TEXT(statements.front().connection, ran.connection, "a transaction ran on two connections");
    }
}

} // namespace kumquatbank
