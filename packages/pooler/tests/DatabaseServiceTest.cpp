#include "DatabaseService.h"
#include "kumquatbank/engine/TcpListener.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <unistd.h>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

/// Delay of the database before it accepts a session.
constexpr milliseconds acceptDelay { 300 };
/// Just below the grace period after which missing entries are removed.
constexpr milliseconds beforeRemoval { 2400 };

Task<void> acceptAfterDelay(asio::io_context& io, std::shared_ptr<LineChannel> channel)
{
    std::string_view line;
    const auto status = co_await channel->readLine(line, BootClock::now() + milliseconds(1000));
    co_await sleepFor(io, acceptDelay);
    const auto ready = WireDialect::ready(TransactionState::None);
    if (status == ChannelStatus::Ok)
        co_await channel->write(ready, BootClock::now() + milliseconds(1000));
    co_await sleepFor(io, milliseconds(1000));
}

} // namespace

TEST_GROUP(DatabaseService) {};

// Guards against adding a removed endpoint to the scheduler again when a connection that was being opened meanwhile
// completes. The scheduler would grant every request to it at once; the request would not find it and retry without
// end.
TEST(DatabaseService, RemovedEndpointIsNotAddedAgainByAnOpeningConnection)
{
    asio::io_context io(1);
    const HostAddress address { "127.0.1." + std::to_string(1 + getpid() % 250), 30'400 };
    const TcpListener database(io, address, [&io](asio::ip::tcp::socket socket) {
        auto channel = std::make_shared<LineChannel>(std::move(socket), WireDialect::maxMessageBytes);
        asio::co_spawn(io, acceptAfterDelay(io, channel), asio::detached);
    });
    PoolerMetrics metrics;
    const auto service = std::make_shared<DatabaseService>(io, "service", "host", metrics, nullptr);
    service->setLimits({ "service", 10, 0 }, 1, 0);
    EndpointEntry entry;
    entry.id = "i-1";
    entry.service = "service";
    entry.address = address;
    service->setEntries({ entry }, true, BootClock::now());
    service->setEntries({}, true, BootClock::now());
    asio::co_spawn(
        io, [&]() -> Task<void> {
            co_await sleepFor(io, beforeRemoval);
            asio::co_spawn(io, service->probe(service->find("i-1")), asio::detached);
            co_await sleepFor(io, milliseconds(150));
            co_await service->runMaintenance();
            CHECK_TRUE(service->endpoints().empty());
            co_await sleepFor(io, acceptDelay * 2);
            CHECK_TRUE(service->scheduler().endpoints().empty());
            io.stop();
        },
        asio::detached);
    io.run();
}

// Guards against connections beyond the share when several requests replace idle connections at the same time, because
// connections that are being opened are not counted yet.
TEST(DatabaseService, ConcurrentReplacementsStayWithinTheShare)
{
    asio::io_context io(1);
    const HostAddress address { "127.0.1." + std::to_string(1 + getpid() % 250), 30'401 };
    const TcpListener database(io, address, [&io](asio::ip::tcp::socket socket) {
        auto channel = std::make_shared<LineChannel>(std::move(socket), WireDialect::maxMessageBytes);
        asio::co_spawn(io, acceptAfterDelay(io, channel), asio::detached);
    });
    constexpr int share = 3;
    PoolerMetrics metrics;
    const auto service = std::make_shared<DatabaseService>(io, "service", "host", metrics, nullptr);
    service->setLimits({ "service", share, 0 }, 1, 0);
    EndpointEntry entry;
    entry.id = "i-1";
    entry.service = "service";
    entry.address = address;
    entry.role = EndpointRole::Primary;
    service->setEntries({ entry }, true, BootClock::now());
    const SessionState session;
    bool isDone = false;
    std::vector<ConnectionLease> leases;
    const auto acquire = [&](std::string account) -> Task<void> {
        ConnectionRequest request;
        request.account = account;
        request.permit.eligibility = Eligibility::PrimaryOnly;
        request.deadline = request.permit.queueDeadline = BootClock::now() + milliseconds(900);
        auto lease = co_await service->acquireOwn(request, session);
        CHECK_TRUE(lease.has_value());
        CHECK_TRUE(lease->connection().account() == account);
        leases.push_back(std::move(*lease));
    };
    asio::co_spawn(
        io, [&]() -> Task<void> {
            const auto endpoint = service->find("i-1");
            for (int n = 0; n < share; ++n)
                asio::co_spawn(io, acquire("a"), asio::detached);
            co_await sleepFor(io, acceptDelay * 3 / 2);
            LONGS_EQUAL(share, leases.size());
            leases.clear();
            LONGS_EQUAL(share, endpoint->idle.size());
            for (const char* account : { "b", "c", "d" })
                asio::co_spawn(io, acquire(account), asio::detached);
            co_await sleepFor(io, acceptDelay / 2);
            LONGS_EQUAL(0, endpoint->idle.size());
            LONGS_EQUAL(share, endpoint->cache.held());
            co_await sleepFor(io, acceptDelay);
            LONGS_EQUAL(share, leases.size());
            LONGS_EQUAL(share, endpoint->open);
            leases.clear();
            isDone = true;
            io.stop();
        },
        asio::detached);
    // A failed check ends its coroutine without a call of stop().
    io.run_for(std::chrono::seconds(5));
    CHECK_TRUE(isDone);
}
