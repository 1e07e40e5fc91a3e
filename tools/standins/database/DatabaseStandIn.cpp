#include "DatabaseStandIn.h"

#include "CallerProtocol.h"

namespace kumquatbank::standin {

DatabaseStandIn::DatabaseStandIn(DatabaseStandInOptions options)
    : m_options(std::move(options))
    , m_node(m_options.slot, m_options.isPrimary)
    , m_registry(m_options.connectionLimit)
    , m_faults(m_options.lag)
    , m_server([this](const auto& socket) { serveConnection(m_node, m_registry, m_faults, m_options.times, socket); })
    , m_controlServer([this](const auto& socket) { serveControl(*socket); })
{
}

DatabaseStandIn::~DatabaseStandIn()
{
    stop();
}

Result<void> DatabaseStandIn::start()
{
    const auto address = m_server.start(m_options.address);
    if (!address)
        return tl::unexpected(address.error());
    m_options.address = *address;
    const auto controlAddress = m_controlServer.start(m_options.control);
    if (!controlAddress)
        return tl::unexpected(controlAddress.error());
    m_options.control = *controlAddress;
    m_replicator = std::make_unique<Replicator>(m_node, m_faults, m_options.address, m_options.peers);
    return {};
}

void DatabaseStandIn::stop()
{
    m_node.stop();
    m_faults.stop();
    m_server.stop();
    m_controlServer.stop();
    if (m_replicator)
        m_replicator->stop();
}

nlohmann::json DatabaseStandIn::control(const nlohmann::json& command)
{
    try {
        if (command.contains("command")) {
            const auto name = command.at("command").get<std::string>();
            if (name != "dump" && name != "status")
                return { { "ok", false }, { "error", "unknown command '" + name + "'" } };
            auto answer = name == "dump" ? m_node.dump() : nlohmann::json::object();
            answer["ok"] = true;
            answer["status"] = status();
            return answer;
        }
        const auto fault = command.at("fault").get<std::string>();
        if (fault == "leave" || fault == "clear")
            m_registry.setLeaving(fault == "leave");
        if (fault != "leave")
            m_faults.apply(command);
        return { { "ok", true } };
    } catch (const std::exception& error) {
        return { { "ok", false }, { "error", error.what() } };
    }
}

void DatabaseStandIn::serveControl(LineSocket& socket)
{
    while (const auto line = socket.readLine()) {
        const auto command = nlohmann::json::parse(*line, nullptr, false);
        const auto answer = command.is_object()
            ? control(command)
            : nlohmann::json { { "ok", false }, { "error", "the line is not a JSON object" } };
        if (!socket.writeLine(answer.dump()))
            return;
    }
}

nlohmann::json DatabaseStandIn::status() const
{
    auto status = m_node.status();
    status.update(m_registry.status());
    status.update(m_registry.counters());
    status["address"] = m_options.address.toString();
    status["faults"] = m_faults.status();
    return status;
}

} // namespace kumquatbank::standin
