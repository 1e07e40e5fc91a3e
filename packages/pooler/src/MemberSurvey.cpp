#include "MemberSurvey.h"

#include "kumquatbank/engine/EventLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace kumquatbank {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds statusTimeout { 400 };
    /// An endpoint whose slots are all in use refuses the command and is asked again.
    constexpr int stopAttempts = 3;
    constexpr milliseconds stopRetryDelay { 80 };
    /// An endpoint that cannot be stopped counts as stopped if its log has not grown for this time.
    constexpr milliseconds settleTime { 500 };

    std::string formatPosition(LogPosition position) { return fmt::format("{}.{}", position.term, position.position); }

} // namespace

Task<MemberSurvey::Reply> MemberSurvey::ask(std::shared_ptr<DatabaseService> service, std::shared_ptr<Endpoint> endpoint, std::string command, BootTime sendUntil)
{
    Reply reply;
    auto lease = co_await service->acquireProbe(endpoint, statusTimeout);
    if (!lease)
        co_return reply;
    const auto sentAt = BootClock::now();
    if (sentAt > sendUntil)
        co_return reply;
    CommandBatch batch;
    batch.addControl(command);
    std::vector<DatabaseReply> replies;
    const auto exchanged = co_await lease->connection().exchange(std::move(batch), replies, sentAt + statusTimeout);
    if (exchanged != ExchangeStatus::Ok) {
        service->recordFailure(*endpoint, "status");
        co_return reply;
    }
    service->recordAnswer(*endpoint, sentAt);
    reply.status = WireDialect::parseStatusRow(replies[0].firstRow);
    if (!reply.status) {
        reply.refusal = replies[0].code.value_or(ErrorCode::Other);
        EventLog::warn("status_refused", { { "service", service->name() }, { "endpoint", endpoint->entry.id }, { "code", replies[0].code ? errorCodeName(*replies[0].code) : "unreadable" } });
        co_return reply;
    }
    reply.status->id = endpoint->entry.id;
    reply.status->isDraining = endpoint->entry.isDraining;
    reply.status->servingTime = service->servingTime(*endpoint);
    co_return reply;
}

Task<std::vector<MemberSurvey::Reply>> MemberSurvey::askEach(std::shared_ptr<DatabaseService> service, Endpoints endpoints, std::string command, BootTime sendUntil)
{
    // Concurrently, because an endpoint that does not answer takes the whole timeout.
    std::vector<Reply> replies(endpoints.size());
    std::size_t missing = endpoints.size();
    const auto waiter = std::make_shared<AutoResetEvent>(m_io);
    const auto askOne = [&, waiter](std::size_t n) -> Task<void> {
        auto text = command;
        auto reply = co_await ask(service, endpoints[n], std::move(text), sendUntil);
        replies[n] = std::move(reply);
        if (--missing == 0)
            waiter->wake();
    };
    for (std::size_t n = 0; n < endpoints.size(); ++n)
        asio::co_spawn(m_io, askOne(n), asio::detached);
    // The lambda askOne is part of this coroutine's frame, so all calls must end before the coroutine does.
    while (missing > 0)
        co_await waiter->wait(BootClock::now() + statusTimeout);
    co_return replies;
}

Task<std::vector<EndpointStatus>> MemberSurvey::askAll(std::shared_ptr<DatabaseService> service, std::string except)
{
    Endpoints endpoints;
    for (const auto& [id, endpoint] : service->endpoints()) {
        if (id != except && !endpoint->missingSince)
            endpoints.push_back(endpoint);
    }
    const auto command = WireDialect::status();
    const auto replies = co_await askEach(service, endpoints, command);
    std::vector<EndpointStatus> found;
    for (const auto& reply : replies) {
        if (reply.status)
            found.push_back(*reply.status);
    }
    co_return found;
}

Task<std::vector<EndpointStatus>> MemberSurvey::stopAll(std::shared_ptr<DatabaseService> service, std::vector<EndpointStatus> asked, bool mayRestOnWaiting)
{
    const auto newest = std::ranges::max_element(asked, {}, &EndpointStatus::term);
    const auto command = WireDialect::pause(newest == asked.end() ? 1 : newest->term + 1);
    bool hasRefusal = false;
    for (int attempt = 0; attempt < stopAttempts; ++attempt) {
        Endpoints pending;
        for (const auto& status : asked) {
            const auto endpoint = service->find(status.id);
            if (endpoint && !status.isStopped)
                pending.push_back(endpoint);
        }
        const auto replies = co_await askEach(service, pending, command);
        bool wasBusy = false;
        for (std::size_t n = 0; n < replies.size(); ++n) {
            const auto& reply = replies[n];
            wasBusy = wasBusy || reply.refusal == ErrorCode::Busy;
            hasRefusal = hasRefusal || (reply.refusal && reply.refusal != ErrorCode::Busy);
            const auto it = std::ranges::find(asked, pending[n]->entry.id, &EndpointStatus::id);
            if (reply.status) {
                *it = *reply.status;
                it->isStopped = !it->isPrimary;
            }
        }
        if (!wasBusy)
            break;
        co_await sleepFor(m_io, stopRetryDelay);
    }
    if (hasRefusal && mayRestOnWaiting) {
        co_await sleepFor(m_io, settleTime);
        const auto later = co_await askAll(service, "");
        for (auto& status : asked) {
            const auto it = std::ranges::find(later, status.id, &EndpointStatus::id);
            if (!status.isStopped && it != later.end())
                status.isStopped = !it->isPrimary && it->received == status.received;
        }
    }
    for (const auto& status : asked)
        EventLog::info("member_stopped", { { "service", service->name() }, { "endpoint", status.id }, { "stopped", status.isStopped }, { "refused", hasRefusal }, { "received", formatPosition(status.received) }, { "term", status.term }, { "draining", status.isDraining } });
    co_return asked;
}

Task<bool> MemberSurvey::resumeAll(std::shared_ptr<DatabaseService> service, std::set<std::string> ids, BootTime sendUntil)
{
    Endpoints endpoints;
    for (const auto& id : ids) {
        if (const auto endpoint = service->find(id))
            endpoints.push_back(endpoint);
    }
    const auto command = WireDialect::resume();
    const auto replies = co_await askEach(service, endpoints, command, sendUntil);
    // One that refuses the command other than for lack of a slot does not know it and is not stopped.
    const bool areResumed = std::ranges::all_of(replies, [](const Reply& reply) { return reply.status || (reply.refusal && reply.refusal != ErrorCode::Busy); });
    EventLog::info("members_resumed", { { "service", service->name() }, { "endpoints", endpoints.size() }, { "all", areResumed } });
    co_return areResumed;
}

} // namespace kumquatbank
