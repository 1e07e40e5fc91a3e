#include "LogExplainer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace kumquatbank {

namespace {

    const std::set<std::string, std::less<>> beliefEvents { "start", "stop", "drain", "reload", "config_in_force", "store_lost", "store_regained",
        "primary_changed", "primary_suspected", "primary_demoted", "promotion", "promotion_chosen", "promotion_blocked", "endpoint_changed", "endpoint_failure",
        "endpoint_regained", "endpoint_gone", "connection_refused", "host_count_changed", "process_paused", "log_lines_dropped",
        "account_entry_rejected", "older_config_ignored" };

    constexpr std::array<std::string_view, 4> shownElsewhere { "at_ms", "host", "event", "level" };

    /// Failures older than this seldom explain a request.
    constexpr std::int64_t recentMs = 5000;

    void printFields(std::ostream& out, const nlohmann::json& fields)
    {
        for (const auto& [name, value] : fields.items()) {
            if (std::ranges::find(shownElsewhere, name) == shownElsewhere.end())
                out << ' ' << name << '=' << value.dump();
        }
        out << '\n';
    }

} // namespace

LogExplainer::LogExplainer(std::string subject)
    : m_subject(std::move(subject))
{
    constexpr std::string_view sessionPrefix = "session:";
    constexpr std::string_view accountPrefix = "account:";
    if (m_subject.starts_with(accountPrefix))
        m_account = m_subject.substr(accountPrefix.size());
    std::int64_t session = 0;
    const auto* end = m_subject.data() + m_subject.size();
    if (m_subject.starts_with(sessionPrefix) && std::from_chars(m_subject.data() + sessionPrefix.size(), end, session).ptr == end)
        m_session = session;
}

bool LogExplainer::isWanted(const nlohmann::json& fields) const
{
    if (m_session)
        return fields.value("session", nlohmann::json()) == *m_session;
    return fields.value("request", nlohmann::json()) == m_subject;
}

void LogExplainer::read(std::istream& in)
{
    std::string text;
    while (std::getline(in, text)) {
        const auto begin = text.find('{');
        auto fields = begin == std::string::npos ? nlohmann::json() : nlohmann::json::parse(text.substr(begin), nullptr, false);
        if (!fields.is_object() || !fields.value("at_ms", nlohmann::json()).is_number_integer() || !fields.value("event", nlohmann::json()).is_string()) {
            ++m_unreadable;
            continue;
        }
        Line line;
        line.atMs = fields["at_ms"];
        const auto host = fields.value("host", nlohmann::json());
        line.host = host.is_string() ? host.get<std::string>() : "";
        line.fields = std::move(fields);
        const bool isRefusal = line.fields["event"] == "statement" && line.fields.value("outcome", nlohmann::json()) != "ok";
        if (m_account && isRefusal && line.fields.value("account", nlohmann::json()) == *m_account)
            m_refusals.add(line.host, line.atMs, line.fields);
        else if (isWanted(line.fields))
            m_lines.push_back(std::move(line));
        else if (beliefEvents.contains(line.fields["event"].get_ref<const std::string&>()))
            m_beliefs.push_back(std::move(line));
    }
}

std::string LogExplainer::serviceOf(const Line& line) const
{
    const auto service = line.fields.value("service", nlohmann::json());
    return service.is_string() ? service.get<std::string>() : "";
}

const LogExplainer::Line* LogExplainer::newestBefore(const Line& line, const std::vector<std::string>& events, const std::string& service) const
{
    const Line* newest = nullptr;
    for (const auto& belief : m_beliefs) {
        const bool isMeant = belief.host == line.host && std::ranges::find(events, belief.fields["event"].get<std::string>()) != events.end()
            && (service.empty() || serviceOf(belief) == service);
        if (isMeant && belief.atMs <= line.atMs && (newest == nullptr || belief.atMs >= newest->atMs))
            newest = &belief;
    }
    return newest;
}

void LogExplainer::printBeliefs(std::ostream& out, const Line& line) const
{
    const auto service = serviceOf(line);
    const auto show = [&](const Line* belief, std::string_view what) {
        if (belief == nullptr)
            return;
        out << "    " << what << ", " << line.atMs - belief->atMs << " ms before: " << belief->fields["event"].get<std::string>();
        printFields(out, belief->fields);
    };
    show(newestBefore(line, { "start" }, ""), "process");
    show(newestBefore(line, { "config_in_force" }, ""), "configuration");
    show(newestBefore(line, { "store_lost", "store_regained" }, ""), "store");
    show(newestBefore(line, { "primary_changed" }, service), "primary");
    show(newestBefore(line, { "primary_suspected", "primary_demoted", "promotion", "promotion_chosen", "promotion_blocked" }, service), "promotion");
    for (const auto* event : { "endpoint_failure", "connection_refused", "process_paused", "drain" }) {
        const auto* recent = newestBefore(line, { event }, std::string_view(event).starts_with("endpoint") || std::string_view(event).starts_with("connection") ? service : "");
        if (recent != nullptr && line.atMs - recent->atMs <= recentMs)
            show(recent, "recent");
    }
}

void LogExplainer::printAccess(std::ostream& out, const Line& line) const
{
    const auto reason = line.fields.value("reason", nlohmann::json());
    const bool isRefusedSession = line.fields["event"] == "session_refused" && (reason == "unknown key" || reason == "no key");
    if (!isRefusedSession && line.fields.value("outcome", nlohmann::json()) != "unauthorized")
        return;
    const auto version = line.fields.value("config_version", nlohmann::json());
    out << "    NOAUTH: in version " << version.dump() << " of the configuration, ";
    if (reason == "no key")
        out << "the route is not public, and the client sent no key\n";
    else
        out << "the route is not public, and no account has the client's key\n";
    for (const auto& belief : m_beliefs) {
        const bool isMeant = belief.host == line.host && belief.fields["event"] == "account_entry_rejected" && belief.fields.value("version", nlohmann::json()) == version;
        if (isMeant)
            out << "    entry left out of this version: " << belief.fields.value("reason", nlohmann::json()).dump() << '\n';
    }
}

bool LogExplainer::print(std::ostream& out) const
{
    if (m_account) {
        m_refusals.print(out);
        if (m_refusals.isEmpty())
            out << "no refusal of account '" << *m_account << "'; a client whose key belongs to no account is refused without one, see session_refused\n";
        return !m_refusals.isEmpty();
    }
    auto lines = m_lines;
    std::ranges::stable_sort(lines, {}, &Line::atMs);
    for (const auto& line : lines) {
        out << line.atMs << ' ' << (line.host.empty() ? "(host unknown)" : line.host) << ' ' << line.fields["event"].get<std::string>();
        printFields(out, line.fields);
        printAccess(out, line);
        printBeliefs(out, line);
    }
    if (lines.empty())
        out << "no line of " << (m_session ? "" : "request ") << "'" << m_subject << "'; served requests may have been left out under load, see log_lines_dropped\n";
    if (m_unreadable > 0)
        out << m_unreadable << " lines are no log events\n";
    return !lines.empty();
}

} // namespace kumquatbank
