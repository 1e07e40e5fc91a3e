#include "kumquatbank/transport/PeerClient.h"

#include "PeerEncoding.h"
#include "PeerLink.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <thread>

namespace kumquatbank {

class PeerClient::Impl {
public:
    ~Impl()
    {
        m_io.stop();
        m_thread.join();
    }

    std::shared_ptr<PeerLink> openLink(const HostAddress& peer) { return PeerLink::open(m_io, peer); }
    std::shared_ptr<PeerLink> linkTo(const HostAddress& peer);
    Result<nlohmann::json> callOver(PeerLink& link, const PeerMessage& message, Milliseconds timeout);
    /// Forgets @p link once it is lost.
    void forgetIfLost(const HostAddress& peer, const std::shared_ptr<PeerLink>& link);
    std::size_t closeIdle(Milliseconds idle);

    std::atomic<std::uint64_t> controlBytes = 0;

private:
    static constexpr int oneThread = 1;

    asio::io_context m_io { oneThread };
    asio::executor_work_guard<asio::io_context::executor_type> m_work { m_io.get_executor() };
    std::mutex m_mutex;
    std::map<HostAddress, std::shared_ptr<PeerLink>> m_links;
    std::thread m_thread { [this] { m_io.run(); } };
};

std::shared_ptr<PeerLink> PeerClient::Impl::linkTo(const HostAddress& peer)
{
    const std::lock_guard lock(m_mutex);
    auto& link = m_links[peer];
    if (!link || !link->isUsable())
        link = openLink(peer);
    return link;
}

Result<nlohmann::json> PeerClient::Impl::callOver(
    PeerLink& link, const PeerMessage& message, Milliseconds timeout)
{
    const auto deadline = Deadline::after(timeout);
    auto request = encodePeerMessage(message);
    const auto requestBytes = request.size();
    const auto response = link.call(std::move(request), deadline);
    const auto responseBytes = response ? response->size() : 0;
    if (message.type != PeerMessageType::Forward)
        controlBytes += requestBytes + responseBytes;
    if (!response)
        return tl::unexpected<Failure>(response.error());
    auto envelope = decodePeerMessage(*response);
    if (envelope.is_object() && envelope.contains("failure"))
        return tl::unexpected<Failure>(envelope["failure"].get<Failure>());
    if (!envelope.is_object() || !envelope.contains("body"))
        return mayHaveRun(FailureCode::ConnectionLost, "the peer sent a malformed response");
    return std::move(envelope["body"]);
}

void PeerClient::Impl::forgetIfLost(const HostAddress& peer, const std::shared_ptr<PeerLink>& link)
{
    if (link->isUsable())
        return;
    const std::lock_guard lock(m_mutex);
    if (const auto it = m_links.find(peer); it != m_links.end() && it->second == link)
        m_links.erase(it);
}

std::size_t PeerClient::Impl::closeIdle(Milliseconds idle)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_links, [idle](const auto& item) {
        const bool isClosing = !item.second->isUsable() || item.second->isIdleFor(idle);
        if (isClosing)
            item.second->close();
        return isClosing;
    });
    return m_links.size();
}

PeerClient::PeerClient()
    : m_impl(std::make_unique<Impl>())
{
}

PeerClient::~PeerClient() = default;

Result<nlohmann::json> PeerClient::call(
    const HostAddress& peer, const PeerMessage& message, Milliseconds timeout)
{
    const auto link = m_impl->linkTo(peer);
    auto response = m_impl->callOver(*link, message, timeout);
    if (!response)
        m_impl->forgetIfLost(peer, link);
    return response;
}

Result<nlohmann::json> PeerClient::callFresh(
    const HostAddress& peer, const PeerMessage& message, Milliseconds timeout)
{
    const auto link = m_impl->openLink(peer);
    auto response = m_impl->callOver(*link, message, timeout);
    link->close();
    return response;
}

std::size_t PeerClient::closeIdle(Milliseconds idle) { return m_impl->closeIdle(idle); }

std::uint64_t PeerClient::controlBytes() const { return m_impl->controlBytes; }

} // namespace kumquatbank
