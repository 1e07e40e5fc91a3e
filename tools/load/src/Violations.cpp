#include "Violations.h"

namespace kumquatbank::load {

namespace {

    constexpr std::size_t maxExamples = 20;

} // namespace

void Violations::add(std::uint64_t Violations::*kind, const std::string& example)
{
    ++(this->*kind);
    if (examples.size() < maxExamples)
        examples.push_back(example);
}

void Violations::merge(const Violations& other)
{
    for (const auto kind : { &Violations::lost, &Violations::doubled, &Violations::notRunButRun, &Violations::stale,
             &Violations::crossed, &Violations::torn, &Violations::mixed, &Violations::unchecked })
        this->*kind += other.*kind;
    for (const auto& example : other.examples) {
        if (examples.size() < maxExamples)
            examples.push_back(example);
    }
}

void to_json(nlohmann::json& json, const Violations& violations)
{
    json = { { "lost", violations.lost }, { "doubled", violations.doubled },
        { "notRunButRun", violations.notRunButRun }, { "stale", violations.stale },
        { "crossed", violations.crossed }, { "torn", violations.torn }, { "mixed", violations.mixed },
        { "unchecked", violations.unchecked }, { "total", violations.total() },
        { "examples", violations.examples } };
}

} // namespace kumquatbank::load
