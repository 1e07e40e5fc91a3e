#include "kumquatbank/engine/LineChannel.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

using namespace kumquatbank;

TEST_GROUP(LineChannel) {};

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
