// The platform's store with entries of another writer among those of the databases. Forwards all calls to the emulated
// store, and adds a page for each such entry to the listing of the databases: "about 500 or 1 MB at most".
// Usage: odd_store IP PORT STORE_PORT ENTRIES BYTES

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::string_view listingTarget = "/objects/servers";
constexpr std::string_view afterParameter = "after=";
constexpr std::string_view lastPage = R"(,"More":false)";
/// Behind the ids of the emulated databases in the order of names.
constexpr std::string_view entryName = "note-";

/// An entry whose spec is of another type than that of a database: an array of empty objects.
std::string oddEntry(int number, std::size_t bytes)
{
    std::string spec = "[{}";
    while (spec.size() + std::string_view(",{}]").size() <= bytes)
        spec += ",{}";
    return R"({"meta":{"Name":")" + std::string(entryName) + std::to_string(number) + R"(","Revision":1,"Finalizers":[]},"spec":)" + spec + R"(],"status":null})";
}

class OddStore {
public:
    OddStore(tcp::endpoint store, int entries, std::size_t bytes)
        : m_store(std::move(store))
        , m_entries(entries)
        , m_bytes(bytes)
    {
    }

    Response answer(Request request) const
    {
        const std::string target(request.target());
        const bool isListing = m_entries > 0 && request.method() == http::verb::get && target.find("Watch=") == std::string::npos
            && (target == listingTarget || target.starts_with(std::string(listingTarget) + "?"));
        if (isListing)
            request.target(std::string(listingTarget));
        auto response = forward(std::move(request));
        const auto end = response.body().rfind(lastPage);
        if (!isListing || response.result() != http::status::ok || end == std::string::npos)
            return response;
        // Number of the entry on this page; 0 on the first one, which has the databases.
        int number = 0;
        if (const auto after = target.find(afterParameter); after != std::string::npos) {
            const auto name = std::string_view(target).substr(after + afterParameter.size());
            if (name.starts_with(entryName))
                std::from_chars(name.data() + entryName.size(), name.data() + name.size(), number);
            ++number;
        }
        const auto tail = (number < m_entries ? std::string(R"(,"More":true)") : std::string(lastPage)) + response.body().substr(end + lastPage.size());
        response.body() = (number == 0 ? response.body().substr(0, end) : R"({"items":[)" + oddEntry(number, m_bytes) + "]") + tail;
        response.prepare_payload();
        return response;
    }

private:
    Response forward(Request request) const
    {
        asio::io_context io;
        tcp::socket socket(io);
        socket.connect(m_store);
        request.keep_alive(false);
        http::write(socket, request);
        boost::beast::flat_buffer buf;
        Response response;
        http::read(socket, buf, response);
        response.keep_alive(true);
        return response;
    }

    tcp::endpoint m_store;
    int m_entries;
    std::size_t m_bytes;
};

/// Answers the calls of one connection until it ends, also when the emulated store ends or closes a call.
void serve(tcp::socket socket, const OddStore& store)
{
    try {
        boost::beast::flat_buffer buf;
        while (true) {
            Request request;
            http::read(socket, buf, request);
            const auto response = store.answer(std::move(request));
            http::write(socket, response);
        }
    } catch (const std::exception&) {
        boost::system::error_code ec; // Ignored: the connection ends in any case.
        socket.close(ec);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6) {
        std::cerr << "usage: odd_store IP PORT STORE_PORT ENTRIES BYTES\n";
        return 2;
    }
    try {
        const auto ip = asio::ip::make_address(argv[1]);
        const auto port = [](const char* text) { return static_cast<unsigned short>(std::stoi(text)); };
        const OddStore store({ ip, port(argv[3]) }, std::stoi(argv[4]), std::stoul(argv[5]));
        asio::io_context io;
        tcp::acceptor acceptor(io, { ip, port(argv[2]) });
        while (true)
            std::thread(serve, acceptor.accept(), std::cref(store)).detach();
    } catch (const std::exception& e) {
        std::cerr << "odd_store: " << e.what() << "\n";
        return 2;
    }
}
