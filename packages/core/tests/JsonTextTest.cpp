#include "kumquatbank/core/JsonText.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
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
