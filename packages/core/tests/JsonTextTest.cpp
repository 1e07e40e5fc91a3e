#include "kumquatbank/core/JsonText.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <malloc.h>
#include <random>

using namespace kumquatbank;

namespace {

constexpr unsigned randomSeed = 17;

std::string nested(char opening, char closing, std::size_t levels) { return std::string(levels, opening) + std::string(levels, closing); }

} // namespace

TEST_GROUP(JsonText) {};

TEST(JsonText, SplitsObjectsAndArrays)
{
    const auto members = JsonText::members(R"( { "a" : [1, {"x":"]}"}] , "b\"c":"q,\"}", "n":-1.5e3 , "a":true } )");
    CHECK_TRUE(members.has_value());
    LONGS_EQUAL(4, members->size());
    CHECK_TRUE(JsonText::find(*members, "a") == "true");
    CHECK_TRUE(JsonText::find(*members, "n") == "-1.5e3");
    CHECK_TRUE(JsonText::find(*members, "missing").empty());
    CHECK_TRUE(members->at(0).second == R"([1, {"x":"]}"}])");
    const auto elements = JsonText::elements(R"([ null,"a]",[[]] ,{"k":","} ])");
    CHECK_TRUE(elements.has_value());
    LONGS_EQUAL(4, elements->size());
    CHECK_TRUE(elements->at(1) == R"("a]")");
    CHECK_TRUE(JsonText::members("{}")->empty());
    CHECK_TRUE(JsonText::elements(" [ ] ")->empty());
}

TEST(JsonText, RefusesTextsThatDoNotEnd)
{
    for (const auto* text : { "", "{", "[", "{\"a\"}", "{\"a\":}", "{\"a\":1", "[1,", "[1,]", "[1]]", "{\"a\":1}x", "[\"a", "[\"a\\", "{a:1}" }) {
        CHECK_TRUE_TEXT(!JsonText::members(text), text);
        CHECK_TRUE_TEXT(!JsonText::elements(text), text);
    }
}

