#pragma once

#include "kumquatbank/engine/MemoryBudget.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace kumquatbank {

/// What an answer of the store or of another host is read for.
enum class AnswerReader {
    Endpoints,
    Hosts,
    Configuration,
    Promotions,
    Peers,
    Other,
};

/// A parsed answer and the memory that is counted for it.
struct ParsedAnswer {
    MemoryHold memory;
    nlohmann::json value; ///< Discarded if the text cannot be read.
};

/// The owner of the memory that answers from outside of this process cost: their bodies, and what is parsed from them. The
/// memory is reserved before it is used, in the process's MemoryBudget, and held until the reader has taken over what it
/// keeps. A reader without room keeps what it has and tries again.
class AnswerMemory {
public:
    /// Interval of the log lines about one reader without room.
    static constexpr std::chrono::milliseconds logInterval { 5000 };

    static AnswerMemory& ofProcess();
    static std::string_view readerName(AnswerReader reader);

    /// Counts @p bytes in addition to what @p hold has. Returns false, and logs it, if there is no room for them.
    bool add(MemoryHold& hold, AnswerReader reader, std::size_t bytes);

    /// Parses a whole text. Returns an empty value if there is no room for the result.
    std::optional<ParsedAnswer> parse(AnswerReader reader, std::string_view text);

    /// Records an answer of @p bytes, or a part of one, for which there was no room. Logged once an interval for each reader.
    void recordRefusal(AnswerReader reader, std::size_t bytes);

    /// Answers, or parts of them, for which there was no room.
    std::uint64_t refusals(AnswerReader reader) const { return m_readers.at(static_cast<std::size_t>(reader)).refusals; }

    static constexpr std::size_t readerCount = 6;

private:
    struct Reader {
        std::uint64_t refusals = 0;
        std::uint64_t loggedRefusals = 0;
        std::optional<BootTime> loggedAt;
    };

    std::array<Reader, readerCount> m_readers;
};

} // namespace kumquatbank
