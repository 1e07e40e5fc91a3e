#pragma once

#include <cxxopts.hpp>
#include <iostream>
#include <string>

namespace kumquatbank {

constexpr int exitStopped = 0;
constexpr int exitInvalidInput = 2;
constexpr int exitCannotStart = 4;

template <typename T>
concept LoadableSettings = requires(const std::string& file)
{
    T::load(file).error().message;
    T::example();
};

/// Runs the command line that the proxies share: reads the options, loads and checks the settings, and calls
/// @p run(settings, file) unless an option asks for something else. Returns the exit code. @p version: of the program.
template <LoadableSettings Settings, typename Run>
int runProxyCommandLine(const std::string& program, const std::string& version, const std::string& description, int argc, char** argv, Run run)
{
    const auto refuse = [&program](const std::string& message) {
        std::cerr << program << ": " << message << "\n";
        return exitInvalidInput;
    };
    try {
        cxxopts::Options options(program, description);
        options.add_options()("settings", "Settings file (JSON)", cxxopts::value<std::string>())(
            "check", "Check the settings and stop")("print-defaults", "Print a commented settings file and stop")(
            "version", "Print the version and stop")("h,help", "Print this text and stop");
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("version")) {
            std::cout << program << " " << version << "\n";
            return 0;
        }
        if (arguments.count("print-defaults")) {
            std::cout << Settings::example();
            return 0;
        }
        if (!arguments.count("settings"))
            return refuse("option --settings is missing; --help shows all options");
        const auto file = arguments["settings"].as<std::string>();
        const auto settings = Settings::load(file);
        if (!settings)
            return refuse(settings.error().message);
        if (arguments.count("check")) {
            std::cout << file << ": valid\n";
            return 0;
        }
        return run(*settings, file);
    } catch (const cxxopts::exceptions::exception& e) {
        return refuse(e.what());
    }
}

} // namespace kumquatbank
