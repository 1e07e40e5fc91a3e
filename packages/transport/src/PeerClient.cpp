#include "kumquatbank/transport/PeerClient.h"

#include "LinkCloser.h"
#include "PeerEncoding.h"
#include "PeerLink.h"

#include <map>
#include <mutex>

namespace kumquatbank {

class PeerClient::Impl {
public:
    std::shared_ptr<PeerLink> openLink(const HostAddress& peer)
    {
        return m_closer.manage(std::make_unique<PeerLink>(peer));
    }
    std::shared_ptr<PeerLink> linkTo(const HostAddress& peer);
    Result<nlohmann::json> callOver(PeerLink& link, const PeerMessage& message, Milliseconds timeout);
    /// Forgets @p link once it is lost, which closes it after its last call.
    void forgetIfLost(const HostAddress& peer, const std::shared_ptr<PeerLink>& link);
    std::size_t closeIdle(Milliseconds idle);

    std::atomic<std::uint64_t> controlBytes = 0;

private:
    LinkCloser m_closer;
    std::mutex m_mutex;
    std::map<HostAddress, std::shared_ptr<PeerLink>> m_links;
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
    const auto requestBytes = nng_msg_len(request.get());
    const auto response = link.call(std::move(request), deadline);
    const auto responseBytes = response ? nng_msg_len(response->get()) : 0;
    if (message.type != PeerMessageType::Forward)
        controlBytes += requestBytes + responseBytes;
    if (!response)
        return tl::unexpected<Failure>(response.error());
    auto envelope = decodePeerMessage(response->get());
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
    const auto oldest = Clock::now() - idle;
    for (auto it = m_links.begin(); it != m_links.end();) {
        // A count above one means that a call in progress uses the link.
        const bool isIdle = it->second.use_count() == 1 && it->second->lastUsed() <= oldest;
        const bool isClosing = isIdle || !it->second->isUsable();
        it = isClosing ? m_links.erase(it) : std::next(it);
    }
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
    return m_impl->callOver(*link, message, timeout);
}

std::size_t PeerClient::closeIdle(Milliseconds idle) { return m_impl->closeIdle(idle); }

std::uint64_t PeerClient::controlBytes() const { return m_impl->controlBytes; }

} // namespace kumquatbank
