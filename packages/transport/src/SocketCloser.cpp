#include "SocketCloser.h"

#include "kumquatbank/core/core.h"

#include <future>
#include <thread>

namespace kumquatbank {

namespace {

    constexpr Milliseconds closeLimit { 1000 };

} // namespace

void closeSocket(nng_socket socket)
{
    std::promise<void> closed;
    const auto isClosed = closed.get_future();
    std::thread([socket, result = std::move(closed)]() mutable {
        nng_close(socket);
        result.set_value();
    }).detach();
    if (isClosed.wait_for(closeLimit) != std::future_status::ready)
        LOG4CXX_WARN(partLogger("transport"), "nng does not close a socket; it is left behind");
}

} // namespace kumquatbank
