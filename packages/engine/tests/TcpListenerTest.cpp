#include "kumquatbank/engine/TcpListener.h"

#include "FreeAddress.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>

using namespace kumquatbank;

TEST_GROUP(TcpListener) {};

// Guards against a use of the destroyed listener by an accept that has completed, but whose handler has not run yet.
TEST(TcpListener, AConnectionThatWaitsInTheEventLoopIsDroppedWithItsListener)
{
    asio::io_context io(1);
    const auto address = freeAddress();
    int accepted = 0;
    std::unique_ptr<TcpListener> listener;
    listener = std::make_unique<TcpListener>(io, address, [&](asio::ip::tcp::socket) {
        if (++accepted == 1)
            asio::post(io, [&] { listener.reset(); });
    });
    std::array<asio::ip::tcp::socket, 2> clients { asio::ip::tcp::socket(io), asio::ip::tcp::socket(io) };
    for (auto& client : clients)
        client.connect(toEndpoint(address));
    io.run();
    LONGS_EQUAL(1, accepted);
}

// Guards against a process that accepts no connection any more, without a line in its log, after one could not be served.
TEST(TcpListener, AnExceptionOfTheHandlerCostsOneConnectionOnly)
{
    asio::io_context io(1);
    const auto address = freeAddress();
    int accepted = 0;
    TcpListener listener(io, address, [&](asio::ip::tcp::socket) {
        if (++accepted == 1)
            throw std::runtime_error("out of resources");
        listener.close();
    });
    std::array<asio::ip::tcp::socket, 2> clients { asio::ip::tcp::socket(io), asio::ip::tcp::socket(io) };
    for (auto& client : clients)
        client.connect(toEndpoint(address));
    io.run();
    LONGS_EQUAL(2, accepted);
}

// Guards against clients that send ahead and take no answer: what waits for them in the kernel counts toward the memory of the host.
TEST(TcpListener, TheKernelKeepsABoundedAmountForAConnection)
{
    constexpr std::size_t unreadBytes = 16 << 10;
    asio::io_context io(1);
    const auto address = freeAddress();
    std::vector<asio::ip::tcp::socket> accepted;
    const TcpListener listener(
        io, address, [&](asio::ip::tcp::socket socket) { accepted.push_back(std::move(socket)); }, unreadBytes);
    asio::ip::tcp::socket client(io);
    client.connect(toEndpoint(address));
    client.non_blocking(true);
    const std::string text(4096, 'x');
    boost::system::error_code ec; // The send fails once the buffers are full.
    const auto until = BootClock::now() + std::chrono::milliseconds(500);
    while (BootClock::now() < until) {
        io.run_for(std::chrono::milliseconds(5));
        while (client.send(asio::buffer(text), 0, ec) > 0) { }
    }
    LONGS_EQUAL(1, accepted.size());
    CHECK_TRUE(accepted.front().available() > 0);
    CHECK_TRUE(accepted.front().available() <= unreadBytes);
}
