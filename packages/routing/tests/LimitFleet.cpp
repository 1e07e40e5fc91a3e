#include "LimitFleet.h"

#include <algorithm>

namespace kumquatbank {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr milliseconds requestTimeout { 150 };
    constexpr milliseconds exchangeInterval { 100 };
    constexpr milliseconds minExchangeInterval { 50 };
    constexpr milliseconds exchangeIdleInterval { 500 };
    constexpr milliseconds minAskInterval { 10 };
    constexpr milliseconds maxLateness { 3000 };
    /// Way from a host to a database.
    constexpr milliseconds databaseDelay { 9 };
    constexpr int coordinatorsPerHost = 3;

} // namespace

LimitFleet::LimitFleet(Shape shape, unsigned seed)
    : m_shape(shape)
    , m_random(seed)
    , m_rankings(static_cast<std::size_t>(shape.regions))
{
    for (int n = 0; n < shape.hosts; ++n) {
        auto added = std::make_unique<Host>();
        added->index = n;
        added->region = n % shape.regions;
        added->clockOffset = uniform(std::chrono::hours(10));
        added->listedHosts = shape.hosts;
        m_rankings.at(static_cast<std::size_t>(added->region)).push_back(n);
        m_hosts.push_back(std::move(added));
    }
    for (auto& added : m_hosts) {
        const auto& ranking = m_rankings.at(static_cast<std::size_t>(added->region));
        for (int k = 0; k < coordinatorsPerHost; ++k)
            added->ranking.push_back(nameOf(ranking.at(static_cast<std::size_t>(k))));
        start(*added);
    }
}

void LimitFleet::after(Duration delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, ++m_eventNumber, std::move(action) });
}

void LimitFleet::runFor(Duration duration)
{
    const auto until = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= until) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = until;
}

void LimitFleet::schedule(Host& host, Duration delay, std::function<void()> action)
{
    after(delay, [this, index = host.index, life = host.life, action = std::move(action)] { runOn(index, life, action); });
}

void LimitFleet::runOn(int index, int life, const std::function<void()>& action)
{
    auto& target = host(index);
    if (target.life != life || !target.isUp)
        return;
    if (target.frozenUntil > m_now)
        after(target.frozenUntil - m_now, [this, index, life, action] { runOn(index, life, action); });
    else
        action();
}

void LimitFleet::transmit(const Host& from, Host& to, std::function<void()> deliver)
{
    if (m_now < m_splitUntil && m_side(from.index) != m_side(to.index))
        return;
    if (uniform() < m_shape.lossProbability)
        return;
    const auto delayOf = [&] {
        const auto usual = (from.region == to.region ? microseconds(300) : microseconds(8000)) + uniform(microseconds(1500));
        return uniform() < m_shape.lateProbability ? usual + uniform(maxLateness) : usual;
    };
    if (uniform() < m_shape.duplicateProbability)
        schedule(to, delayOf(), deliver);
    schedule(to, delayOf(), std::move(deliver));
}

void LimitFleet::start(Host& host)
{
    ++host.life;
    host.isUp = true;
    host.run = m_random();
    host.share = std::make_unique<LimitShare>(nameOf(host.index), clock(host));
    host.pool = std::make_unique<LimitPool>(host.run, clock(host));
    host.waiters.clear();
    host.hasRequest = false;
    host.wakeAt = BootTime::max();
    applyTerms(host, m_limits);
    wake(host, uniform(milliseconds(300)));
    schedule(host, uniform(exchangeInterval), [this, &host] { exchangePeriodically(host); });
}

void LimitFleet::applyTerms(Host& host, const std::map<std::string, RateLimit>& limits)
{
    LimitTermsByAccount terms;
    for (const auto& [account, limit] : limits)
        terms.emplace(account, LimitTerms::of(limit, {}));
    host.terms = terms;
    host.share->setTerms(terms, clock(host));
    host.pool->setTerms(terms, clock(host));
}

void LimitFleet::setLimits(const std::map<std::string, RateLimit>& limits, Duration spread)
{
    std::set<std::string> names;
    std::ranges::transform(m_limits, std::inserter(names, names.end()), [](const auto& item) { return item.first; });
    std::ranges::transform(limits, std::inserter(names, names.end()), [](const auto& item) { return item.first; });
    for (const auto& name : names) {
        const auto it = limits.find(name);
        auto& changes = m_changes[name];
        if (changes.empty())
            changes.push_back({ {}, m_now + spread, std::nullopt });
        else
            changes.back().previousUntil = m_now + spread;
        changes.push_back({ m_now, BootTime::max(), it == limits.end() ? std::nullopt : std::optional(it->second) });
    }
    m_limits = limits;
    for (auto& target : m_hosts)
        after(uniform(spread), [this, &target, limits] { applyTerms(*target, limits); });
}

void LimitFleet::setDemand(const std::string& account, double perSecond, std::vector<int> hosts)
{
    auto& demand = m_demands[account];
    demand = { perSecond, std::move(hosts), demand.generation + 1 };
    if (perSecond > 0)
        arrive(account);
}

