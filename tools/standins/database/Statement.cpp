#include "Statement.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace kumquatbank::standin {

namespace {

    constexpr long maxSleepMs = 600'000;

    std::string trim(const std::string& text)
    {
        const auto first = text.find_first_not_of(" \t");
        if (first == std::string::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    tl::unexpected<Failure> invalid(const std::string& part)
    {
        return notRun(FailureCode::StatementError, "cannot read statement part '" + part + "'");
    }

} // namespace

bool Statement::changesData() const
{
    return std::ranges::any_of(steps, [](const Step& step) { return !step.isRead; });
}

Result<Statement> Statement::parse(const std::string& text)
{
    Statement statement;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ';');) {
        part = trim(part);
        if (part.empty())
            continue;
        std::istringstream words(part);
        std::string verb;
        std::string key;
        std::string value;
        words >> verb >> key;
        std::getline(words, value);
        value = trim(value);
        if (key.empty())
            return invalid(part);
        if (verb == "sleep") {
            long ms = 0;
            const auto [end, ec] = std::from_chars(key.data(), key.data() + key.size(), ms);
            if (ec != std::errc {} || end != key.data() + key.size() || ms < 0 || ms > maxSleepMs || !value.empty())
                return invalid(part);
            statement.sleep += Milliseconds(ms);
        } else if (verb == "get" && value.empty()) {
            statement.steps.push_back({ true, { Operation::Type::Put, key, {} } });
        } else if ((verb == "put" || verb == "append") && !value.empty()) {
            const auto type = verb == "put" ? Operation::Type::Put : Operation::Type::Append;
            statement.steps.push_back({ false, { type, key, value } });
        } else {
            return invalid(part);
        }
    }
    if (statement.steps.empty())
        return notRun(FailureCode::StatementError, "the statement has no get, put or append");
    return statement;
}

} // namespace kumquatbank::standin
