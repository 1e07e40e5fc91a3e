#include "kumquatbank/pooler/PoolerSettings.h"

#include "DescriptorPlan.h"
#include "kumquatbank/core/JsonText.h"
#include "kumquatbank/core/TextFile.h"

#include <array>
#include <nlohmann/json.hpp>

namespace kumquatbank {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view exampleText = R"({
  // Unique name of this host, and where it stands.
  "host": "proxy-1",
  "dataCentre": "lj-tivoli",
  "region": "osrednja",
  // Part of a processor core that this process may use, and how many times as fast as the usual core it is; hosts get
  // duties in proportion. Optional.
  "processorShare": 1.0,
  "processorSpeed": 1,
  // Clients; the load balancer's ready probe; other processes; metrics and state.
  "clientAddress": "127.0.0.1:8784",
  "readyAddress": "127.0.0.1:8785",
  "peerAddress": "127.0.0.1:7440",
  // Database connections that other processes borrow where there are fewer of them than hosts; optional.
  "loanAddress": "127.0.0.1:7441",
  "metricsAddress": "127.0.0.1:9464",
  // The platform's object store, and its call that changes a primary.
  "storeAddress": "127.0.0.1:8783",
  "promotionAddress": "127.0.0.1:8786",
  // Peer addresses of some hosts, asked for the configuration and the endpoints while the store does not answer.
  "seeds": ["127.0.0.1:7440"],
  // Seconds from SIGTERM to the end of the process.
  "graceSeconds": 6,
  // Milliseconds for which a database serves clients after it has reported that it is leaving. Optional.
  "databaseDrainMs": 7000,
  // Milliseconds for which a database that disappeared counts as one that may hold the newest commits, where commits are
  // confirmed by replicas. No primary is replaced in this time without the proof that none is lost. Optional.
  "memberRetentionMs": 10000,
  // Where accounts have a limit: in any window of so many seconds, the operations of an account that arrive at databases
  // are at most (rate x window + burst) x (1 + overage) + slack, over all hosts. Optional.
  "limitWindowSeconds": 5,
  "limitOverage": 0.1,
  "limitSlack": 20,
  // Whether the answers of each database decide how many statements it gets at a time, and databases that fail far more
  // than their peers get no reads but probes. Optional; takes effect at the next start.
  "endpointPacing": false,
  // Memory of this process in MiB, and the descriptors that it may open. What clients hold stays below them. Optional;
  // without maxDescriptors, the limit of the process (RLIMIT_NOFILE) holds.
  "memoryMb": 160,
  "maxDescriptors": 4096,
  // Log lines a second: of served statements, and of everything else.
  "logLinesPerSecond": 100,
  "failureLinesPerSecond": 500
}
)";

    constexpr std::array<std::string_view, 24> knownKeys { "host", "dataCentre", "region", "processorShare", "processorSpeed", "clientAddress", "readyAddress",
        "peerAddress", "loanAddress", "metricsAddress", "storeAddress", "promotionAddress", "seeds", "graceSeconds", "databaseDrainMs", "memberRetentionMs",
        "limitWindowSeconds", "limitOverage", "limitSlack", "endpointPacing", "memoryMb", "maxDescriptors",
        "logLinesPerSecond", "failureLinesPerSecond" };

    constexpr int maxGraceSeconds = 3600;
    constexpr int maxDatabaseDrainMs = 3'600'000;
    constexpr int maxMemberRetentionMs = 3'600'000;
    constexpr int maxLimitWindowSeconds = 3600;
    constexpr double maxLimitOverage = 10;
    constexpr double maxLimitSlack = 1e6;
    constexpr int maxLogLines = 1'000'000;
    /// Half of it is for the program; the rest has room for a message of 1 MiB and its copies.
    constexpr int minMemoryMb = 32;
    constexpr int maxMemoryMb = 1 << 20;
    constexpr int maxDescriptorLimit = 1 << 24;
    constexpr double maxProcessorShare = 1024;
    constexpr int maxProcessorSpeed = 1024;

    /// Reads typed values by key and keeps the first error.
    class KeyReader {
    public:
        KeyReader(const Json& json, std::string source)
            : m_json(json)
            , m_source(std::move(source))
        {
        }

        std::string text(const char* key)
        {
            const auto it = m_json.find(key);
            if (it != m_json.end() && it->is_string() && !it->get_ref<const std::string&>().empty())
                return *it;
            recordError(key, "must be a non-empty string");
            return {};
        }

        HostAddress address(const char* key)
        {
            const auto parsed = HostAddress::parse(text(key));
            if (parsed && parsed->port != 0)
                return *parsed;
            recordError(key, "must be an address of the form ip:port, port 1 to 65535");
            return {};
        }

        std::vector<HostAddress> addresses(const char* key)
        {
            std::vector<HostAddress> found;
            const auto it = m_json.find(key);
            if (it == m_json.end())
                return found;
            const bool isAddressList = it->is_array() && std::ranges::all_of(*it, [](const Json& item) { return item.is_string(); });
            for (const auto& item : isAddressList ? *it : Json::array()) {
                if (const auto parsed = HostAddress::parse(item.get<std::string>()); parsed && parsed->port != 0)
                    found.push_back(*parsed);
            }
            if (!isAddressList || found.size() != it->size())
                recordError(key, "must be a list of addresses of the form ip:port");
            return found;
        }

        int number(const char* key, int minimum, int maximum, int fallback)
        {
            const auto it = m_json.find(key);
            if (it == m_json.end())
                return fallback;
            if (it->is_number_integer() && it->get<std::int64_t>() >= minimum && it->get<std::int64_t>() <= maximum)
                return *it;
            recordError(key, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return fallback;
        }

        /// A number from 0 on.
        double nonNegative(const char* key, double maximum, double fallback)
        {
            const auto it = m_json.find(key);
            if (it == m_json.end())
                return fallback;
            if (it->is_number() && it->get<double>() >= 0 && it->get<double>() <= maximum)
                return *it;
            recordError(key, "must be a number from 0 to " + std::to_string(maximum));
            return fallback;
        }

        /// A number above 0.
        double positive(const char* key, double maximum, double fallback)
        {
            const auto it = m_json.find(key);
            if (it == m_json.end())
                return fallback;
            if (it->is_number() && it->get<double>() > 0 && it->get<double>() <= maximum)
                return *it;
            recordError(key, "must be a number above 0 and at most " + std::to_string(maximum));
            return fallback;
        }

        bool flag(const char* key, bool fallback)
        {
            const auto it = m_json.find(key);
            if (it == m_json.end())
                return fallback;
            if (it->is_boolean())
                return *it;
            recordError(key, "must be true or false");
            return fallback;
        }

        void recordError(const std::string& key, const std::string& problem)
        {
            if (m_error.empty())
                m_error = m_source + ": key '" + key + "' " + problem;
        }

        const std::string& error() const { return m_error; }

    private:
        const Json& m_json;
        std::string m_source;
        std::string m_error;
    };

} // namespace

