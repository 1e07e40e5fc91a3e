#pragma once

#include "kumquatbank/routing/routing.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace kumquatbank {

/// Model of a fleet of hosts that keep the limits of accounts: their messages with delays and faults, on a virtual clock.
/// Each host has a clock of its own. Operations arrive at databases as late as their admission allows.
class LimitFleet {
public:
    using Duration = BootClock::duration;

    struct Shape {
        int hosts = 87;
        int regions = 3;
        double lossProbability = 0;
        double lateProbability = 0; ///< Of a delay of up to 3 s.
        double duplicateProbability = 0;
        /// If set, operations admitted before this time are sent as late as they may, and later ones at once.
        std::optional<BootTime> sendsLateUntil {};
        /// Whether a coordinator counts a share from the receipt of a request instead of from its stamp: the fault that
        /// the stamps prevent.
        bool countsFromReceipt = false;
    };

    LimitFleet(Shape shape, unsigned seed);

    Shape& shape() { return m_shape; }
    std::mt19937& random() { return m_random; }
    BootTime now() const { return m_now; }
    void runFor(Duration duration);
    /// Calls @p action after a delay on the virtual clock.
    void after(Duration delay, std::function<void()> action);

    /// Gives all hosts new limits, each within @p spread.
    void setLimits(const std::map<std::string, RateLimit>& limits, Duration spread);
    /// Operations of an account arrive from now on at random times at the given hosts.
    void setDemand(const std::string& account, double perSecond, std::vector<int> hosts);

    void freeze(int host, Duration duration);
    void kill(int host, Duration downTime);
    /// Cuts the hosts for which @p side is true off from the others.
    void split(std::function<bool(int)> side, Duration duration);
    /// Makes a host believe in another order of coordinators.
    void shuffleRanking(int host);
    void setListedHosts(int host, int count) { m_hosts.at(static_cast<std::size_t>(host))->listedHosts = count; }
    int coordinator(int region) const { return m_rankings.at(static_cast<std::size_t>(region)).front(); }

    struct Counts {
        int admitted = 0;
        int refused = 0;
        BootTime lastRefusal {};
    };
    Counts counts(const std::string& account) { return m_counts[account]; }
    void resetCounts() { m_counts.clear(); }
    /// Greatest excess of operations over the bound in any window, in operations; negative if the bound holds.
    double worstExcess(const std::string& account, const LimitBound& bound) const;

private:
    struct Waiter {
        std::string account;
        BootTime deadline; ///< On the clock of the host.
        BootTime askAt;
    };

    struct Host {
        int index = 0;
        int region = 0;
        Duration clockOffset {};
        int listedHosts = 0;
        int life = 0; ///< Rises with each start; events of an earlier life are dropped.
        bool isUp = true;
        BootTime frozenUntil {};
        std::vector<std::string> ranking;
        std::unique_ptr<LimitShare> share;
        std::unique_ptr<LimitPool> pool;
        LimitTermsByAccount terms;
        std::uint64_t run = 0;
        std::vector<Waiter> waiters;
        int requestNumber = 0; ///< Of the request in flight, or of the last one.
        bool hasRequest = false;
        BootTime wakeAt = BootTime::max();
        BootTime exchangedAt {};
    };

    struct Event {
        BootTime at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator>(const Event& other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
    };

    Host& host(int index) { return *m_hosts.at(static_cast<std::size_t>(index)); }
    static std::string nameOf(int index) { return std::to_string(index); }
    BootTime clock(const Host& host) const { return m_now + host.clockOffset; }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Duration uniform(Duration maximum) { return std::chrono::duration_cast<Duration>(maximum * uniform()); }

    void start(Host& host);
    /// Runs @p action on a host after a delay, once it is not frozen, unless its life ends before.
    void schedule(Host& host, Duration delay, std::function<void()> action);
    void runOn(int index, int life, const std::function<void()>& action);
    /// Carries a message from one host to another, or loses it.
    void transmit(const Host& from, Host& to, std::function<void()> deliver);
    void arrive(const std::string& account);
    void operate(Host& host, const std::string& account);
    void admit(const Host& host, const std::string& account, BootTime sendUntil);
    void refuse(const std::string& account);
    void wake(Host& host, Duration delay);
    void step(Host& host);
    void ask(Host& host, int coordinator);
    void ask(Host& host, int coordinator, const LimitRequest& request, std::function<void(const LimitReply&)> done);
    void finishRequest(Host& host, const std::string& coordinator, const LimitReply* reply, BootTime sentAt);
    void exchangePeriodically(Host& host);
    void exchange(Host& host);
    void applyTerms(Host& host, const std::map<std::string, RateLimit>& limits);

    Shape m_shape;
    std::mt19937 m_random;
    BootTime m_now { std::chrono::hours(1) };
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::vector<int>> m_rankings; ///< By region.
    std::function<bool(int)> m_side;
    BootTime m_splitUntil {};
    std::map<std::string, RateLimit> m_limits;
    struct Demand {
        double perSecond = 0;
        std::vector<int> hosts;
        int generation = 0;
    };
    std::map<std::string, Demand> m_demands;
    std::map<std::string, Counts> m_counts;
    std::map<std::string, std::vector<BootTime>> m_arrivals; ///< At databases.
    struct LimitChange {
        BootTime at; ///< When the first host had the new limit.
        BootTime previousUntil; ///< When the last host had it.
        std::optional<RateLimit> limit;
    };
    std::map<std::string, std::vector<LimitChange>> m_changes;
};

} // namespace kumquatbank
