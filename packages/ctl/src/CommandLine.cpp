#include "kumquatbank/ctl/CommandLine.h"

#include "CauseView.h"
#include "CommandFailure.h"
#include "FleetView.h"
#include "LogExplainer.h"
#include "ObjectEditor.h"
#include "RouteView.h"
#include "TimeArgument.h"
#include "kumquatbank/catalogue/catalogue.h"

// Values of --set are JSON and hold commas, so lists of options must not be split at them.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace kumquatbank {

namespace {

    constexpr auto usage = R"(kumquatctl: shows and edits the catalogue, and shows the state of the fleet

Commands:
  entry    list | show NAME | create NAME | change NAME | remove NAME
  database list | show NAME | create NAME | change NAME | remove NAME
           create and change take --from-file FILE (JSON as printed by show) and --set field=value;
           change also takes --expected-version N: refuse when the object has another version
  state    state of the proxy at --host, or of every proxy with --all
  groups   every database group: holder, term, primary, positions, lag, who may promote
  explain  ID [FILE...]: the way of one request through the logs of the proxies, and what they believed then;
           reads standard input without FILE. ID is the id of a request, session:N for a session, also one that was
           refused, or account:NAME for the refusals of an account by host and reason
  route    DATABASE read|write|transaction [--account NAME]: where such a statement would go now, and why; --host is the
           metrics address of a pooler, which sends nothing to a database
  causes   --from T [--to T]: refusals and delays by entry, owner, rank, database, place and cause

Exit codes: 0 ok, 1 not found or refused, 2 usage or invalid input, 3 conflict: the object changed since it was
read and nothing was written, 4 no answer from the platform or a proxy.
)";

    /// The platform limits all its callers together; one operator's tool needs few calls, but must not wait long
    /// to read back a write whose answer was lost.
    PlatformClientOptions platformOptions()
    {
        PlatformClientOptions options;
        options.timeout = Milliseconds(5000);
        options.maxCallsPerSecond = 20;
        options.minBackoff = Milliseconds(100);
        options.maxBackoff = Milliseconds(1000);
        return options;
    }

    nlohmann::json readJsonFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw CommandFailure(ExitCode::Usage, "cannot read file '" + path + "'");
        auto json = nlohmann::json::parse(file, nullptr, false);
        if (!json.is_object())
            throw CommandFailure(ExitCode::Usage, "file '" + path + "' does not hold a JSON object");
        return json;
    }

    template <typename Definition>
    void checkValue(const nlohmann::json& value)
    {
        if (const auto definition = Definition::fromJson(value); !definition)
            throw CommandFailure(ExitCode::Usage, definition.error().message);
    }

    class Command {
    public:
        Command(const cxxopts::ParseResult& options, std::ostream& out, std::ostream& err)
            : m_options(options)
            , m_out(out)
            , m_err(err)
        {
            if (options.count("settings"))
                m_settings = readJsonFile(options["settings"].as<std::string>());
            if (options.count("words"))
                m_words = options["words"].as<std::vector<std::string>>();
        }

        void run()
        {
            const auto command = word(0, "a command");
            if (command == "entry" || command == "database")
                runCatalogue(command);
            else if (command == "state")
                runState();
            else if (command == "groups")
                runGroups();
            else if (command == "causes")
                runCauses();
            else if (command == "explain")
                runExplain();
            else if (command == "route")
                runRoute();
            else
                throw CommandFailure(ExitCode::Usage, "unknown command '" + command + "'");
        }

    private:
        void runExplain()
        {
            LogExplainer explainer(word(1, "the id of a request"));
            for (std::size_t n = 2; n < m_words.size(); ++n) {
                std::ifstream file(m_words[n]);
                if (!file)
                    throw CommandFailure(ExitCode::Usage, "cannot read file '" + m_words[n] + "'");
                explainer.read(file);
            }
            if (m_words.size() == 2)
                explainer.read(std::cin);
            if (!explainer.print(m_out))
                throw CommandFailure(ExitCode::Refused, "request not found");
        }

        void runRoute()
        {
            expectWords(3);
            const auto database = word(1, "the name of a database");
            const auto kind = word(2, "read, write or transaction");
            if (kind != "read" && kind != "write" && kind != "transaction")
                throw CommandFailure(ExitCode::Usage, "'" + kind + "' is not read, write or transaction");
            const auto account = m_options.count("account") ? m_options["account"].as<std::string>() : std::string();
            const auto explained = readProxy({ address("host"), {} }, "/route", { { "account", account }, { "database", database }, { "kind", kind } });
            if (!explained)
                throw CommandFailure::from("proxy " + address("host").toString(), explained.error());
            if (m_options.count("json"))
                m_out << explained->dump(2) << '\n';
            else
                printRoute(*explained, m_out);
        }

        void runCatalogue(const std::string& kind)
        {
            const auto action = word(1, "list, show, create, change or remove");
            PlatformClient platform(address("platform"), platformOptions());
            if (action == "list") {
                expectWords(2);
                list(platform, kind);
                return;
            }
            const auto name = word(2, "the name of the " + kind);
            expectWords(3);
            ObjectEditor<PlatformClient> editor(
                platform, kind, kind == "entry" ? checkValue<CatalogueEntry> : checkValue<DatabaseDefinition>);
            if (action == "show") {
                const auto object = editor.read(name);
                m_out << nlohmann::json { { "version", object.version }, { "value", object.value } }.dump(2) << '\n';
            } else if (action == "create") {
                nlohmann::json value = edited({ { "name", name } }).value;
                report("created", editor.create(name, std::move(value)));
            } else if (action == "change") {
                change(editor, name);
            } else if (action == "remove") {
                editor.remove(editor.read(name));
                m_out << "removed " << kind << " '" << name << "'\n";
            } else {
                throw CommandFailure(ExitCode::Usage, "unknown action '" + action + "'");
            }
        }

        struct Edit {
            nlohmann::json value;
            std::optional<std::uint64_t> version; ///< The version the operator's change is based on, if given.
        };

        /// @p value, or the file's value instead, with the single settings applied.
        Edit edited(nlohmann::json value) const
        {
            Edit edit { std::move(value), std::nullopt };
            if (m_options.count("from-file")) {
                auto file = readJsonFile(m_options["from-file"].as<std::string>());
                if (file.contains("version") && file["version"].is_number_unsigned())
                    edit.version = file["version"].get<std::uint64_t>();
                edit.value = file.contains("value") ? file["value"] : file;
            }
            if (m_options.count("expected-version"))
                edit.version = m_options["expected-version"].as<std::uint64_t>();
            if (m_options.count("set"))
                applySettings(edit.value, m_options["set"].as<std::vector<std::string>>());
            return edit;
        }

        void change(ObjectEditor<PlatformClient>& editor, const std::string& name)
        {
            if (!m_options.count("set") && !m_options.count("from-file"))
                throw CommandFailure(ExitCode::Usage, "change needs --set field=value or --from-file FILE");
            const auto current = editor.read(name);
            const auto edit = edited(current.value);
            if (edit.version && *edit.version != current.version) {
                throw CommandFailure(ExitCode::Conflict,
                    "not written: the change is based on version " + std::to_string(*edit.version) + ", now it is "
                        + std::to_string(current.version) + ". From the change to what is there now:\n"
                        + describeDifference(edit.value, current.value));
            }
            const auto written = editor.change(current, edit.value);
            report("changed", written);
            m_out << describeDifference(current.value, written.value);
        }

        void report(const char* what, const PlatformObject& object)
        {
            m_out << what << " " << object.kind << " '" << object.name << "', version " << object.version << '\n';
        }

        void list(PlatformClient& platform, const std::string& kind)
        {
            const auto objects = platform.list(kind);
            if (!objects)
                throw CommandFailure::from("platform", objects.error());
            if (m_options.count("json")) {
                nlohmann::json json = nlohmann::json::array();
                for (const auto& object : objects->objects)
                    json.push_back({ { "version", object.version }, { "value", object.value } });
                m_out << json.dump(2) << '\n';
                return;
            }
            for (const auto& object : objects->objects)
                m_out << object.name << "  version " << object.version << "  " << object.value.dump() << '\n';
        }

        void runState()
        {
            expectWords(1);
            if (m_options.count("all")) {
                const auto states = readAllStates();
                if (!m_options.count("json")) {
                    printStates(states, m_out);
                    return;
                }
                nlohmann::json json = nlohmann::json::array();
                for (const auto& state : states)
                    json.push_back(state.body ? *state.body : nlohmann::json { { "host", state.target.name() }, { "error", state.body.error().message } });
                m_out << json.dump(2) << '\n';
                return;
            }
            const auto state = readProxy({ address("host"), {} }, "/state");
            if (!state)
                throw CommandFailure::from("proxy " + address("host").toString(), state.error());
            m_out << state->dump(2) << '\n';
        }

        /// The states of all proxies that one proxy's members name.
        std::vector<ProxyAnswer> readAllStates()
        {
            const auto seed = address("host");
            const auto state = readProxy({ seed, {} }, "/state");
            if (!state)
                throw CommandFailure::from("proxy " + seed.toString(), state.error());
            auto states = readProxies(memberTargets(seed, *state), "/state");
            for (const auto& it : states) {
                if (!it.body)
                    m_err << "proxy " << it.target.name() << ": no answer: " << it.body.error().message << '\n';
            }
            return states;
        }

        void runGroups()
        {
            expectWords(1);
            const auto groups = mergeGroups(readAllStates());
            if (m_options.count("json"))
                m_out << nlohmann::json(groups).dump(2) << '\n';
            else
                printGroups(groups, m_out);
        }

        void runCauses()
        {
            expectWords(1);
            const auto now = WallClock::now();
            const auto from = parseTimeArgument(m_options["from"].as<std::string>(), now);
            const auto to = parseTimeArgument(m_options["to"].as<std::string>(), now);
            if (from >= to)
                throw CommandFailure(ExitCode::Usage, "--from must be before --to");
            CauseReport report;
            const bool hasObjects = addPlatformCauses(report, from, to);
            const bool hasProxies = addLiveCauses(report, from, to);
            if (!hasObjects && !hasProxies)
                throw CommandFailure(ExitCode::Unreachable, "neither the platform nor a proxy answered");
            if (m_options.count("json"))
                m_out << nlohmann::json(report.totals()).dump(2) << '\n';
            else
                printCauses(report, m_out);
        }

        /// False when the platform is not given or does not answer: live processes still hold the last hours.
        bool addPlatformCauses(CauseReport& report, WallTime from, WallTime to)
        {
            if (!hasAddress("platform")) {
                m_err << "no --platform: causes of ended processes are missing\n";
                return false;
            }
            PlatformClient platform(address("platform"), platformOptions());
            const auto objects = platform.list("causes");
            if (!objects) {
                m_err << "platform: " << objects.error().message << "; causes of ended processes are missing\n";
                return false;
            }
            if (const auto unreadable = addObjects(report, objects->objects, from, to))
                m_err << unreadable << " objects on the platform could not be read\n";
            return true;
        }

        /// False when no proxy is given or none answers.
        bool addLiveCauses(CauseReport& report, WallTime from, WallTime to)
        {
            if (!hasAddress("host")) {
                m_err << "no --host: causes of the last seconds, not yet on the platform, are missing\n";
                return false;
            }
            const auto state = readProxy({ address("host"), {} }, "/state");
            if (!state) {
                m_err << "proxy " << address("host").toString() << ": " << state.error().message << '\n';
                return false;
            }
            const auto proxies = memberTargets(address("host"), *state);
            const auto seconds = [](WallTime time) {
                return std::to_string(std::chrono::floor<std::chrono::seconds>(time).time_since_epoch().count());
            };
            const auto answers = readProxies(proxies, "/causes", { { "from", seconds(from) }, { "to", seconds(to) } });
            const auto missing = addProxies(report, answers, from, to);
            if (missing > 0)
                m_err << missing << " of " << proxies.size() << " proxies gave no answer\n";
            return missing < proxies.size();
        }

        std::string word(std::size_t index, const std::string& what) const
        {
            if (index >= m_words.size())
                throw CommandFailure(ExitCode::Usage, what + " is missing; see --help");
            return m_words[index];
        }

        void expectWords(std::size_t count) const
        {
            if (m_words.size() > count)
                throw CommandFailure(ExitCode::Usage, "unexpected argument '" + m_words[count] + "'");
        }

        bool hasAddress(const std::string& name) const { return m_options.count(name) || m_settings.contains(name); }

        /// Address from the option or the settings file.
        HostAddress address(const std::string& name) const
        {
            if (!hasAddress(name))
                throw CommandFailure(ExitCode::Usage, "--" + name + " ip:port or a settings file is needed");
            const auto text = m_options.count(name) ? m_options[name].as<std::string>()
                : m_settings[name].is_string()      ? m_settings[name].get<std::string>()
                                                    : m_settings[name].dump();
            const auto parsed = HostAddress::parse(text);
            if (!parsed)
                throw CommandFailure(ExitCode::Usage, "--" + name + ": " + parsed.error().message);
            return *parsed;
        }

        const cxxopts::ParseResult& m_options;
        std::ostream& m_out;
        std::ostream& m_err;
        nlohmann::json m_settings = nlohmann::json::object();
        std::vector<std::string> m_words;
    };

    cxxopts::Options makeOptions()
    {
        cxxopts::Options options("kumquatctl", usage);
        options.positional_help("COMMAND [ACTION] [NAME]");
        // clang-format off
        options.add_options()
            ("platform", "address of the platform's object API", cxxopts::value<std::string>(), "ip:port")
            ("host", "caller address of any proxy", cxxopts::value<std::string>(), "ip:port")
            ("settings", "JSON file with \"platform\" and \"host\"", cxxopts::value<std::string>(), "FILE")
            ("from-file", "value of the object", cxxopts::value<std::string>(), "FILE")
            ("set", "set one field; null removes it; repeatable",
                cxxopts::value<std::vector<std::string>>(), "field=value")
            ("expected-version", "version the change is based on", cxxopts::value<std::uint64_t>(), "N")
            ("all", "every proxy, found through the members of the one at --host")
            ("from", "start, UTC", cxxopts::value<std::string>()->default_value("-1h"), "T")
            ("to", "end, UTC", cxxopts::value<std::string>()->default_value("now"), "T")
            ("account", "account of a client; without it, a client that has none", cxxopts::value<std::string>(), "NAME")
            ("json", "print JSON")
            ("h,help", "print this text")
            ("version", "print the version")
            ("words", "command", cxxopts::value<std::vector<std::string>>());
        // clang-format on
        options.parse_positional({ "words" });
        return options;
    }

} // namespace

ExitCode runCommandLine(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    auto definition = makeOptions();
    try {
        const auto options = definition.parse(argc, argv);
        if (options.count("help")) {
            out << definition.help();
            return ExitCode::Ok;
        }
        if (options.count("version")) {
            out << "kumquatctl " << KUMQUATBANK_VERSION << '\n';
            return ExitCode::Ok;
        }
        Command(options, out, err).run();
        return ExitCode::Ok;
    } catch (const cxxopts::exceptions::exception& exception) {
        err << exception.what() << '\n';
        return ExitCode::Usage;
    } catch (const CommandFailure& failure) {
        err << failure.what() << '\n';
        return failure.code();
    } catch (const nlohmann::json::exception& exception) {
        err << "unexpected JSON: " << exception.what() << '\n';
        return ExitCode::Refused;
    }
}

} // namespace kumquatbank
