#include "CallerProtocol.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace kumquatbank::standin {

namespace {

    constexpr int parseError = -32700;
    constexpr int invalidRequest = -32600;
    constexpr int methodNotFound = -32601;
    constexpr int invalidParams = -32602;

    using CodeNumber = std::pair<FailureCode, int>;

    constexpr std::array<CodeNumber, 9> codeNumbers { {
        { FailureCode::NotPrimary, -32001 },
        { FailureCode::TermMismatch, -32002 },
        { FailureCode::Behind, -32003 },
        { FailureCode::ClaimSuperseded, -32004 },
        { FailureCode::ConnectionLimit, -32005 },
        { FailureCode::Leaving, -32006 },
        { FailureCode::NoTransaction, -32007 },
        { FailureCode::StatementError, -32008 },
        { FailureCode::NotFound, methodNotFound },
    } };

    nlohmann::json errorResponse(const nlohmann::json& id, int code, const std::string& message)
    {
        return { { "jsonrpc", "2.0" }, { "id", id },
            { "error",
                { { "code", code }, { "message", message },
                    { "data", { { "verdict", verdictName(Verdict::NotRun) } } } } } };
    }

    nlohmann::json response(const nlohmann::json& id, const Result<nlohmann::json>& result)
    {
        if (result)
            return { { "jsonrpc", "2.0" }, { "id", id }, { "result", *result } };
        const auto it = std::ranges::find(codeNumbers, result.error().code, &CodeNumber::first);
        return errorResponse(id, it == codeNumbers.end() ? invalidParams : it->second, result.error().message);
    }

    /// A request, or the error response to what could not be read as one.
    struct ParsedRequest {
        nlohmann::json id;
        std::string method;
        nlohmann::json params = nlohmann::json::object();
        std::optional<nlohmann::json> error;
    };

    ParsedRequest parseRequest(const std::string& line)
    {
        ParsedRequest request;
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (json.is_discarded()) {
            request.error = errorResponse(nullptr, parseError, "the line is not JSON");
            return request;
        }
        const bool isRequest = json.is_object() && json.value("jsonrpc", nlohmann::json()) == "2.0"
            && json.contains("id") && json.contains("method") && json.at("method").is_string()
            && (!json.contains("params") || json.at("params").is_object());
        if (!isRequest) {
            request.error = errorResponse(nullptr, invalidRequest, "the line is not a JSON-RPC 2.0 request");
            return request;
        }
        request.id = json.at("id");
        request.method = json.at("method").get<std::string>();
        if (json.contains("params"))
            request.params = json.at("params");
        return request;
    }

    /// Learns from a request who sent it.
    void identify(RemoteParty& party, const ParsedRequest& request)
    {
        party.isPeer = party.isPeer || request.method == "replicate";
        const auto* field = request.method == "hello" ? "host" : request.method == "replicate" ? "from"
                                                                                               : nullptr;
        const auto it = field ? request.params.find(field) : request.params.end();
        if (it != request.params.end() && it->is_string())
            party.name = it->get<std::string>();
    }

    nlohmann::json answer(RequestDispatcher& dispatcher, const ParsedRequest& request)
    {
        try {
            return response(request.id, dispatcher.dispatch(request.method, request.params));
        } catch (const nlohmann::json::exception& error) {
            return errorResponse(request.id, invalidParams, error.what());
        }
    }

} // namespace

void serveConnection(DatabaseNode& node, ConnectionRegistry& registry, FaultInjector& faults, ServiceTimes times,
    const std::shared_ptr<LineSocket>& socket)
{
    RemoteParty party { .socketAddress = socket->remoteAddress(), .silenceGeneration = faults.silenceGeneration() };
    RequestDispatcher dispatcher(node, registry, faults, times, socket);
    while (const auto line = socket->readLine()) {
        faults.waitWhileFrozen();
        const auto request = parseRequest(*line);
        identify(party, request);
        if (faults.drops(party))
            continue;
        if (request.error) {
            socket->writeLine(request.error->dump());
            return;
        }
        std::this_thread::sleep_for(faults.slowness());
        const auto text = answer(dispatcher, request).dump();
        faults.waitWhileFrozen();
        const bool isLost = dispatcher.takeLostAnswer() || faults.drops(party);
        const bool isBroken = !isLost && !socket->writeLine(text);
        if (!dispatcher.finishRequest() || isBroken)
            return;
    }
}

} // namespace kumquatbank::standin