// Guards against one unreadable element that makes its neighbours unreadable.
TEST(JsonText, AnUnreadableElementLeavesItsNeighbours)
{
    const std::vector<std::string> odd { "1e400", "\"\\ud800\"", "\"\xff\"", nested('[', ']', 200'000), R"({"a":)" + nested('[', ']', JsonText::maxDepth) + "}" };
    for (const auto& text : odd) {
        const auto list = "[{\"n\":1}," + text + ",{\"n\":2}]";
        const auto elements = JsonText::elements(list);
        CHECK_TRUE(elements.has_value());
        LONGS_EQUAL(3, elements->size());
        CHECK_FALSE(JsonText::parse(elements->at(1)).has_value());
        LONGS_EQUAL(1, JsonText::parse(elements->at(0))->at("n").get<int>());
        LONGS_EQUAL(2, JsonText::parse(elements->at(2))->at("n").get<int>());
    }
}

TEST(JsonText, BoundsTheDepth)
{
    CHECK_TRUE(JsonText::parse(nested('[', ']', JsonText::maxDepth)).has_value());
    CHECK_FALSE(JsonText::parse(nested('[', ']', JsonText::maxDepth + 1)).has_value());
    CHECK_FALSE(JsonText::parse(std::string(1 << 20, '[')).has_value());
    CHECK_TRUE(JsonText::parseOrDiscard(std::string(1 << 20, '{')).is_discarded());
    CHECK_TRUE(JsonText::parse("{ // comment\n\"a\": 1 }", JsonText::Comments::Ignored).has_value());
    CHECK_FALSE(JsonText::parse("{ // comment\n\"a\": 1 }").has_value());
}

// What the parser accepts is split into the same parts, and no text makes either of them fail otherwise than by an error.
TEST(JsonText, RandomTextsAreSplitLikeTheyAreParsed)
{
    constexpr int rounds = 20'000;
    const std::string alphabet = "[]{}\",:\\ 1e-tu\xff";
    std::mt19937 random(randomSeed);
    int accepted = 0;
    for (int n = 0; n < rounds; ++n) {
        std::string text = R"([{"a":[1,"x"]},{"b":null},2])";
        for (auto changes = 1 + random() % 3; changes > 0; --changes) {
            const auto at = random() % text.size();
            if (random() % 2 == 0)
                text[at] = alphabet[random() % alphabet.size()];
            else
                text.erase(at, 1);
        }
        const auto parsed = JsonText::parse(text);
        const auto elements = JsonText::elements(text);
        if (!parsed || !parsed->is_array())
            continue;
        ++accepted;
        CHECK_TRUE_TEXT(elements.has_value() && elements->size() == parsed->size(), text.c_str());
        for (std::size_t i = 0; i < elements->size(); ++i)
            CHECK_TRUE_TEXT(JsonText::parseOrDiscard(elements->at(i)) == parsed->at(i), text.c_str());
    }
    CHECK_TRUE(accepted > rounds / 50);
}

namespace {

std::string repeatedArray(std::string_view element, int count)
{
    std::string text = "[" + std::string(element);
    for (int n = 1; n < count; ++n)
        text.append(",").append(element);
    return text + "]";
}

std::size_t heapInUse()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

// Guards against a text that is let in and whose parsed form takes more memory than was counted for it.
TEST(JsonText, BoundsTheMemoryOfWhatIsParsed)
{
    std::string members = R"({"0":0)";
    for (int n = 1; n < 20'000; ++n)
        members += ",\"" + std::to_string(n) + "\":{}";
    const auto entry = R"({"name":"i-7f3a91c2","content":{"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"lj-tivoli","Slots":3}})";
    const std::vector<std::string> texts { repeatedArray("{}", 100'000), repeatedArray("1", 100'000), repeatedArray("[[[]]]", 50'000), repeatedArray(R"("a")", 100'000), repeatedArray(R"("a string that is not stored inline")", 50'000), repeatedArray(entry, 5000), repeatedArray(R"({"a":1})", 50'000), members + "}", '"' + std::string(1'000'000, 'x') + '"' };
    for (const auto& text : texts) {
        const auto before = heapInUse();
        const auto parsed = JsonText::parse(text);
        const auto taken = heapInUse() - before;
        CHECK_TRUE(parsed.has_value());
        CHECK_TRUE_TEXT(JsonText::parsedBytes(text) >= taken, text.substr(0, 60).c_str());
        // A bound far above what is needed would refuse what has room.
        CHECK_TRUE_TEXT(JsonText::parsedBytes(text) <= 4 * taken, text.substr(0, 60).c_str());
    }
}

TEST(JsonText, ReadsOnlySelectedMembers)
{
    constexpr std::array<std::string_view, 3> keys { "a", "b", "c" };
    const auto long1 = repeatedArray("{}", 1000);
    const auto parsed = JsonText::parseSelected(R"({"x":)" + long1 + R"(,"a":1,"y":{"a":2,"b":[3]},"b":"text","c":)" + long1 + "}", { keys, true, 10 });
    CHECK_TRUE(parsed.has_value());
    LONGS_EQUAL(2, parsed->size());
    LONGS_EQUAL(1, parsed->at("a").get<int>());
    STRCMP_EQUAL("text", parsed->at("b").get<std::string>().c_str());
    // Nested values stay where they are wanted, and long strings do not.
    const auto nestedValues = JsonText::parseSelected(R"({"a":{"x":[1,{"y":2}]},"b":"12345678901","c":[]})", { keys, false, 10 });
    CHECK_TRUE(nestedValues.has_value());
    LONGS_EQUAL(2, nestedValues->size());
    LONGS_EQUAL(2, nestedValues->at("a").at("x").at(1).at("y").get<int>());
}

// Guards against an entry that is used although a part of it cannot be read, and against an exception for what is no object.
TEST(JsonText, AnUnreadableTextHasNoSelectedMembers)
{
    constexpr std::array<std::string_view, 1> keys { "a" };
    for (const auto& text : { std::string(R"({"a":1,"x":1e400})"), std::string("{\"a\":1,\"x\":\"\xff\"}"), std::string(R"({"a":1,"x":)"), std::string("[1]"), std::string("null"), std::string("\"a\""), std::string(), R"({"a":1,"x":)" + nested('[', ']', 200'000) + "}" }) {
        const auto parsed = JsonText::parseSelected(text, { keys, true, 10 });
        CHECK_TRUE_TEXT(!parsed.has_value(), text.substr(0, 60).c_str());
    }
    // What is quoted of a text that cannot be read does not make the message long.
    const auto failed = JsonText::parse('"' + std::string(1'000'000, 'x'));
    CHECK_TRUE(failed.error().size() < 200);
}
