#include "kumquatbank/engine/HttpListener.h"

#include "FreeAddress.h"
#include "kumquatbank/engine/HttpClient.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatbank;

TEST_GROUP(HttpListener) {};

// Guards against a call that gets no response, and no line in the log, because its handler ended by an exception.
TEST(HttpListener, AnExceptionOfTheHandlerIsAnswered)
{
    asio::io_context io(1);
    const auto address = freeAddress();
    const HttpListener listener(io, address, [](HttpRequest) -> Task<HttpResponse> {
        throw std::runtime_error("unreadable state");
        co_return HttpResponse {};
    });
    HttpClient client(io, address);
    HttpResult result;
    asio::co_spawn(
        io, [&]() -> Task<void> {
            HttpCall call;
            call.target = "/ready";
            result = co_await client.call(std::move(call), std::chrono::milliseconds(1000));
            io.stop();
        },
        asio::detached);
    io.run();
    LONGS_EQUAL(500, result.status);
}
