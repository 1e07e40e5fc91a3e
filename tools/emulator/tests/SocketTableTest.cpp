#include "SocketTable.h"

#include "kumquatbank/engine/Async.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace kumquatbank;

namespace {

HostAddress addressOf(const asio::ip::tcp::endpoint& endpoint) { return { endpoint.address().to_string(), endpoint.port() }; }

} // namespace

TEST_GROUP(SocketTable)
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor { io, { asio::ip::address_v4::loopback(), 0 } };
    asio::ip::tcp::socket client { io };
    asio::ip::tcp::socket accepted { io };
    HostAddress own;
    HostAddress peer;

    void setup() override
    {
        client.connect(acceptor.local_endpoint());
        accepted = acceptor.accept();
        own = addressOf(client.remote_endpoint());
        peer = addressOf(client.local_endpoint());
    }

    /// Waits until @p expected is returned for the accepted end, for a second at most.
    bool hasReadEverything(bool expected) const
    {
        for (int n = 0; n < 100 && SocketTable::hasReadEverything(own, peer) != expected; ++n)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return SocketTable::hasReadEverything(own, peer);
    }
};

// Guards against a request that counts as read by a process while it waits in the socket.
TEST(SocketTable, UnreadInputIsNotReadByTheProcess)
{
    CHECK_TRUE(hasReadEverything(true));
    client.send(asio::buffer("request", 7));
    CHECK_FALSE(hasReadEverything(false));
    char input[7];
    accepted.receive(asio::buffer(input));
    CHECK_TRUE(hasReadEverything(true));
}

// Guards against a dropped request being overlooked: the process has ended its answers and still holds the connection.
TEST(SocketTable, ConnectionThatSendsNoMoreIsStillHeld)
{
    accepted.shutdown(asio::ip::tcp::socket::shutdown_send);
    CHECK_TRUE(hasReadEverything(true));
}

// Guards against a connection that has been closed counting as one that a process holds.
TEST(SocketTable, ClosedConnectionIsNotHeld)
{
    accepted.close();
    CHECK_FALSE(hasReadEverything(false));
}

// Guards against the listening socket, which the kernel returns where there is no such connection, counting as one.
TEST(SocketTable, ListeningSocketIsNoConnection)
{
    accepted.set_option(asio::socket_base::linger(true, 0));
    accepted.close();
    CHECK_FALSE(hasReadEverything(false));
}
