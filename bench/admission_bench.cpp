/// Measures the admission policies side by side: one endpoint with 18 connections, real threads, simulated
/// service times, open-loop Poisson arrivals. Usage: admission_bench [seconds per run]

#include "kumquatbank/admission/admission.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace kumquatbank;

namespace {

using Seconds = std::chrono::duration<double>;

constexpr unsigned capacity = 18;
constexpr unsigned seed = 20261204;

/// Loads below the capacity run this long before the overload starts and the measurement with it.
constexpr Seconds warmUp { 2.0 };

/// Entries with their traffic; service times are uniform between the bounds.
struct Load {
    std::string entry;
    Rank rank;
    double perSecond;
    Milliseconds minService;
    Milliseconds maxService;
    double floorPercent = 0;
    bool isOverload = false;
};

struct Outcome {
    std::vector<double> latencyMs; ///< From the scheduled arrival to the end.
    std::size_t refused = 0;
    double serviceSeconds = 0; ///< Simulated service time of completed requests within the measured time.

    double percentile(double part) const
    {
        if (latencyMs.empty())
            return 0;
        const auto index = static_cast<std::size_t>(part * static_cast<double>(latencyMs.size() - 1));
        return latencyMs[index];
    }
};

struct Variant {
    const char* name;
    AdmissionPolicy policy;
    double urgentIdleBudget;
};

constexpr std::array<Variant, 4> variants { {
    { "ranked+floors", AdmissionPolicy::RankedWithFloors, AdmissionOptions {}.urgentIdleBudget },
    { "ranked, no reserve", AdmissionPolicy::RankedWithFloors, 0 },
    { "strict priority", AdmissionPolicy::StrictPriority, 0 },
    { "first come first", AdmissionPolicy::FirstComeFirstServed, 0 },
} };

double meanService(const Load& load) { return Seconds(load.minService + load.maxService).count() / 2; }

/// Arrivals at @p part of the endpoint's capacity.
Load loadOf(std::string entry, Rank rank, double part, int minMs, int maxMs, double floorPercent = 0)
{
    Load load { std::move(entry), rank, 0, Milliseconds(minMs), Milliseconds(maxMs), floorPercent };
    load.perSecond = part * capacity / meanService(load);
    load.isOverload = part >= 1;
    return load;
}

/// Runs the arrivals of one load. Enough threads for everything that may run and wait, so arrivals stay on
/// schedule.
class Generator {
public:
    Generator(const Load& load, AdmissionController& controller, TimePoint start, Milliseconds duration)
        : m_load(load)
        , m_controller(controller)
        , m_start(start)
        , m_end(start + duration)
    {
        std::mt19937 random(seed + static_cast<unsigned>(std::hash<std::string> {}(load.entry) % 1000));
        std::exponential_distribution<double> gap(load.perSecond);
        std::uniform_real_distribution<double> service(
            Seconds(load.minService).count(), Seconds(load.maxService).count());
        for (double at = gap(random) - (load.isOverload ? 0 : warmUp.count()); at < Seconds(duration).count(); at += gap(random)) {
            m_arrivals.push_back({ start + std::chrono::duration_cast<Clock::duration>(Seconds(at)),
                std::chrono::duration_cast<Clock::duration>(Seconds(service(random))) });
        }
    }

    std::size_t threadCount() const { return std::min<std::size_t>(m_arrivals.size(), 150); }

