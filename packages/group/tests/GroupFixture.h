#pragma once

#include "StandInProcess.h"
#include "kumquatbank/group/group.h"

#include <CppUTest/SimpleString.h>
#include <atomic>
#include <functional>
#include <set>
#include <thread>

namespace kumquatbank {

/// Three stand-ins that form one group; slot 0 starts as primary.
class StandInGroup {
public:
    explicit StandInGroup(Milliseconds lag = Milliseconds(0));

    StandInProcess& slot(std::size_t n) { return *m_slots.at(n); }
    const DatabaseDefinition& definition() const { return m_definition; }
    nlohmann::json status(std::size_t n) const;
    nlohmann::json dump(std::size_t n) const;

    /// Values of a key at a slot.
    std::vector<std::string> values(std::size_t n, const std::string& key) const;

private:
    DatabaseDefinition m_definition;
    std::vector<std::unique_ptr<StandInProcess>> m_slots;
};

/// A DatabaseGroup on stand-ins, with convenience functions for the calls that tests make.
class TestHolder {
public:
    /// @param port distinguishes several holders of one group.
    explicit TestHolder(const StandInGroup& group, std::uint16_t port = 1);

    Result<CallerAnswer> write(const std::string& statement, Milliseconds deadline = Milliseconds(8000),
        const std::string& key = "");
    Result<CallerAnswer> read(const std::string& statement, const std::string& session = "",
        Milliseconds deadline = Milliseconds(8000));
    Result<CallerAnswer> run(CallerRequest request);

    /// Waits until this process holds the group and the primary accepts writes.
    bool waitUntilReady();

    DatabaseGroup& group() { return m_group; }
    CauseLedger& ledger() { return m_ledger; }
    CatalogueEntry entry; ///< Used by every request.

private:
    CauseLedger m_ledger;
    DatabaseGroup m_group;
};

/// Sends "append log v<n>" in a loop and records the acknowledged values and the longest gap between answers.
class Writer {
public:
    explicit Writer(TestHolder& holder);
    ~Writer();

    void stop();
    const std::set<std::string>& acknowledged() const { return m_acknowledged; }
    Milliseconds longestGap() const { return m_longestGap; }

private:
    void run();

    TestHolder& m_holder;
    std::atomic<bool> m_isStopped { false };
    std::set<std::string> m_acknowledged;
    Milliseconds m_longestGap { 0 };
    std::thread m_thread;
};

/// Formats a value for CppUTest's messages.
SimpleString StringFrom(const nlohmann::json& json); // NOLINT(readability-identifier-naming): CppUTest's name

/// Polls @p condition. Returns true as soon as it holds, false when it does not hold after @p limit.
bool eventually(const std::function<bool()>& condition, Milliseconds limit = Milliseconds(5000));

} // namespace kumquatbank
