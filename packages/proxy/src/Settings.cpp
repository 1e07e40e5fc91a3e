#include "kumquatbank/proxy/Settings.h"

#include "SettingsSchema.h"
#include "kumquatbank/core/TextFile.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace kumquatbank {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view exampleText = R"({
  // Name of the deployment; session tokens of another one are refused.
  "deployment": "stenozapis",
  // Data centre of this host.
  "place": "lj-tivoli",
  // HTTP for callers and operators, messages of other proxies, metrics for Prometheus.
  "callerAddress": "127.0.0.1:7100",
  "peerAddress": "127.0.0.1:7200",
  "metricsAddress": "127.0.0.1:7300",
  // The platform's object API.
  "platformAddress": "127.0.0.1:7000",
  // Peer addresses to join through; other processes are learned from them.
  "seeds": ["127.0.0.1:7200"],
  // Level per part: trace, debug, info, warn, error or off.
  "logLevels": { "default": "info" },
  // Requests answered at the same time, from callers and from peers.
  "callerThreads": 256,
  "peerThreads": 256,
  // Bound on calls to the platform.
  "platformCallsPerSecond": 5,
  // Endpoint probes.
  "probeIntervalMs": 250,
  "probeTimeoutMs": 500,
  // Exchange with one peer.
  "gossipIntervalMs": 1000,
  // Longer waits are recorded as delays.
  "delayThresholdMs": 100,
  // Idle transactions are rolled back after this time.
  "transactionIdleMs": 30000,
  // Time to keep serving after ready turned false.
  "drainNoticeMs": 2000,
  // "strict" and "fifo" are baselines for measurements.
  "admissionPolicy": "ranked",
  // false confirms writes by the primary alone and can lose them; for measurements only.
  "confirmByReplica": true
}
)";

    /// Position of a value in the settings file, and the values that the schema allows there.
    struct Location {
        std::string key;
        std::string value;
        std::string allowed;
    };

    /// Resolves a validation context such as ["<root>", "[seeds]", "[0]"] in the document and the schema.
    Location locate(const std::vector<std::string>& context, const Json& document, const Json& schema)
    {
        Location location { "", document.dump(), schema.value("description", "") };
        const Json* value = &document;
        const Json* valueSchema = &schema;
        for (const auto& segment : context) {
            if (segment.size() < 2 || segment.front() != '[')
                continue;
            const auto name = segment.substr(1, segment.size() - 2);
            if (value->is_array()) {
                value = &value->at(std::stoul(name));
                valueSchema = &valueSchema->at("items");
                location.key += "[" + name + "]";
            } else {
                value = &value->at(name);
                const bool isListed
                    = valueSchema->contains("properties") && valueSchema->at("properties").contains(name);
                valueSchema = isListed ? &valueSchema->at("properties").at(name)
                                       : &valueSchema->at("additionalProperties");
                location.key += (location.key.empty() ? "" : ".") + name;
            }
            location.value = value->dump();
            location.allowed = valueSchema->value("description", "");
        }
        return location;
    }

    tl::unexpected<Failure> invalid(
        const std::string& source, const std::string& key, const std::string& value, const std::string& allowed)
    {
        return notRun(FailureCode::BadRequest,
            source + ": key '" + key + "', value " + value + ": must be " + allowed, Cause::BadRequest);
    }

    Result<void> checkKeys(const Json& document, const Json& schema, const std::string& source)
    {
        for (const auto& [key, value] : document.items()) {
            if (!schema.at("properties").contains(key))
                return notRun(FailureCode::BadRequest,
                    source + ": key '" + key + "', value " + value.dump()
                        + ": unknown key; allowed are the keys shown by --print-defaults",
                    Cause::BadRequest);
        }
        for (const auto& key : schema.at("required")) {
            if (!document.contains(key.get<std::string>()))
                return invalid(source, key, "(missing)",
                    schema.at("properties").at(key.get<std::string>()).at("description"));
        }
        return {};
    }

    Result<void> checkSchema(const Json& document, const std::string& source)
    {
        const auto schemaJson = Json::parse(settingsSchema);
        if (!document.is_object())
            return invalid(source, "", document.dump(), schemaJson.at("description"));
        if (const auto checked = checkKeys(document, schemaJson, source); !checked)
            return checked;

        valijson::Schema schema;
        valijson::SchemaParser parser;
        parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), schema);
        valijson::Validator validator;
        valijson::ValidationResults results;
        if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results))
            return {};
        // Errors of inner values also produce errors of the enclosing ones; the longest context is the original error.
        valijson::ValidationResults::Error error;
        valijson::ValidationResults::Error deepest;
        while (results.popError(error)) {
            if (error.context.size() > deepest.context.size())
                deepest = error;
        }
        const auto location = locate(deepest.context, document, schemaJson);
        return invalid(source, location.key, location.value, location.allowed);
    }

    /// Parses addresses and records the first invalid one.
    class AddressReader {
    public:
        explicit AddressReader(std::string source)
            : m_source(std::move(source))
        {
        }

        HostAddress read(const std::string& key, const std::string& text)
        {
            const auto address = HostAddress::parse(text);
            if (address && address->port != 0)
                return *address;
            if (m_checked)
                m_checked = invalid(m_source, key, "\"" + text + "\"", "an address of the form ip:port, port 1 to 65535");
            return {};
        }

        const Result<void>& checked() const { return m_checked; }

    private:
        std::string m_source;
        Result<void> m_checked;
    };

    Milliseconds readMs(const Json& json, const char* key, Milliseconds fallback)
    {
        return Milliseconds(json.value(key, fallback.count()));
    }

} // namespace