    void work()
    {
        CatalogueEntry entry;
        entry.name = m_load.entry;
        entry.owner = "bench";
        entry.rank = m_load.rank;
        entry.floorPercent = m_load.floorPercent;
        entry.maxQueue = Milliseconds(2000);
        Outcome own;
        for (auto n = m_next.fetch_add(1); n < m_arrivals.size(); n = m_next.fetch_add(1)) {
            const auto& arrival = m_arrivals[n];
            std::this_thread::sleep_until(arrival.at);
            auto ticket = m_controller.admit(entry, Deadline::after(Milliseconds(2000)));
            const bool isMeasured = arrival.at >= m_start;
            if (!ticket) {
                own.refused += isMeasured ? 1 : 0;
                continue;
            }
            std::this_thread::sleep_for(arrival.service);
            const auto end = Clock::now();
            ticket->release();
            // What the queues still hold at the end of the arrivals runs afterwards and does not count.
            const auto counted = std::min(end, m_end) - std::max(end - arrival.service, m_start);
            own.serviceSeconds += std::max(0.0, Seconds(counted).count());
            if (isMeasured)
                own.latencyMs.push_back(std::chrono::duration<double, std::milli>(end - arrival.at).count());
        }
        const std::scoped_lock lock(m_mutex);
        m_outcome.refused += own.refused;
        m_outcome.serviceSeconds += own.serviceSeconds;
        m_outcome.latencyMs.insert(m_outcome.latencyMs.end(), own.latencyMs.begin(), own.latencyMs.end());
    }

    Outcome takeOutcome()
    {
        std::ranges::sort(m_outcome.latencyMs);
        return std::move(m_outcome);
    }

private:
    struct Arrival {
        TimePoint at;
        Clock::duration service;
    };

