#pragma once

#include "CommandFailure.h"
#include "Fields.h"
#include "kumquatbank/platform/PlatformObject.h"

#include <concepts>
#include <functional>
#include <random>
#include <string>
#include <thread>

namespace kumquatbank {

/// What ObjectEditor needs of the platform; PlatformClient has it.
template <typename T>
concept EditableStore = requires(T store, std::string text, nlohmann::json value, std::uint64_t version)
{
    {
        store.get(text, text)
        } -> std::same_as<Result<PlatformObject>>;
    {
        store.put(text, text, value, version)
        } -> std::same_as<Result<PlatformObject>>;
    {
        store.remove(text, text, version)
        } -> std::same_as<Result<void>>;
};

/// Creates, changes and removes objects of one kind, conditional on the version read. A lost answer is resolved
/// by reading the object back. Throws CommandFailure.
template <EditableStore Store>
class ObjectEditor {
public:
    /// @param check throws CommandFailure for an invalid value.
    ObjectEditor(Store& store, std::string kind, std::function<void(const nlohmann::json&)> check)
        : m_store(store)
        , m_kind(std::move(kind))
        , m_check(std::move(check))
    {
    }

    PlatformObject read(const std::string& name)
    {
        const auto object = m_store.get(m_kind, name);
        if (!object)
            throw CommandFailure::from(describe(name), object.error());
        return *object;
    }

    /// @return the object as written.
    PlatformObject create(const std::string& name, nlohmann::json value)
    {
        return write(name, std::move(value), PlatformObject { m_kind, name, 0, 0, false, nlohmann::json::object() });
    }

    /// Replaces @p base, as read before, by @p value.
    PlatformObject change(const PlatformObject& base, nlohmann::json value)
    {
        return write(base.name, std::move(value), base);
    }

    void remove(const PlatformObject& base)
    {
        for (int n = 0; n < maxTries; ++n) {
            const auto removed = m_store.remove(m_kind, base.name, base.version);
            if (removed)
                return;
            const bool isUncertain = removed.error().verdict == Verdict::MayHaveRun;
            if (!isUncertain && removed.error().code != FailureCode::Conflict)
                throw CommandFailure::from(describe(base.name), removed.error());
            const auto current = readBack(base.name, "");
            if (isUncertain && !current)
                return;
            if (!current || current->version != base.version)
                throw conflict(base, current);
        }
        throw unresolved(base.name);
    }

private:
    static constexpr int maxTries = 3;

    /// How long a read back after a lost answer is repeated while the platform does not answer.
    static constexpr Milliseconds readBackLimit { 8000 };
    static constexpr Milliseconds readBackInterval { 100 };

    PlatformObject write(const std::string& name, nlohmann::json value, const PlatformObject& base)
    {
        value["changeId"] = makeChangeId();
        m_check(value);
        if (value.at("name") != name)
            throw CommandFailure(ExitCode::Usage, "field 'name' must be '" + name + "'");
        for (int n = 0; n < maxTries; ++n) {
            const auto written = m_store.put(m_kind, name, value, base.version);
            if (written)
                return *written;
            const bool isUncertain = written.error().verdict == Verdict::MayHaveRun;
            if (!isUncertain && written.error().code != FailureCode::Conflict)
                throw CommandFailure::from(describe(name), written.error());
            // After a lost answer the stored changeId tells whether the write took effect.
            const auto current = readBack(name, value.at("changeId").get<std::string>());
            if (current && current->value.value("changeId", "") == value.at("changeId"))
                return *current;
            if ((current ? current->version : 0) != base.version)
                throw conflict(base, current);
        }
        throw unresolved(name);
    }

    /// The object as it is now; empty when it does not exist.
    std::optional<PlatformObject> readBack(const std::string& name, const std::string& changeId)
    {
        const auto deadline = Deadline::after(readBackLimit);
        while (true) {
            const auto current = m_store.get(m_kind, name);
            if (current)
                return *current;
            if (current.error().code == FailureCode::NotFound)
                return std::nullopt;
            if (deadline.hasPassed()) {
                throw CommandFailure(ExitCode::Unreachable,
                    describe(name) + ": no answer; the change may have taken effect, compare with '" + m_kind + " show "
                        + name + "'" + (changeId.empty() ? "" : " (changeId " + changeId + ")"));
            }
            std::this_thread::sleep_for(readBackInterval);
        }
    }

    CommandFailure conflict(const PlatformObject& base, const std::optional<PlatformObject>& current) const
    {
        const std::string now = current ? "version " + std::to_string(current->version) : std::string("removed");
        std::string message = describe(base.name) + ": not written, it changed meanwhile. Read: version "
            + std::to_string(base.version) + "; now: " + now + "\n";
        if (current)
            message += describeDifference(base.value, current->value);
        return { ExitCode::Conflict, message };
    }

    CommandFailure unresolved(const std::string& name) const
    {
        return { ExitCode::Unreachable, describe(name) + ": not written, the platform's answers were lost repeatedly" };
    }

    std::string describe(const std::string& name) const { return m_kind + " '" + name + "'"; }

    static std::string makeChangeId()
    {
        std::random_device random;
        return "ctl-" + std::to_string(random()) + "-" + std::to_string(random());
    }

    Store& m_store;
    std::string m_kind;
    std::function<void(const nlohmann::json&)> m_check;
};

} // namespace kumquatbank