Result<Settings> Settings::load(const std::string& file)
{
    const auto text = readTextFile(file);
    if (!text)
        return tl::unexpected(text.error());
    return parse(*text, file);
}

Result<Settings> Settings::parse(const std::string& text, const std::string& source)
{
    const auto json = Json::parse(text, nullptr, false, true);
    if (json.is_discarded())
        return notRun(FailureCode::BadRequest, source + ": not valid JSON", Cause::BadRequest);
    if (const auto checked = checkSchema(json, source); !checked)
        return tl::unexpected(checked.error());

    Settings settings;
    AddressReader addresses(source);
    settings.deployment = json.at("deployment");
    settings.place = json.at("place");
    settings.callerAddress = addresses.read("callerAddress", json.at("callerAddress"));
    settings.peerAddress = addresses.read("peerAddress", json.at("peerAddress"));
    settings.metricsAddress = addresses.read("metricsAddress", json.at("metricsAddress"));
    settings.platformAddress = addresses.read("platformAddress", json.at("platformAddress"));
    for (const auto& seed : json.value("seeds", Json::array()))
        settings.seeds.push_back(addresses.read("seeds", seed));
    if (!addresses.checked())
        return tl::unexpected(addresses.checked().error());
    settings.logLevels = json.value("logLevels", settings.logLevels);
    settings.callerThreads = json.value("callerThreads", settings.callerThreads);
    settings.peerThreads = json.value("peerThreads", settings.peerThreads);
    settings.platformCallsPerSecond = json.value("platformCallsPerSecond", settings.platformCallsPerSecond);
    settings.probeInterval = readMs(json, "probeIntervalMs", settings.probeInterval);
    settings.probeTimeout = readMs(json, "probeTimeoutMs", settings.probeTimeout);
    settings.gossipInterval = readMs(json, "gossipIntervalMs", settings.gossipInterval);
    settings.delayThreshold = readMs(json, "delayThresholdMs", settings.delayThreshold);
    settings.transactionIdle = readMs(json, "transactionIdleMs", settings.transactionIdle);
    settings.drainNotice = readMs(json, "drainNoticeMs", settings.drainNotice);
    settings.admissionPolicy = json.value("admissionPolicy", settings.admissionPolicy);
    settings.confirmByReplica = json.value("confirmByReplica", settings.confirmByReplica);
    return settings;
}

std::string Settings::example() { return std::string(exampleText); }

} // namespace kumquatbank