void LimitFleet::arrive(const std::string& account)
{
    const auto& demand = m_demands[account];
    const std::chrono::duration<double> pause(std::exponential_distribution<double>(demand.perSecond)(m_random));
    after(std::chrono::duration_cast<Duration>(pause), [this, account, generation = demand.generation] {
        const auto& current = m_demands[account];
        if (current.generation != generation)
            return;
        auto& target = host(current.hosts.at(m_random() % current.hosts.size()));
        if (target.isUp)
            schedule(target, Duration(0), [this, &target, account] { operate(target, account); });
        arrive(account);
    });
}

void LimitFleet::admit(const Host& host, const std::string& account, BootTime sendUntil)
{
    ++m_counts[account].admitted;
    const auto latest = std::max(Duration(0), sendUntil - clock(host));
    // One in two operations is sent as late as it may.
    auto sentAfter = uniform() < 0.5 ? latest : uniform(latest);
    if (m_shape.sendsLateUntil)
        sentAfter = m_now < *m_shape.sendsLateUntil ? latest : Duration(0);
    after(sentAfter + uniform(databaseDelay), [this, account] { m_arrivals[account].push_back(m_now); });
}

void LimitFleet::refuse(const std::string& account)
{
    auto& counts = m_counts[account];
    ++counts.refused;
    counts.lastRefusal = m_now;
}

void LimitFleet::operate(Host& host, const std::string& account)
{
    auto& share = *host.share;
    const auto now = clock(host);
    share.recordHostCount(host.listedHosts, now);
    if (!share.isLimited(account)) {
        admit(host, account, now + LimitTimes::sendAfterAdmission);
        return;
    }
    share.recordDemand(account, now);
    const bool isFirst = std::ranges::find(host.waiters, account, &Waiter::account) == host.waiters.end();
    if (const auto sendUntil = isFirst ? share.take(account, now) : std::nullopt) {
        admit(host, account, *sendUntil);
        if (share.needsTokensAhead(account, now))
            wake(host, Duration(0));
    } else if (share.knownShortage(account, now)) {
        refuse(account);
    } else {
        host.waiters.push_back({ account, now + LimitTimes::maxWait, now });
        wake(host, Duration(0));
        schedule(host, LimitTimes::maxWait, [this, &host] {
            const auto expired = [&](const Waiter& waiter) { return waiter.deadline <= clock(host); };
            for (const auto& waiter : host.waiters) {
                if (!expired(waiter))
                    continue;
                if (const auto sendUntil = host.share->take(waiter.account, clock(host)))
                    admit(host, waiter.account, *sendUntil);
                else
                    refuse(waiter.account);
            }
            std::erase_if(host.waiters, expired);
        });
    }
}

void LimitFleet::wake(Host& host, Duration delay)
{
    const auto at = m_now + std::max(delay, Duration(0));
    if (at >= host.wakeAt)
        return;
    host.wakeAt = at;
    schedule(host, std::max(delay, Duration(0)), [this, &host] {
        // A later wake-up was moved forward by an earlier one.
        if (host.wakeAt <= m_now) {
            host.wakeAt = BootTime::max();
            step(host);
        }
    });
}

void LimitFleet::step(Host& host)
{
    if (host.hasRequest)
        return;
    const auto now = clock(host);
    host.share->recordHostCount(host.listedHosts, now);
    host.pool->recordHostCount(host.listedHosts, now);
    if (const auto suspect = host.share->coordinatorToProbe(host.ranking, now); !suspect.empty()) {
        const auto probe = host.share->makeProbe(now);
        ask(host, std::stoi(suspect), probe, [this, &host, suspect, now](const LimitReply& reply) {
            if (clock(host) < now + requestTimeout)
                host.share->applyReply(suspect, reply, now, clock(host));
        });
    }
    const auto coordinator = host.share->chooseCoordinator(host.ranking, now);
    if (!coordinator.empty()) {
        ask(host, std::stoi(coordinator));
        return;
    }
    finishRequest(host, {}, nullptr, now);
}

void LimitFleet::ask(Host& host, int coordinator)
{
    std::map<std::string, int, std::less<>> waiting;
    for (const auto& waiter : host.waiters)
        ++waiting[waiter.account];
    const auto sentAt = clock(host);
    const auto name = nameOf(coordinator);
    const auto request = host.share->makeRequest(name, waiting, sentAt);
    host.hasRequest = true;
    const int number = ++host.requestNumber;
    const auto finish = [this, &host, name, sentAt, number](const LimitReply* reply) {
        if (!host.hasRequest || host.requestNumber != number)
            return;
        host.hasRequest = false;
        finishRequest(host, name, reply, sentAt);
    };
    schedule(host, requestTimeout, [finish] { finish(nullptr); });
    ask(host, coordinator, request, [finish](const LimitReply& reply) { finish(&reply); });
}

