#include "LogRecord.h"

namespace kumquatbank::standin {

void to_json(nlohmann::json& json, const Operation& operation)
{
    json = { { "type", operation.type == Operation::Type::Append ? "append" : "put" }, { "key", operation.key },
        { "value", operation.value } };
}

void from_json(const nlohmann::json& json, Operation& operation)
{
    operation.type = json.at("type") == "append" ? Operation::Type::Append : Operation::Type::Put;
    operation.key = json.at("key").get<std::string>();
    operation.value = json.at("value").get<std::string>();
}

void to_json(nlohmann::json& json, const LogRecord& record)
{
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - record.appendedAt);
    json = { { "term", record.term }, { "position", record.position }, { "operations", record.operations },
        { "key", record.idempotencyKey }, { "rows", record.rows }, { "rollback", record.isRollback },
        { "ageUs", age.count() } };
}

void from_json(const nlohmann::json& json, LogRecord& record)
{
    record.term = json.at("term").get<Term>();
    record.position = json.at("position").get<std::uint64_t>();
    record.operations = json.at("operations").get<std::vector<Operation>>();
    record.idempotencyKey = json.at("key").get<std::string>();
    record.rows = json.at("rows");
    record.isRollback = json.at("rollback").get<bool>();
    record.appendedAt = Clock::now() - std::chrono::microseconds(json.at("ageUs").get<std::int64_t>());
}

} // namespace kumquatbank::standin
