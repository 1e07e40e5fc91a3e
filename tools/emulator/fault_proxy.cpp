#include "FaultLink.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <random>

using namespace kumquatbank;
using std::chrono::milliseconds;

namespace {

using Links = std::vector<std::unique_ptr<FaultLink>>;

constexpr unsigned shortestFaultMs = 300;
constexpr unsigned longestFaultMs = 4000;
constexpr unsigned longestDelayMs = 400;

/// Draws faults from a seed. They overlap: each runs beside the ones before.
class FaultSchedule {
public:
    FaultSchedule(asio::io_context& io, Links& links, unsigned seed)
        : m_io(io)
        , m_links(links)
        , m_random(seed)
    {
    }

    Task<void> run(milliseconds interval, BootTime until)
    {
        while (BootClock::now() < until) {
            co_await sleepFor(m_io, interval);
            auto& link = *m_links[m_random() % m_links.size()];
            const milliseconds duration(draw(shortestFaultMs, longestFaultMs));
            switch (m_random() % 6) {
            case 0:
                report("delay", link, duration);
                asio::co_spawn(m_io, delay(link, milliseconds(draw(1, longestDelayMs)), duration), asio::detached);
                break;
            case 1:
                report("cut to the target", link, duration);
                asio::co_spawn(m_io, block(link, true, false, duration), asio::detached);
                break;
            case 2:
                report("cut from the target", link, duration);
                asio::co_spawn(m_io, block(link, false, true, duration), asio::detached);
                break;
            case 3:
                report("cut both ways", link, duration);
                asio::co_spawn(m_io, block(link, true, true, duration), asio::detached);
                break;
            case 4:
                report("silence", link, milliseconds(0));
                link.silence();
                break;
            default:
                report("reset", link, milliseconds(0));
                link.reset();
            }
        }
    }

private:
    unsigned draw(unsigned least, unsigned most) { return least + static_cast<unsigned>(m_random() % (most - least + 1)); }

    static void report(std::string_view what, const FaultLink& link, milliseconds duration)
    {
        std::cout << fmt::format("trouble: {} on the link to {} for {} ms", what, link.target().toString(), duration.count()) << std::endl;
    }

    Task<void> delay(FaultLink& link, milliseconds delay, milliseconds duration)
    {
        link.setDelay(delay);
        co_await sleepFor(m_io, duration);
        link.setDelay(milliseconds(0));
    }

    Task<void> block(FaultLink& link, bool toTarget, bool fromTarget, milliseconds duration)
    {
        if (toTarget)
            link.setBlocked(FaultLink::Direction::ToTarget, true);
        if (fromTarget)
            link.setBlocked(FaultLink::Direction::FromTarget, true);
        co_await sleepFor(m_io, duration);
        if (toTarget)
            link.setBlocked(FaultLink::Direction::ToTarget, false);
        if (fromTarget)
            link.setBlocked(FaultLink::Direction::FromTarget, false);
    }

    asio::io_context& m_io;
    Links& m_links;
    std::mt19937 m_random;
};

int runCommandLine(int argc, char** argv)
{
    cxxopts::Options options("fault_proxy", "Forwards ports and injects network faults that are drawn from a seed");
    options.add_options()("ip", "Address of both sides", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "ports", "Ports to forward to", cxxopts::value<std::vector<std::uint16_t>>())(
        "offset", "Listens on each port plus this number", cxxopts::value<int>()->default_value("500"))(
        "seed", "Seed of the faults", cxxopts::value<unsigned>()->default_value("1"))(
        "trouble-ms", "A random fault each this often; none without this option", cxxopts::value<int>())(
        "trouble-s", "No new fault after this time", cxxopts::value<int>()->default_value("3600"))("h,help", "Print this text and stop");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") || !arguments.count("ports")) {
        std::cout << options.help();
        return arguments.count("help") ? 0 : 2;
    }
    asio::io_context io(1);
    Links links;
    const auto ip = arguments["ip"].as<std::string>();
    for (const auto port : arguments["ports"].as<std::vector<std::uint16_t>>())
        links.push_back(std::make_unique<FaultLink>(io, HostAddress { ip, static_cast<std::uint16_t>(port + arguments["offset"].as<int>()) }, HostAddress { ip, port }));
    FaultSchedule schedule(io, links, arguments["seed"].as<unsigned>());
    if (arguments.count("trouble-ms"))
        asio::co_spawn(io, schedule.run(milliseconds(arguments["trouble-ms"].as<int>()), BootClock::now() + std::chrono::seconds(arguments["trouble-s"].as<int>())), asio::detached);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    std::cout << "fault proxy ready: " << links.size() << " links" << std::endl;
    io.run();
    // Coroutines that are still suspended refer to the links; the kernel takes back what they hold.
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runCommandLine(argc, argv);
    } catch (const std::exception& e) {
        std::cerr << "fault_proxy: " << e.what() << "\n";
        return 2;
    }
}
