#pragma once

#include "kumquatbank/routing/ServiceScheduler.h"

#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <random>

namespace kumquatbank {

/// The load of accounts on the slots of one service, in simulated time. Kinds and their shares of the load are those of
/// deployment A in docs/design/accounts-and-load.md.
class LoadSimulation {
public:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    struct Kind {
        Eligibility eligibility;
        double share; ///< Of the operations.
        Milliseconds work;
        std::chrono::milliseconds target;
        double worth; ///< Of an operation that is served within the target.
    };
    static constexpr std::array<Kind, 3> kinds { { { Eligibility::PrimaryOnly, 109.0 / 807, Milliseconds(6), std::chrono::milliseconds(250), 3.5 },
        { Eligibility::Any, 509.0 / 807, Milliseconds(18), std::chrono::milliseconds(500), 1.9 },
        { Eligibility::Any, 189.0 / 807, Milliseconds(30), std::chrono::milliseconds(1200), 0.47 } } };

    struct Client {
        std::string account;
        double weight = 0;
        double perSecond = 0;
        std::vector<double> shares { kinds[0].share, kinds[1].share, kinds[2].share }; ///< Of the kinds, by priority.
        Milliseconds idleUntil { 0 };
    };
    struct Result {
        double worth = 0;
        std::array<int, 3> sent {};
        std::array<int, 3> served {};
        Milliseconds held { 0 };
    };

    /// @p passesAccounts: false for the order of requests without accounts.
    LoadSimulation(std::vector<Client> clients, bool passesAccounts, unsigned seed)
        : m_clients(std::move(clients))
        , m_passesAccounts(passesAccounts)
        , m_random(seed)
    {
        for (const auto* id : { "p", "r1", "r2" })
            m_scheduler.setEndpoint(id, true, std::string_view(id) == "p", slotsPerEndpoint);
    }

    /// The usual traffic of the n-th of @p count accounts is proportional to n^-1.2, its weight 1.6 times that.
    static std::vector<Client> usualClients(std::size_t count, double perSecond)
    {
        std::vector<Client> clients(count);
        double sum = 0;
        for (std::size_t n = 0; n < count; ++n)
            sum += clients[n].perSecond = std::pow(static_cast<double>(n + 1), -1.2);
        for (std::size_t n = 0; n < count; ++n) {
            clients[n].account = "account-" + std::to_string(n + 1);
            clients[n].perSecond *= perSecond / sum;
            clients[n].weight = clients[n].perSecond * 1.6;
        }
        return clients;
    }
    /// Operations per second that use all slots.
    static double fullLoad()
    {
        double work = 0;
        for (const auto& kind : kinds)
            work += kind.share * kind.work.count();
        return 3 * slotsPerEndpoint * 1000.0 / work;
    }

    std::map<std::string, Result> run(Milliseconds duration, Milliseconds measuredFrom = Milliseconds(0))
    {
        m_measuredFrom = measuredFrom;
        for (std::size_t n = 0; n < m_clients.size(); ++n)
            scheduleArrival(n, m_clients[n].idleUntil);
        while (!m_events.empty() && m_events.top().at < duration) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            m_scheduler.advanceTo(time());
            m_actions.extract(event.number).mapped()();
        }
        return m_results;
    }

private:
    static constexpr int slotsPerEndpoint = 4;

    struct Event {
        Milliseconds at;
        std::uint64_t number;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };
    struct Operation {
        std::size_t client;
        int priority;
        Milliseconds arrivedAt;
        std::unique_ptr<ServiceScheduler::Ticket> ticket {};
    };

    BootTime time() const { return BootTime(std::chrono::seconds(1000)) + std::chrono::duration_cast<BootClock::duration>(m_now); }

    void schedule(Milliseconds at, std::function<void()> action)
    {
        m_actions.emplace(m_number, std::move(action));
        m_events.push({ at, m_number++ });
    }

    void scheduleArrival(std::size_t client, Milliseconds from)
    {
        const Milliseconds pause(std::exponential_distribution<>(m_clients[client].perSecond / 1000)(m_random));
        schedule(from + pause, [this, client] {
            arrive(client);
            scheduleArrival(client, m_now);
        });
    }

    void arrive(std::size_t n)
    {
        const auto& client = m_clients[n];
        const int priority = std::discrete_distribution<int>(client.shares.begin(), client.shares.end())(m_random);
        const auto& kind = kinds[static_cast<std::size_t>(priority)];
        if (m_now >= m_measuredFrom)
            ++m_results[client.account].sent[static_cast<std::size_t>(priority)];
        PermitRequest request { kind.eligibility, priority, time() + kind.target * 60 / 100, {}, {}, 0 };
        if (m_passesAccounts) {
            request.account = client.account;
            request.accountWeight = client.weight;
        }
        const auto operation = std::make_shared<Operation>(Operation { n, priority, m_now });
        if (const auto endpoint = m_scheduler.tryAcquire(request)) {
            hold(operation, *endpoint);
            return;
        }
        if (time() + m_scheduler.expectedWait(request) >= request.queueDeadline)
            return;
        operation->ticket = m_scheduler.enqueue(request, time(), [this, waiting = std::weak_ptr(operation)](const std::string& endpoint) { hold(waiting.lock(), endpoint); });
        schedule(m_now + kind.target * 0.6, [operation] { operation->ticket.reset(); });
    }

    void hold(const std::shared_ptr<Operation>& operation, const std::string& endpoint)
    {
        const auto& kind = kinds[static_cast<std::size_t>(operation->priority)];
        const auto work = kind.work * std::uniform_real_distribution<>(0.5, 1.5)(m_random);
        schedule(m_now + work, [this, operation, endpoint, work, &kind] {
            auto& result = m_results[m_clients[operation->client].account];
            if (m_now >= m_measuredFrom) {
                result.held += work;
                if (m_now <= operation->arrivedAt + kind.target) {
                    result.worth += kind.worth;
                    ++result.served[static_cast<std::size_t>(operation->priority)];
                }
            }
            const auto account = m_passesAccounts ? m_clients[operation->client].account : std::string();
            m_scheduler.release(endpoint, std::chrono::duration_cast<std::chrono::microseconds>(work), { kind.eligibility, account });
        });
    }

    std::vector<Client> m_clients;
    bool m_passesAccounts;
    std::mt19937 m_random;
    ServiceScheduler m_scheduler;
    std::priority_queue<Event> m_events;
    std::map<std::uint64_t, std::function<void()>> m_actions;
    std::uint64_t m_number = 0;
    Milliseconds m_now { 0 };
    Milliseconds m_measuredFrom { 0 };
    std::map<std::string, Result> m_results;
};

} // namespace kumquatbank
