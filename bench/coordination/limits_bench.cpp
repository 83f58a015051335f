// Prints the limits part of docs/measurements-load.md: callers, workspaces,
// subsets and the cost of one check.

#include <coordination/caller_model.hpp>
#include <coordination/count_min_callers.hpp>

#include <oriolegrade/coordination/retry_budget.hpp>
#include <oriolegrade/coordination/subset.hpp>
#include <oriolegrade/coordination/workspace_limits.hpp>

#include <cstdio>
#include <unordered_map>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::bench;

constexpr std::uint64_t seed = 0x5eed;

template <class Work>
double ns_per_call(int calls, Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        work(i);
    }
    return std::chrono::duration<double, std::nano>(
               std::chrono::steady_clock::now() - begin)
               .count() /
           calls;
}

/// Limits near the innocent callers' rates make collisions count.
caller_model_options callers_of_bench()
{
    caller_model_options model;
    model.heavy_rate = 200;
    model.heavy = 20;
    model.innocent_most = 10;
    return model;
}

template <class Limits>
void print_callers(const char* name, std::size_t counters)
{
    coordination::caller_limits_options options;
    options.counters = counters;
    options.max_per_window = 20;
    Limits limits(options, seed);
    const auto model = callers_of_bench();
    const auto r = run_callers(model, limits, options.max_per_window);

    const caller_population population(model);
    seeded_random random{2};
    std::vector<std::size_t> drawn(1'000'000);
    for (auto& d : drawn) {
        d = population.draw(random);
    }
    Limits fresh(options, seed);
    time_point now{std::chrono::seconds(1)};
    std::uint64_t refused = 0;
    const double ns = ns_per_call(1'000'000, [&](int i) {
        now += std::chrono::microseconds(40);
        refused += fresh.count(
                       population.name(drawn[static_cast<std::size_t>(i)]), now)
                       ? 0
                       : 1;
    });
    std::printf("| %s | %zu | %llu of %llu | %.3f | %.0f |\n", name,
                limits.bytes() / 1024,
                static_cast<unsigned long long>(r.innocent_refused),
                static_cast<unsigned long long>(r.innocent),
                static_cast<double>(r.heavy_admitted) / r.heavy_allowed,
                refused > 0 ? ns : 0);
}

/// Counts exactly in the same fixed windows, in memory that grows with
/// callers. What it refuses is refused rightly.
class exact_callers
{
public:
    state::result<void, coordination::caller_refusal>
    count(const std::string& caller, time_point now)
    {
        const auto window = now.time_since_epoch() / std::chrono::seconds(1);
        if (window != window_) {
            window_ = window;
            counts_.clear();
        }
        if (++counts_[caller] > 20) {
            return coordination::caller_refusal::rate;
        }
        return state::outcome::success();
    }

private:
    std::int64_t window_ = 0;
    std::unordered_map<std::string, int> counts_;
};

void print_exact()
{
    exact_callers exact;
    const auto r = run_callers(callers_of_bench(), exact, 20);
    std::printf("| exact, for comparison | grows | %llu of %llu | %.3f | |\n",
                static_cast<unsigned long long>(r.innocent_refused),
                static_cast<unsigned long long>(r.innocent),
                static_cast<double>(r.heavy_admitted) / r.heavy_allowed);
}

void print_workspaces()
{
    constexpr int workspaces = 34000;
    std::vector<std::string> names;
    names.reserve(workspaces);
    for (int i = 0; i < workspaces; ++i) {
        names.push_back("workspace-" + std::to_string(i));
    }
    coordination::workspace_limits limits(65536, seed);
    const state::workspace_spec spec{1e6, 100, 100};
    time_point now{std::chrono::seconds(1)};
    int refused = 0;
    const double ns = ns_per_call(2'000'000, [&](int i) {
        now += std::chrono::microseconds(1);
        const auto& name =
            names[static_cast<std::size_t>(i) * 7919U % names.size()];
        refused += limits.try_begin(name, spec, now) ? 0 : 1;
    });
    std::printf(
        "\n## Workspaces\n\n%d workspaces: %zu bytes in all, %.1f bytes "
        "each; %.0f ns per check; %d of 2000000 refused.\n",
        workspaces, limits.bytes(),
        static_cast<double>(limits.bytes()) / workspaces, ns, refused);
    coordination::retry_budget budget;
    int granted = 0;
    const double budget_ns = ns_per_call(2'000'000, [&](int i) {
        budget.deposit();
        if (i % 10 == 0 && budget.try_take(coordination::attempt_kind::retry)) {
            ++granted;
        }
    });
    std::printf("Retry budget: %.1f ns per request (%d retries granted).\n",
                budget_ns, granted);
}

void print_subset(std::uint32_t hosts, std::uint32_t servers,
                  std::uint32_t centres)
{
    state::service_spec spec;
    for (std::uint32_t i = 0; i < servers; ++i) {
        spec.upstreams.push_back({{0x0a000000U + i, 80},
                                  "dc" + std::to_string(i % centres),
                                  4,
                                  400});
    }
    std::vector<coordination::subset_host> names;
    for (std::uint32_t i = 0; i < hosts; ++i) {
        names.push_back(
            {"host" + std::to_string(i), "dc" + std::to_string(i % centres)});
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto out = coordination::assign_subsets(spec, names, {});
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - begin;
    const auto [least, most] = std::minmax_element(out.hosts_of_server.begin(),
                                                   out.hosts_of_server.end());
    std::size_t connections = 0;
    std::uint32_t fewest = ~0U;
    for (std::size_t s = 0; s < servers; ++s) {
        connections = std::max(connections, out.hosts_of_server[s] *
                                                out.connections_of_server[s]);
        fewest = std::min(fewest, out.connections_of_server[s]);
    }
    std::printf("| %u | %u | %zu | %zu / %zu | %u | %zu | %.2f |\n", hosts,
                servers, out.servers_of_host[0].size(), *least, *most, fewest,
                connections, took.count());
}

} // namespace

int main()
{
    std::printf("## Callers\n\n100,000 callers, Zipf 0.8 (innocent ones up to "
                "10/s, limit 20 per 1 s), 20 heavy ones at 200/s; 20 s; "
                "seed 1.\n\n| counting | KiB | innocent requests refused | "
                "heavy admitted, times the limit | ns per check |\n"
                "|---|---|---|---|---|\n");
    for (const std::size_t counters : {32768U, 8192U, 4096U, 1024U, 256U}) {
        print_callers<count_min_callers>("count-min, decay", counters);
        print_callers<coordination::caller_limits>("windowed table", counters);
    }
    print_exact();
    print_workspaces();
    std::printf(
        "\n## Subsets (400 connections per server)\n\n| hosts | servers "
        "| servers per host | hosts per server, least / most | warm "
        "connections per host and server, least | warm connections "
        "per server, most | ms to assign |\n"
        "|---|---|---|---|---|---|---|\n");
    for (const std::uint32_t servers : {6U, 8U, 10U, 13U}) {
        print_subset(41, servers, 4);
    }
    print_subset(810, 19, 5);
}
