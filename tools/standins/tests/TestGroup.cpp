#include "TestGroup.h"

#include <thread>

namespace kumquatbank::standin {

TestCaller::TestCaller(
    const HostAddress& address, const std::string& host, std::uint64_t claim, const std::string& purpose)
    : m_socket(LineSocket::connect(address, Milliseconds(1000)))
{
    m_hello = call("hello", { { "host", host }, { "claim", claim }, { "purpose", purpose } });
}

nlohmann::json TestCaller::call(const std::string& method, const nlohmann::json& params)
{
    send(method, params);
    return receive();
}

void TestCaller::send(const std::string& method, const nlohmann::json& params)
{
    const nlohmann::json request { { "jsonrpc", "2.0" }, { "id", ++m_id }, { "method", method },
        { "params", params } };
    m_socket->writeLine(request.dump());
}

nlohmann::json TestCaller::receive(Milliseconds timeout)
{
    const auto line = m_socket->readLine(timeout);
    if (!line)
        return nullptr;
    const auto response = nlohmann::json::parse(*line);
    return response.at("id") == m_id ? response : nlohmann::json();
}

nlohmann::json TestCaller::write(Term term, const std::string& statement, const std::string& key)
{
    return call("execute", { { "term", term }, { "kind", "write" }, { "statement", statement }, { "key", key } });
}

nlohmann::json TestCaller::read(const std::string& statement, const LogPosition& required, Term term)
{
    return call("execute",
        { { "term", term }, { "kind", "read" }, { "statement", statement }, { "minTerm", required.term },
            { "minPosition", required.position } });
}

TestGroup::TestGroup(std::size_t slots, const DatabaseStandInOptions& options)
{
    for (std::size_t n = 0; n < slots; ++n) {
        auto own = options;
        own.address = own.control = { "127.0.0.1", 0 };
        own.slot = static_cast<unsigned>(n);
        own.isPrimary = n == 0;
        if (n > 0)
            own.peers = { m_slots.front()->address() };
        m_slots.push_back(std::make_unique<DatabaseStandIn>(own));
        m_slots.back()->start();
    }
}

TestCaller TestGroup::connect(std::size_t n, const std::string& host, std::uint64_t claim, const std::string& purpose)
{
    return { slot(n).address(), host, claim, purpose };
}

std::uint64_t TestGroup::position(std::size_t n)
{
    return slot(n).control({ { "command", "status" } }).at("status").at("position").get<std::uint64_t>();
}

bool eventually(const std::function<bool()>& condition)
{
    const auto deadline = Deadline::after(Milliseconds(3000));
    while (!deadline.hasPassed()) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds(2));
    }
    return condition();
}

int errorCode(const nlohmann::json& response)
{
    return response.contains("error") ? response.at("error").at("code").get<int>() : 0;
}

} // namespace kumquatbank::standin
