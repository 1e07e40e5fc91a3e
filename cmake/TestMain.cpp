#include <algorithm>
#include <iostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// After the standard headers, because CppUTest redefines new.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

namespace {

/// Followed by the Group.Name of a test that is not run. CppUTest's own -xsn leaves out nothing when it is given twice.
constexpr std::string_view leaveOutOption = "--leave-out=";

/// Removes the named tests from the registry; returns the names that no test has.
std::set<std::string> leaveOut(std::set<std::string> names)
{
    auto& registry = *TestRegistry::getCurrentRegistry();
    std::vector<UtestShell*> kept;
    for (auto* test = registry.getFirstTest(); test != nullptr; test = test->getNext()) {
        const auto name = std::string(test->getGroup().asCharString()) + "." + test->getName().asCharString();
        if (names.erase(name) == 0)
            kept.push_back(test);
    }
    while (registry.getFirstTest() != nullptr)
        registry.unDoLastAddTest();
    std::for_each(kept.rbegin(), kept.rend(), [&](auto* test) { registry.addTest(test); });
    return names;
}

} // namespace

int main(int argc, char** argv)
{
    // Background threads allocate outside the test bodies, so CppUTest's leak count would be wrong here.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    std::set<std::string> names;
    std::vector<char*> arguments;
    for (auto* argument : std::vector<char*>(argv, argv + argc)) {
        const std::string_view text(argument);
        if (text.starts_with(leaveOutOption))
            names.emplace(text.substr(leaveOutOption.size()));
        else
            arguments.push_back(argument);
    }
    for (const auto& name : leaveOut(std::move(names))) {
        std::cerr << "no test is named " << name << '\n';
        return 2;
    }
    return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()), arguments.data());
}
