#include "ObjectEditor.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <map>

using namespace kumquatbank;

namespace {

/// Conditional updates of the platform's store with lost answers; another operator can act before a write.
class FakeStore {
public:
    std::map<std::string, PlatformObject> objects;
    int answersToLose = 0; ///< The write takes effect.
    int requestsToLose = 0; ///< The write does not take effect.
    std::function<void()> beforeWrite;

    Result<PlatformObject> get(const std::string& kind, const std::string& name)
    {
        const auto it = objects.find(kind + "/" + name);
        if (it == objects.end())
            return notRun(FailureCode::NotFound, "not found");
        return it->second;
    }

    Result<PlatformObject> put(
        const std::string& kind, const std::string& name, const nlohmann::json& value, std::uint64_t expected)
    {
        if (auto failure = beginWrite(kind, name, expected))
            return std::move(*failure);
        const PlatformObject object { kind, name, expected + 1, ++m_revision, false, value };
        objects[kind + "/" + name] = object;
        if (isLost(answersToLose))
            return mayHaveRun(FailureCode::ConnectionLost, "lost");
        return object;
    }

    Result<void> remove(const std::string& kind, const std::string& name, std::uint64_t expected)
    {
        if (auto failure = beginWrite(kind, name, expected))
            return std::move(*failure);
        objects.erase(kind + "/" + name);
        if (isLost(answersToLose))
            return mayHaveRun(FailureCode::ConnectionLost, "lost");
        return {};
    }

private:
    std::optional<tl::unexpected<Failure>> beginWrite(
        const std::string& kind, const std::string& name, std::uint64_t expected)
    {
        if (auto other = std::exchange(beforeWrite, nullptr))
            other();
        if (isLost(requestsToLose))
            return mayHaveRun(FailureCode::Timeout, "lost");
        const auto it = objects.find(kind + "/" + name);
        if ((it == objects.end() ? 0 : it->second.version) != expected)
            return notRun(FailureCode::Conflict, "conflict");
        return std::nullopt;
    }

    static bool isLost(int& count) { return count > 0 && count-- > 0; }

    std::uint64_t m_revision = 0;
};

using Editor = ObjectEditor<FakeStore>;

ExitCode codeOf(const std::function<void()>& command, std::string* message = nullptr)
{
    try {
        command();
        return ExitCode::Ok;
    } catch (const CommandFailure& failure) {
        if (message)
            *message = failure.what();
        return failure.code();
    }
}

nlohmann::json withLimit(const PlatformObject& object, int limit)
{
    auto value = object.value;
    value["maxConcurrent"] = limit;
    return value;
}

} // namespace

TEST_GROUP(ObjectEditor)
{
    FakeStore store;
    Editor editor { store, "entry", [](const nlohmann::json&) {} };
    const nlohmann::json initial { { "name", "proof" }, { "owner", "portal" }, { "maxConcurrent", 20 } };

    int storedLimit() { return store.objects.at("entry/proof").value.at("maxConcurrent").get<int>(); }
};

// Guards against one operator silently overwriting what another one has just written.
TEST(ObjectEditor, SecondOperatorGetsAConflictWithTheDifference)
{
    editor.create("proof", initial);
    const auto read = editor.read("proof");
    store.beforeWrite = [&] {
        Editor other(store, "entry", [](const nlohmann::json&) {});
        other.change(other.read("proof"), withLimit(read, 30));
    };
    std::string message;
    CHECK_TRUE(codeOf([&] { editor.change(read, withLimit(read, 40)); }, &message) == ExitCode::Conflict);
    CHECK_EQUAL(30, storedLimit());
    STRCMP_CONTAINS("maxConcurrent: 20 -> 30", message.c_str());
    CHECK_TRUE(codeOf([&] { editor.remove(read); }) == ExitCode::Conflict);
    CHECK_TRUE(codeOf([&] { editor.create("proof", initial); }) == ExitCode::Conflict);
}

// Guards against a change reported as failed, or made twice, because the answer to its write was lost.
TEST(ObjectEditor, LostAnswersAreResolvedByReadingBack)
{
    store.answersToLose = 1;
    CHECK_EQUAL(1, editor.create("proof", initial).version);
    store.answersToLose = 1;
    CHECK_EQUAL(2, editor.change(editor.read("proof"), withLimit(editor.read("proof"), 40)).version);
    CHECK_EQUAL(40, storedLimit());
    store.requestsToLose = 1;
    CHECK_EQUAL(3, editor.change(editor.read("proof"), withLimit(editor.read("proof"), 50)).version);
    store.answersToLose = 1;
    editor.remove(editor.read("proof"));
    CHECK_TRUE(store.objects.empty());
    CHECK_TRUE(codeOf([&] { editor.read("proof"); }) == ExitCode::Refused);
}

// Guards against reporting success when the answer was lost and another operator's change is what is stored.
TEST(ObjectEditor, LostRequestAndAnotherOperatorIsAConflict)
{
    editor.create("proof", initial);
    const auto read = editor.read("proof");
    store.beforeWrite = [&] {
        Editor other(store, "entry", [](const nlohmann::json&) {});
        store.requestsToLose = 0;
        other.change(other.read("proof"), withLimit(read, 30));
        store.requestsToLose = 1;
    };
    CHECK_TRUE(codeOf([&] { editor.change(read, withLimit(read, 40)); }) == ExitCode::Conflict);
    CHECK_EQUAL(30, storedLimit());
}

// Guards against an invalid value, or one under another name, that reaches the platform.
TEST(ObjectEditor, InvalidValuesAreNotWritten)
{
    Editor strict(store, "entry",
        [](const nlohmann::json&) { throw CommandFailure(ExitCode::Usage, "field 'rank' is missing"); });
    CHECK_TRUE(codeOf([&] { strict.create("proof", initial); }) == ExitCode::Usage);
    CHECK_TRUE(codeOf([&] { editor.create("ticket", initial); }) == ExitCode::Usage);
    CHECK_TRUE(store.objects.empty());
}

TEST_GROUP(Fields) {};

// Guards against settings that are read as another type or applied to another field.
TEST(Fields, SettingsAreReadAsJsonOrText)
{
    nlohmann::json object { { "maxConcurrent", 20 }, { "owner", "portal" }, { "maxPerSecond", 5 } };
    applySettings(object, { "maxConcurrent=40", "owner=order desk", "repeatable=true", "maxPerSecond=null" });
    CHECK_TRUE(object
        == nlohmann::json({ { "maxConcurrent", 40 }, { "owner", "order desk" }, { "repeatable", true } }));
    CHECK_TRUE(codeOf([&] { applySettings(object, { "=4" }); }) == ExitCode::Usage);
    CHECK_TRUE(codeOf([&] { applySettings(object, { "owner" }); }) == ExitCode::Usage);
}
