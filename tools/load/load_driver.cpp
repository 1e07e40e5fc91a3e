#include "LoadReport.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <random>

using namespace kumquatbank;
using namespace kumquatbank::load;

namespace {

constexpr int exitViolation = 1;
constexpr int exitUsage = 2;

template <typename T>
T valueOrThrow(Result<T> result)
{
    if (!result)
        throw std::invalid_argument(result.error().message);
    return std::move(*result);
}

LoadOptions readOptions(const cxxopts::ParseResult& arguments)
{
    LoadOptions options;
    for (const auto& text : arguments["proxies"].as<std::vector<std::string>>())
        options.proxies.push_back(valueOrThrow(HostAddress::parse(text)));
    for (const auto& text : arguments["databases"].as<std::vector<std::string>>())
        options.databases.push_back(valueOrThrow(DatabaseTarget::parse(text)));
    const auto mixPath = arguments["mix"].as<std::string>();
    std::ifstream mix(mixPath);
    if (!mix)
        throw std::invalid_argument("cannot read " + mixPath);
    options.mix = nlohmann::json::parse(mix).get<std::vector<MixItem>>();
    if (options.mix.empty())
        throw std::invalid_argument("the mix has no items");
    std::ranges::for_each(options.mix, [&](const MixItem& item) { options.databasesOf(item); });
    options.duration = Milliseconds(1000 * arguments["seconds"].as<unsigned>());
    options.seed = arguments["seed"].as<std::uint64_t>();
    if (arguments.count("json"))
        options.jsonPath = arguments["json"].as<std::string>();
    // Keys must differ between runs with one seed, because idempotency keys outlive a run.
    const auto now = std::chrono::duration_cast<Milliseconds>(WallClock::now().time_since_epoch());
    options.runName = "r" + std::to_string(options.seed) + "t" + std::to_string(now.count());
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options description("load_driver", "Drives kumquatbank processes and checks what they answer");
    description.add_options()(
        "proxies", "ip:port of the proxies, separated by commas", cxxopts::value<std::vector<std::string>>())(
        "databases", "name=control|control|..., separated by commas", cxxopts::value<std::vector<std::string>>())(
        "mix", "JSON file: [{entry, rank, kind, callers, rate, deadlineMs, serviceMs, checkSession, databases}]",
        cxxopts::value<std::string>())("seconds", "duration", cxxopts::value<unsigned>()->default_value("10"))(
        "seed", "seed of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "file for the results", cxxopts::value<std::string>())("help", "print this text");
    try {
        const auto arguments = description.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << description.help();
            return 0;
        }
        const auto options = readOptions(arguments);
        const auto result = runLoad(options);
        printReport(std::cout, options, result);
        if (!options.jsonPath.empty())
            std::ofstream(options.jsonPath) << reportJson(options, result).dump(2) << '\n';
        return result.violations.total() == 0 ? 0 : exitViolation;
    } catch (const std::exception& error) {
        std::cerr << "load_driver: " << error.what() << '\n';
        return exitUsage;
    }
}