Result<PoolerSettings> PoolerSettings::load(const std::string& file)
{
    const auto text = readTextFile(file);
    if (!text)
        return tl::unexpected(text.error());
    return parse(*text, file);
}

Result<PoolerSettings> PoolerSettings::parse(const std::string& text, const std::string& source)
{
    const auto parsed = JsonText::parse(text, JsonText::Comments::Ignored);
    if (!parsed || !parsed->is_object())
        return notRun(FailureCode::BadRequest, source + ": not a JSON object" + (parsed ? "" : ": " + parsed.error()), Cause::BadRequest);
    const auto& json = *parsed;
    KeyReader reader(json, source);
    for (const auto& [key, value] : json.items()) {
        if (std::ranges::find(knownKeys, key) == knownKeys.end())
            reader.recordError(key, "is not known; --print-defaults shows the allowed ones");
    }
    PoolerSettings settings;
    settings.host = reader.text("host");
    settings.dataCentre = reader.text("dataCentre");
    settings.region = reader.text("region");
    settings.processorShare = reader.positive("processorShare", maxProcessorShare, settings.processorShare);
    settings.processorSpeed = reader.number("processorSpeed", 1, maxProcessorSpeed, settings.processorSpeed);
    settings.clientAddress = reader.address("clientAddress");
    settings.readyAddress = reader.address("readyAddress");
    settings.peerAddress = reader.address("peerAddress");
    if (json.contains("loanAddress"))
        settings.loanAddress = reader.address("loanAddress");
    settings.metricsAddress = reader.address("metricsAddress");
    settings.storeAddress = reader.address("storeAddress");
    settings.promotionAddress = reader.address("promotionAddress");
    settings.seeds = reader.addresses("seeds");
    settings.grace = std::chrono::seconds(reader.number("graceSeconds", 1, maxGraceSeconds, static_cast<int>(settings.grace.count())));
    settings.databaseDrainTime = std::chrono::milliseconds(reader.number("databaseDrainMs", 0, maxDatabaseDrainMs, static_cast<int>(settings.databaseDrainTime.count())));
    settings.memberRetention = std::chrono::milliseconds(reader.number("memberRetentionMs", 0, maxMemberRetentionMs, static_cast<int>(settings.memberRetention.count())));
    settings.limitBound.window = std::chrono::seconds(reader.number("limitWindowSeconds", 1, maxLimitWindowSeconds, static_cast<int>(settings.limitBound.window.count())));
    settings.limitBound.overage = reader.nonNegative("limitOverage", maxLimitOverage, settings.limitBound.overage);
    settings.limitBound.slack = reader.nonNegative("limitSlack", maxLimitSlack, settings.limitBound.slack);
    settings.memoryMb = reader.number("memoryMb", minMemoryMb, maxMemoryMb, settings.memoryMb);
    if (json.contains("maxDescriptors"))
        settings.maxDescriptors = reader.number("maxDescriptors", DescriptorPlan::minLimit, maxDescriptorLimit, DescriptorPlan::minLimit);
    settings.logLinesPerSecond = static_cast<unsigned>(reader.number("logLinesPerSecond", 0, maxLogLines, static_cast<int>(settings.logLinesPerSecond)));
    settings.failureLinesPerSecond = static_cast<unsigned>(reader.number("failureLinesPerSecond", 0, maxLogLines, static_cast<int>(settings.failureLinesPerSecond)));
    settings.endpointPacing = reader.flag("endpointPacing", settings.endpointPacing);
    if (!reader.error().empty())
        return notRun(FailureCode::BadRequest, reader.error(), Cause::BadRequest);
    return settings;
}

std::string PoolerSettings::example() { return std::string(exampleText); }

} // namespace kumquatbank
