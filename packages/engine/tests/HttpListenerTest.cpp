#include "kumquatbank/engine/HttpListener.h"

#include "FreeAddress.h"
#include "kumquatbank/engine/HttpClient.h"
#include "kumquatbank/engine/MemoryBudget.h"

#include <CppUTest/TestHarness.h>
#include <list>

using namespace kumquatbank;

namespace {

/// Sends @p text to a listener with a limit of 16 bytes a body, and returns the beginning of the answer.
std::string answerTo(const std::string& text)
{
    asio::io_context io(1);
    const auto address = freeAddress();
    const HttpListener listener(
        io, address, [](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse {}; }, { 2, 16, {} });
    std::string answer(12, ' ');
    const auto ask = [&]() -> Task<void> {
        asio::ip::tcp::socket socket(io);
        co_await socket.async_connect(toEndpoint(address), asTuple);
        co_await socket.async_send(asio::buffer(text), asTuple);
        co_await socket.async_receive(asio::buffer(answer), asTuple);
        io.stop();
    };
    asio::co_spawn(io, ask(), asio::detached);
    io.run();
    return answer;
}

/// Holds the whole memory budget as output that its client does not take.
struct IdleReader : MemoryHolder {
    bool isClosed = false;

    IdleReader() { MemoryBudget::ofProcess().reserve(this, MemoryUse::Answer, MemoryBudget::ofProcess().available(MemoryUse::Answer), BootClock::now()); }
    ~IdleReader() override { MemoryBudget::ofProcess().release(this, heldMemory()); }
    IdleReader(const IdleReader&) = delete;
    IdleReader& operator=(const IdleReader&) = delete;

    Phase memoryPhase() const override { return Phase::Answering; }
    void closeForMemory() override
    {
        isClosed = true;
        MemoryBudget::ofProcess().release(this, heldMemory());
    }
};

} // namespace

TEST_GROUP(HttpListener) {};

// Guards against a body that is read into memory whatever its length.
TEST(HttpListener, ABodyOverTheLimitIsRefused)
{
    STRCMP_EQUAL("HTTP/1.1 413", answerTo("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 17\r\n\r\n").c_str());
    STRCMP_EQUAL("HTTP/1.1 200", answerTo("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}").c_str());
}

// Guards against idle connections that keep others from being served.
TEST(HttpListener, IdleConnectionsMakeRoomForARequest)
{
    asio::io_context io(1);
    const auto address = freeAddress();
    int refused = 0;
    const HttpListener listener(
        io, address, [](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse {}; }, { 2, 16, [&](std::string_view) { ++refused; } });
    std::list<asio::ip::tcp::socket> idle;
    for (int n = 0; n < 5; ++n)
        idle.emplace_back(io).connect(toEndpoint(address));
    HttpClient client(io, address);
    HttpResult result;
    const auto ask = [&]() -> Task<void> {
        HttpCall call;
        call.target = "/ready";
        result = co_await client.call(std::move(call), std::chrono::milliseconds(1000));
        io.stop();
    };
    asio::co_spawn(io, ask(), asio::detached);
    io.run();
    LONGS_EQUAL(200, result.status);
    LONGS_EQUAL(4, refused);
}

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

// Guards against clients that do not take their answers and so cut the process off from the store: its answers were refused
// by their length before any of these clients was closed.
TEST(HttpListener, AnswersToTheProcessMakeRoomForThemselves)
{
    for (const std::size_t bytes : { 100, 15'000, 100'000 }) {
        asio::io_context io(1);
        const auto address = freeAddress();
        const HttpListener listener(io, address, [bytes](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse { 200, std::string(bytes, 'x') }; });
        HttpClient client(io, address);
        HttpResult result;
        std::optional<IdleReader> reader;
        const auto ask = [&]() -> Task<void> {
            HttpCall call;
            call.target = "/";
            reader.emplace();
            result = co_await client.call(std::move(call), std::chrono::milliseconds(1000));
            io.stop();
        };
        asio::co_spawn(io, ask(), asio::detached);
        io.run();
        CHECK_TRUE(result.outcome == HttpResult::Outcome::Completed);
        LONGS_EQUAL(200, result.status);
        LONGS_EQUAL(bytes, result.body.size());
        CHECK_TRUE(reader->isClosed == (bytes > 16 << 10));
    }
}

// Guards against an answer that is let in for its length and is no longer counted while its reader still has it.
TEST(HttpListener, AnAnswerIsCountedWhileItIsHeld)
{
    asio::io_context io(1);
    const auto address = freeAddress();
    const HttpListener listener(io, address, [](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse { 200, std::string(100'000, 'x') }; });
    HttpClient client(io, address);
    const auto before = MemoryBudget::ofProcess().used();
    HttpResult result;
    const auto ask = [&]() -> Task<void> {
        HttpCall call;
        call.target = "/";
        result = co_await client.call(std::move(call), std::chrono::milliseconds(1000));
        io.stop();
    };
    asio::co_spawn(io, ask(), asio::detached);
    io.run();
    LONGS_EQUAL(200, result.status);
    LONGS_EQUAL(before + 100'000, MemoryBudget::ofProcess().used());
    result = {};
    LONGS_EQUAL(before, MemoryBudget::ofProcess().used());
}
