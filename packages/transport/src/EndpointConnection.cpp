#include "kumquatbank/transport/EndpointConnection.h"

#include "TcpLineSocket.h"
#include "kumquatbank/core/JsonText.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kumquatbank {

namespace {

    using RpcCode = std::pair<int, FailureCode>;

    /// Error codes of the endpoint protocol, then those JSON-RPC itself defines for a rejected request.
    constexpr std::array<RpcCode, 12> rpcCodes { {
        { -32001, FailureCode::NotPrimary },
        { -32002, FailureCode::TermMismatch },
        { -32003, FailureCode::Behind },
        { -32004, FailureCode::ClaimSuperseded },
        { -32005, FailureCode::ConnectionLimit },
        { -32006, FailureCode::Leaving },
        { -32007, FailureCode::NoTransaction },
        { -32008, FailureCode::StatementError },
        { -32600, FailureCode::BadRequest },
        { -32601, FailureCode::BadRequest },
        { -32602, FailureCode::BadRequest },
        { -32700, FailureCode::BadRequest },
    } };

    /// Reads a JSON-RPC error object; empty when it has not the form the protocol demands.
    std::optional<Failure> readError(const nlohmann::json& error)
    {
        if (!error.is_object() || !error.contains("code") || !error["code"].is_number_integer())
            return std::nullopt;
        Failure failure;
        const auto it = std::ranges::find(rpcCodes, error["code"].get<int>(), &RpcCode::first);
        failure.code = it == rpcCodes.end() ? FailureCode::Internal : it->second;
        if (const auto message = error.find("message"); message != error.end() && message->is_string())
            failure.message = message->get<std::string>();
        const auto verdict = nlohmann::json::json_pointer("/data/verdict");
        if (error.contains(verdict) && error[verdict].is_string())
            failure.verdict = parseVerdict(error[verdict].get_ref<const std::string&>());
        // An error that claims "answered" contradicts itself.
        if (failure.verdict == Verdict::Answered)
            failure.verdict = Verdict::MayHaveRun;
        return failure;
    }

} // namespace

class EndpointConnection::Impl {
public:
    Impl(TcpLineSocket socket, std::string address)
        : m_socket(std::move(socket))
        , m_address(std::move(address))
    {
    }

    Result<nlohmann::json> call(
        const std::string& method, const nlohmann::json& params, const Deadline& deadline);

    bool isUsable() const { return m_isUsable; }
    void abort() { m_socket.shutdown(); }

private:
    /// Marks the connection unusable; the request stays NotRun only while no byte of it was sent.
    tl::unexpected<Failure> abandon(SocketStatus status, std::size_t sentBytes);
    Result<nlohmann::json> readResponse(const std::string& line);

    TcpLineSocket m_socket;
    std::string m_address;
    std::uint64_t m_lastId = 0;
    bool m_isUsable = true;
};

tl::unexpected<Failure> EndpointConnection::Impl::abandon(SocketStatus status, std::size_t sentBytes)
{
    m_isUsable = false;
    const auto code = status == SocketStatus::Timeout ? FailureCode::Timeout : FailureCode::ConnectionLost;
    const auto* what = status == SocketStatus::Timeout ? " did not answer in time"
        : status == SocketStatus::TooLong              ? " sent too long a line"
                                                       : " closed the connection";
    if (sentBytes == 0)
        return notRun(code, m_address + what);
    return mayHaveRun(code, m_address + what);
}

Result<nlohmann::json> EndpointConnection::Impl::readResponse(const std::string& line)
{
    const auto broken = [&](const std::string& why) {
        m_isUsable = false;
        return mayHaveRun(FailureCode::ConnectionLost, m_address + why);
    };
    auto response = JsonText::parseOrDiscard(line);
    if (!response.is_object())
        return broken(" sent a line that is not a JSON object");
    const auto id = response.find("id");
    if (id == response.end() || !id->is_number_unsigned() || id->get<std::uint64_t>() != m_lastId)
        return broken(" answered another request");
    if (const auto error = response.find("error"); error != response.end()) {
        auto failure = readError(*error);
        if (!failure)
            return broken(" sent an error without a code");
        return tl::unexpected<Failure>(std::move(*failure));
    }
    const auto result = response.find("result");
    if (result == response.end())
        return broken(" answered without a result");
    return std::move(*result);
}

Result<nlohmann::json> EndpointConnection::Impl::call(
    const std::string& method, const nlohmann::json& params, const Deadline& deadline)
{
    if (!m_isUsable)
        return notRun(FailureCode::ConnectionLost, "the connection to " + m_address + " is not usable");
    if (deadline.hasPassed())
        return notRun(FailureCode::DeadlinePassed, "the deadline passed before the request was sent");
    std::string line;
    try {
        line = R"({"jsonrpc":"2.0","id":)" + std::to_string(m_lastId + 1) + R"(,"method":)"
            + nlohmann::json(method).dump() + R"(,"params":)" + params.dump() + "}\n";
    } catch (const nlohmann::json::exception& ex) {
        return notRun(FailureCode::BadRequest, std::string("the request cannot be encoded: ") + ex.what());
    }
    // A response to an abandoned request, or a connection closed while idle, shows here with nothing sent.
    if (!m_socket.isQuiet())
        return abandon(SocketStatus::Closed, 0);
    ++m_lastId;
    std::size_t sentBytes = 0;
    auto status = m_socket.sendAll(line, deadline, sentBytes);
    if (status == SocketStatus::Done)
        status = m_socket.readLine(line, deadline);
    if (status != SocketStatus::Done)
        return abandon(status, sentBytes);
    return readResponse(line);
}

EndpointConnection::EndpointConnection(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

EndpointConnection::~EndpointConnection() = default;

Result<std::unique_ptr<EndpointConnection>> EndpointConnection::open(
    const HostAddress& address, const Deadline& deadline)
{
    auto socket = TcpLineSocket::connect(address, deadline);
    if (!socket)
        return tl::unexpected<Failure>(std::move(socket.error()));
    auto impl = std::make_unique<Impl>(std::move(*socket), address.toString());
    return std::unique_ptr<EndpointConnection>(new EndpointConnection(std::move(impl)));
}

Result<nlohmann::json> EndpointConnection::call(
    const std::string& method, const nlohmann::json& params, const Deadline& deadline)
{
    return m_impl->call(method, params, deadline);
}

void EndpointConnection::abort() { m_impl->abort(); }

bool EndpointConnection::isUsable() const { return m_impl->isUsable(); }

} // namespace kumquatbank