void LimitFleet::ask(Host& asking, int coordinator, const LimitRequest& request, std::function<void(const LimitReply&)> done)
{
    auto& target = host(coordinator);
    const auto handle = [this, &asking, &target, request, done = std::move(done)] {
        auto received = request;
        if (m_shape.countsFromReceipt && !request.isExchange)
            received.stamp = LimitStamp { target.run, clock(target) };
        target.pool->recordHostCount(target.listedHosts, clock(target));
        const auto reply = target.pool->handle(received, clock(target));
        if (!reply.retryAfter.empty())
            exchange(target);
        if (&target == &asking)
            done(reply);
        else
            transmit(target, asking, [done, reply] { done(reply); });
    };
    if (&target == &asking)
        handle();
    else
        transmit(asking, target, handle);
}

void LimitFleet::finishRequest(Host& host, const std::string& coordinator, const LimitReply* reply, BootTime sentAt)
{
    const auto now = clock(host);
    if (reply != nullptr)
        host.share->applyReply(coordinator, *reply, sentAt, now);
    else if (!coordinator.empty())
        host.share->recordFailure(coordinator, now);
    std::erase_if(host.waiters, [&](Waiter& waiter) {
        if (const auto sendUntil = host.share->take(waiter.account, now)) {
            admit(host, waiter.account, *sendUntil);
            return true;
        }
        const auto it = reply == nullptr ? decltype(reply->retryAfter.end()) {} : reply->retryAfter.find(waiter.account);
        const bool isShort = reply != nullptr && it != reply->retryAfter.end();
        const bool isRefused = isShort ? now + it->second >= waiter.deadline : reply == nullptr && host.share->usesOwnShare(now);
        if (isRefused)
            refuse(waiter.account);
        else if (reply != nullptr)
            waiter.askAt = now + (isShort ? std::max(it->second, minAskInterval) : minAskInterval);
        return isRefused;
    });
    auto next = host.share->nextRequestAt();
    for (const auto& waiter : host.waiters)
        next = std::min(next, waiter.askAt);
    wake(host, std::max<Duration>(next - now, coordinator.empty() ? Duration(milliseconds(100)) : Duration(0)));
}

void LimitFleet::exchangePeriodically(Host& host)
{
    schedule(host, exchangeInterval, [this, &host] { exchangePeriodically(host); });
    exchange(host);
}

void LimitFleet::exchange(Host& host)
{
    const auto now = clock(host);
    if (now < host.exchangedAt + minExchangeInterval)
        return;
    host.exchangedAt = now;
    if (!host.pool->isInUse(now))
        return;
    std::vector<int> others;
    for (const auto& ranking : m_rankings) {
        if (ranking.front() != host.index)
            others.push_back(ranking.front());
    }
    const auto wants = host.pool->wantedFromOthers(others.size(), now);
    if (wants.empty() && m_random() % (exchangeIdleInterval / exchangeInterval) != 0)
        return;
    LimitRequest request;
    request.host = nameOf(host.index);
    request.hosts = host.pool->ownHostCount(now);
    request.isExchange = true;
    request.wants = wants;
    for (const int other : others) {
        auto isDone = std::make_shared<bool>(false);
        ask(host, other, request, [this, &host, request, now, isDone](const LimitReply& reply) {
            // The channel is closed after the time-out, and a second reply to the same request is not read.
            if (std::exchange(*isDone, true) || clock(host) >= now + LimitTimes::exchangeValidity)
                return;
            host.pool->applyExchange(request, reply, now, clock(host));
        });
    }
}

void LimitFleet::freeze(int index, Duration duration) { host(index).frozenUntil = std::max(host(index).frozenUntil, m_now + duration); }

void LimitFleet::kill(int index, Duration downTime)
{
    auto& target = host(index);
    if (!target.isUp)
        return;
    target.isUp = false;
    target.frozenUntil = {};
    after(downTime, [this, &target] { start(target); });
}

void LimitFleet::split(std::function<bool(int)> side, Duration duration)
{
    m_side = std::move(side);
    m_splitUntil = m_now + duration;
}

void LimitFleet::shuffleRanking(int index)
{
    std::ranges::shuffle(host(index).ranking, m_random);
}

double LimitFleet::worstExcess(const std::string& account, const LimitBound& bound) const
{
    const auto arrivals = m_arrivals.find(account);
    const auto changes = m_changes.find(account);
    if (arrivals == m_arrivals.end() || changes == m_changes.end())
        return -1;
    double worst = -1e9;
    std::size_t first = 0;
    const auto& times = arrivals->second;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[first] <= times[last] - bound.window)
            ++first;
        // A limit counts for a window if any host had it in the window or the 5 s before.
        const auto from = times[last] - bound.window - seconds(5);
        double allowed = 0;
        for (const auto& change : changes->second) {
            if (change.at <= times[last] && change.previousUntil > from)
                allowed = change.limit ? std::max(allowed, bound.operationsPerWindow(*change.limit)) : 1e9;
        }
        worst = std::max(worst, static_cast<double>(last - first + 1) - allowed);
    }
    return worst;
}

} // namespace kumquatbank