    Load m_load;
    AdmissionController& m_controller;
    TimePoint m_start;
    TimePoint m_end;
    std::vector<Arrival> m_arrivals;
    std::atomic<std::size_t> m_next { 0 };
    std::mutex m_mutex;
    Outcome m_outcome;
};

std::vector<Outcome> run(const std::vector<Load>& loads, const Variant& variant, Milliseconds duration)
{
    AdmissionOptions options;
    options.capacity = capacity;
    options.policy = variant.policy;
    options.urgentIdleBudget = variant.urgentIdleBudget;
    AdmissionController controller(options);
    const auto start = Clock::now() + Milliseconds(100) + std::chrono::duration_cast<Clock::duration>(warmUp);
    std::vector<std::unique_ptr<Generator>> generators;
    for (const auto& load : loads)
        generators.push_back(std::make_unique<Generator>(load, controller, start, duration));
    {
        std::vector<std::jthread> threads;
        for (auto& generator : generators) {
            for (std::size_t n = 0; n < generator->threadCount(); ++n)
                threads.emplace_back([&generator] { generator->work(); });
        }
    }
    std::vector<Outcome> outcomes;
    for (auto& generator : generators)
        outcomes.push_back(generator->takeOutcome());
    return outcomes;
}

/// Prints one table: per policy and entry the completed share of the capacity, refusals and latencies.
/// @param unloadedP99 p99 of each load alone; 0 leaves the ratio out.
void report(const char* title, const std::vector<Load>& loads, Milliseconds duration,
    const std::vector<double>& unloadedP99)
{
    std::printf("\n%s\n%-19s %-8s %4s %7s %8s %8s %8s %8s %9s %7s\n", title, "policy", "entry", "rank", "floor%",
        "share%", "refused", "p50 ms", "p99 ms", "p99/alone", "total%");
    for (const auto& variant : variants) {
        const auto outcomes = run(loads, variant, duration);
        const double whole = capacity * Seconds(duration).count();
        double total = 0;
        for (const auto& outcome : outcomes)
            total += outcome.serviceSeconds / whole;
        for (std::size_t n = 0; n < loads.size(); ++n) {
            const auto& outcome = outcomes[n];
            const double p99 = outcome.percentile(0.99);
            const double ratio = unloadedP99[n] > 0 ? p99 / unloadedP99[n] : 0;
            std::printf("%-19s %-8s %4d %7.1f %8.1f %8zu %8.1f %8.1f %9.2f %7.1f\n", variant.name,
                loads[n].entry.c_str(), static_cast<int>(loads[n].rank), loads[n].floorPercent,
                100 * outcome.serviceSeconds / whole, outcome.refused, outcome.percentile(0.5), p99, ratio,
                100 * total);
        }
        std::fflush(stdout);
    }
}

double aloneP99(const Load& load, Milliseconds duration)
{
    return run({ load }, variants[0], duration).front().percentile(0.99);
}

/// CPU time of admit and release, from several threads that never sleep.
void reportDecisionCost()
{
    constexpr std::size_t threadCount = 4;
    constexpr std::size_t decisionsEach = 100'000;
    constexpr std::size_t entryCount = 64;
    AdmissionOptions options;
    options.capacity = 2;
    AdmissionController controller(options);
    const auto cpuBefore = std::clock();
    const auto before = Clock::now();
    {
        std::vector<std::jthread> threads;
        for (std::size_t t = 0; t < threadCount; ++t) {
            threads.emplace_back([&controller, t] {
                for (std::size_t n = 0; n < decisionsEach; ++n) {
                    CatalogueEntry entry;
                    entry.name = "entry-" + std::to_string((n + t) % entryCount);
                    entry.rank = allRanks[(n + t) % rankCount];
                    entry.floorPercent = n % 2 == 0 ? 1 : 0;
                    (void)controller.admit(entry, Deadline::after(Milliseconds(1000)));
                }
            });
        }
    }
    const double wall = Seconds(Clock::now() - before).count();
    const double cpu = static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
    constexpr double decisions = threadCount * decisionsEach;
    std::printf("\ndecisions (admit, queue where needed, release; 4 threads, 2 connections, 64 entries):"
                "\n%.0f/s, %.2f us CPU each, so 10,000/s take %.1f%% of a core\n",
        decisions / wall, 1e6 * cpu / decisions, 100 * cpu / decisions * 10'000);
}

} // namespace

int main(int argc, char** argv)
{
    const Milliseconds duration(argc > 1 ? static_cast<long>(1000 * std::atof(argv[1])) : 4000);
    if (duration < Milliseconds(100)) {
        std::fprintf(stderr, "usage: admission_bench [seconds per run, at least 0.1]\n");
        return 2;
    }
    std::printf("capacity %u connections, %.1f s per run, seed %u\n", capacity, Seconds(duration).count(), seed);

    const auto saves = loadOf("save", Rank::Urgent, 0.15, 8, 12);
    const auto pulls = loadOf("pull", Rank::Normal, 0.15, 15, 25);
    const double savesAlone = aloneP99(saves, duration);
    const double pullsAlone = aloneP99(pulls, duration);
    report("1. Rank 3 offers 10x capacity; saves and pulls 15% each",
        { saves, pulls, loadOf("lookup", Rank::Background, 10, 10, 40) }, duration, { savesAlone, pullsAlone, 0 });
    report("2. Rank 1 offers 10x capacity; rank 2 (floor 20%) and rank 3 (floor 5%) offer 1x each",
        { loadOf("save", Rank::Urgent, 10, 8, 12), loadOf("pull", Rank::Normal, 1, 15, 25),
            loadOf("lookup", Rank::Background, 1, 10, 40) },
        duration, { 0, 0, 0 });
    report("3. Within rank 2 'flood' offers 10x capacity, 'pull' (entry floor 15%) 30%, 'job' 10%; saves 15%",
        { saves, loadOf("flood", Rank::Normal, 10, 10, 30), loadOf("pull", Rank::Normal, 0.3, 15, 25, 15),
            loadOf("job", Rank::Normal, 0.1, 15, 25) },
        duration, { savesAlone, 0, 0, 0 });
    const auto rare = loadOf("save", Rank::Urgent, 0.05, 8, 12);
    report("4. All connections run long lookups (50-100 ms, 10x); saves 5%",
        { rare, loadOf("lookup", Rank::Background, 10, 50, 100) }, duration, { aloneP99(rare, duration), 0 });
    report("5. As 4, saves 15%", { saves, loadOf("lookup", Rank::Background, 10, 50, 100) }, duration,
        { savesAlone, 0 });
    reportDecisionCost();
}
