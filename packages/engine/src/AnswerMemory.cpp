#include "kumquatbank/engine/AnswerMemory.h"

#include "kumquatbank/core/JsonText.h"
#include "kumquatbank/engine/EventLog.h"

namespace kumquatbank {

AnswerMemory& AnswerMemory::ofProcess()
{
    static auto& memory = *new AnswerMemory;
    return memory;
}

std::string_view AnswerMemory::readerName(AnswerReader reader)
{
    constexpr std::array<std::string_view, readerCount> names { "endpoints", "hosts", "configuration", "promotions", "peers", "other" };
    return names.at(static_cast<std::size_t>(reader));
}

bool AnswerMemory::add(MemoryHold& hold, AnswerReader reader, std::size_t bytes)
{
    if (hold.resize(MemoryUse::Answer, hold.bytes() + bytes))
        return true;
    recordRefusal(reader, bytes);
    return false;
}

std::optional<ParsedAnswer> AnswerMemory::parse(AnswerReader reader, std::string_view text)
{
    ParsedAnswer answer;
    if (!add(answer.memory, reader, JsonText::parsedBytes(text)))
        return std::nullopt;
    answer.value = JsonText::parseOrDiscard(text);
    return answer;
}

void AnswerMemory::recordRefusal(AnswerReader reader, std::size_t bytes)
{
    auto& state = m_readers.at(static_cast<std::size_t>(reader));
    ++state.refusals;
    const auto now = BootClock::now();
    if (state.loggedAt && now - *state.loggedAt < logInterval)
        return;
    const auto& budget = MemoryBudget::ofProcess();
    EventLog::warn("answer_without_room", { { "reader", readerName(reader) }, { "bytes", bytes }, { "used", budget.used() }, { "budget", budget.total() }, { "refusals", state.refusals - state.loggedRefusals } });
    state.loggedAt = now;
    state.loggedRefusals = state.refusals;
}

} // namespace kumquatbank
