#include "SocketCloser.h"

#include <atomic>
#include <memory>
#include <thread>

namespace kumquatbank {

namespace {

    constexpr Milliseconds closeLimit { 1000 };

    struct Closing {
        std::mutex mutex;
        std::condition_variable changed;
        bool isClosed = false;
    };

} // namespace

void closeSocket(nng_socket socket)
{
    const auto closing = std::make_shared<Closing>();
    std::thread([socket, closing] {
        nng_close(socket);
        const std::lock_guard lock(closing->mutex);
        closing->isClosed = true;
        closing->changed.notify_all();
    }).detach();
    std::unique_lock lock(closing->mutex);
    awaitClose(lock, closing->changed, [&] { return closing->isClosed; });
}

void awaitClose(
    std::unique_lock<std::mutex>& lock, std::condition_variable& changed, const std::function<bool()>& isClosed)
{
    static std::atomic<bool> hasHung = false;
    if (hasHung || changed.wait_for(lock, closeLimit, isClosed))
        return;
    if (!hasHung.exchange(true))
        LOG4CXX_ERROR(partLogger("transport"), "nng does not close connections any more; restart this process");
}

} // namespace kumquatbank
