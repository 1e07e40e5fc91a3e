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
