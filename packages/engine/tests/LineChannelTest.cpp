#include "kumquatbank/engine/LineChannel.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

using namespace kumquatbank;

TEST_GROUP(LineChannel) {};

// Guards against a session that keeps the buffer of one long message until it ends.
TEST(LineChannel, MemoryOfALongLineIsReleasedBeforeTheNextRead)
{
    asio::io_context io(1);
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
    asio::ip::tcp::socket client(io);
    client.connect(acceptor.local_endpoint());
    LineChannel channel(acceptor.accept(), 1 << 16);
    const auto usedBefore = MemoryBudget::ofProcess().used();
    const std::string text(20'000, 'x');
    client.send(asio::buffer(text + "\r\nnext\r\n"));
    std::string next;
    const auto read = [&]() -> Task<void> {
        std::string_view line;
        co_await channel.readLine(line, BootTime::max());
        LONGS_EQUAL(text.size(), line.size());
        CHECK_TRUE(MemoryBudget::ofProcess().used() > usedBefore + text.size());
        co_await channel.readLine(line, BootTime::max());
        next = line;
    };
    asio::co_spawn(io, read(), asio::detached);
    io.run();
    STRCMP_EQUAL("next", next.c_str());
    LONGS_EQUAL(usedBefore, MemoryBudget::ofProcess().used());
}

// Guards against a request that is run although its connection was closed after its bytes had been taken from the socket: its
// client gets no answer.
TEST(LineChannel, InputThatCompletesAfterACloseIsNotDelivered)
{
    asio::io_context io(1);
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
    asio::ip::tcp::socket client(io);
    client.connect(acceptor.local_endpoint());
    LineChannel channel(acceptor.accept(), 1024);
    client.send(asio::buffer("QUERY 1 WRITE item x\r\n", 22));
    while (!channel.hasInput()) { }
    auto status = ChannelStatus::Ok;
    const auto read = [&]() -> Task<void> {
        std::string_view line;
        status = co_await channel.readLine(line, BootTime::max());
    };
    asio::co_spawn(io, read(), asio::detached);
    asio::post(io, [&] { channel.close(); });
    io.run();
    CHECK_TRUE(status == ChannelStatus::Closed);
}
