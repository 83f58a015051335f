// Prints the waiting times of docs/measurements-load.md: each picker against
// a central queue, in virtual time, and the cost of one pick.

#include <coordination/picking_model.hpp>

#include <cstdio>
#include <thread>

namespace {

using namespace oriolegrade;
using namespace oriolegrade::bench;
using coordination::least_expected_load_picker;
using coordination::least_in_flight_picker;
using coordination::random_picker;
using coordination::two_choices_picker;

constexpr auto unbounded = std::numeric_limits<std::size_t>::max();

struct site
{
    const char* name;
    std::uint32_t servers;
    std::uint32_t slots;
    std::uint32_t centres;
    std::chrono::microseconds far;
};

constexpr site sites[] = {
    {"archive", 10, 4, 4, std::chrono::microseconds(1500)},
    {"consent", 12, 4, 4, std::chrono::microseconds(1500)},
    {"band intake, dashboard", 8, 4, 4, std::chrono::microseconds(1500)},
    {"stock catalogue", 7, 3, 3, std::chrono::microseconds(500)},
    {"booking", 13, 3, 3, std::chrono::microseconds(500)},
    {"photos, tracking", 6, 3, 3, std::chrono::microseconds(500)},
};

model_options options_of(const site& s, double load)
{
    model_options o;
    o.servers = s.servers;
    o.slots = s.slots;
    o.centres = s.centres;
    o.far = s.far;
    o.load = load;
    return o;
}

void print_row(const char* picker, const char* reports, const char* queue,
               const model_result& r, const model_result& central)
{
    std::printf("| %s | %s | %s | %.2f | %.1f | %.2f | %.2f |\n", picker,
                reports, queue, r.mean_wait_ms, r.p99_wait_ms,
                r.mean_wait_ms / central.mean_wait_ms, r.sheds);
    std::fflush(stdout);
}

void print_queue(const site& s, double load, std::size_t queue,
                 const char* text)
{
    auto o = options_of(s, load);
    o.server_queue = queue;
    o.attempts = s.servers;
    const auto central = run_central_queue(o);
    print_row("random", "unused", text, run_model<random_picker>(o), central);
    print_row("least in flight", "unused", text,
              run_model<least_in_flight_picker>(o), central);
    const std::pair<report_mode, const char*> modes[] = {
        {report_mode::fresh, "fresh"},
        {report_mode::lagging, "2 s late"},
        {report_mode::lying, "a quarter false"}};
    for (const auto& [mode, name] : modes) {
        o.reports = mode;
        print_row("two choices", name, text, run_model<two_choices_picker>(o),
                  central);
        print_row("least estimate", name, text,
                  run_model<least_expected_load_picker>(o), central);
    }
}

void print_other_designs(const site& s, double load)
{
    auto o = options_of(s, load);
    const auto central = run_central_queue(o);
    o.reports = report_mode::oracle;
    const least_expected_load_picker oracle{{.apply_report_trust = false}};
    print_row("least estimate, oracle", "always true", "unbounded",
              run_model(o, oracle), central);
    o.reports = report_mode::lagging;
    print_row("two choices, reports never doubted", "2 s late", "unbounded",
              run_model(o, two_choices_picker{{.apply_report_trust = false}}),
              central);
    o.reports = report_mode::exchanged;
    o.attempts = s.servers;
    for (const int period : {5, 20, 100}) {
        o.exchange_period = std::chrono::milliseconds(period);
        const auto name = "exchanged every " + std::to_string(period) + " ms";
        for (const auto& [queue, text] : {std::pair{unbounded, "unbounded"},
                                          std::pair{std::size_t{1}, "1"}}) {
            o.server_queue = queue;
            print_row("two choices", name.c_str(), text,
                      run_model<two_choices_picker>(o), central);
            print_row("least estimate", name.c_str(), text,
                      run_model<least_expected_load_picker>(o), central);
        }
    }
    o.server_queue = unbounded;
    o.reports = report_mode::fresh;
    for (const std::uint32_t homes : {1U, 2U}) {
        const auto name = "least in flight on " + std::to_string(homes) +
                          " dispatching host(s)";
        o.homes = homes;
        o.server_queue = unbounded;
        o.host_limit = 0;
        print_row(name.c_str(), "unused", "unbounded",
                  run_model<least_in_flight_picker>(o), central);
        o.server_queue = 1;
        print_row(name.c_str(), "unused", "1",
                  run_model<least_in_flight_picker>(o), central);
        o.host_limit = s.slots + 1;
        print_row((name + ", limit slots + 1").c_str(), "unused", "1",
                  run_model<least_in_flight_picker>(o), central);
    }
}

void print_site(const site& s, double load)
{
    const auto central = run_central_queue(options_of(s, load));
    std::printf("\n### %s (%u servers of %u slots) at %.0f%%; central queue: "
                "mean %.2f ms, p99 %.1f ms\n\n",
                s.name, s.servers, s.slots, load * 100, central.mean_wait_ms,
                central.p99_wait_ms);
    std::printf("| picker | reports | server queue | mean ms | p99 ms | times "
                "central | sheds per request |\n|---|---|---|---|---|---|---|"
                "\n");
    print_queue(s, load, unbounded, "unbounded");
    print_queue(s, load, 1, "1");
    print_queue(s, load, 0, "0");
    print_other_designs(s, load);
}

/// Short form for the remaining services: the chosen picker only.
void print_summary()
{
    std::printf("\n### Chosen picker (two choices, sheds sent elsewhere), "
                "times the central queue's mean wait\n\n| service | load | "
                "central ms | no sheds | queue 1 | queue 0 |\n"
                "|---|---|---|---|---|---|\n");
    for (const auto& s : sites) {
        for (const double load : {0.7, 0.9}) {
            auto o = options_of(s, load);
            o.attempts = s.servers;
            const auto central = run_central_queue(o).mean_wait_ms;
            double ratio[3] = {};
            const std::size_t queues[] = {unbounded, 1, 0};
            for (std::size_t i = 0; i < 3; ++i) {
                o.server_queue = queues[i];
                ratio[i] =
                    run_model<two_choices_picker>(o).mean_wait_ms / central;
            }
            std::printf("| %s | %.0f%% | %.2f | %.2f | %.2f | %.2f |\n", s.name,
                        load * 100, central, ratio[0], ratio[1], ratio[2]);
        }
    }
}

/// @param pinned reads the table once per thread instead of once per pick
template <class Picker>
double ns_per_pick(std::uint32_t threads, bool pinned = false)
{
    state::service_spec spec;
    std::vector<state::subset_member> members;
    for (std::uint32_t s = 0; s < 16; ++s) {
        spec.upstreams.push_back({{0x0a000000U + s, 80}, "", 4, 400});
        members.push_back({s, 8});
    }
    state::upstream_load_registry loads;
    state::pick_table_cell cell(
        build_pick_table(spec, {}, members, loads, nullptr));
    constexpr int picks = 2'000'000;
    const auto work = [&](std::uint64_t seed) {
        seeded_random random{seed};
        time_point now{std::chrono::seconds(1)};
        auto table = cell.read();
        for (int i = 0; i < picks; ++i) {
            if (!pinned) {
                table = cell.read();
            }
            const auto got = Picker().pick(*table, {true, {}}, random, now);
            auto& load = *table->candidates[got.value().index].load;
            if (load.try_begin()) {
                load.end();
            }
            load.set_report(static_cast<std::uint32_t>(i) % 4, now);
            now += std::chrono::microseconds(10);
        }
    };
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> pool;
    for (std::uint32_t t = 0; t < threads; ++t) {
        pool.emplace_back(work, t);
    }
    for (auto& t : pool) {
        t.join();
    }
    return std::chrono::duration<double, std::nano>(
               std::chrono::steady_clock::now() - begin)
               .count() /
           picks;
}

template <class Picker>
void print_cost_of(const char* name)
{
    std::printf("| %s | %.0f | %.0f | %.0f |\n", name, ns_per_pick<Picker>(1),
                ns_per_pick<Picker>(4), ns_per_pick<Picker>(4, true));
}

void print_cost()
{
    std::printf("\n### Cost of a pick\n\nOne pick: table read, choice among 16 "
                "candidates, begin, end and report. Nanoseconds per pick of "
                "each thread; all threads pick from one service without a "
                "pause, which is the worst case.\n\n| picker | 1 thread | 4 "
                "threads | 4 threads, table pinned once |\n|---|---|---|---|"
                "\n");
    print_cost_of<random_picker>("random");
    print_cost_of<least_in_flight_picker>("least in flight");
    print_cost_of<two_choices_picker>("two choices");
    print_cost_of<least_expected_load_picker>("least estimate");
}

} // namespace

int main()
{
    std::printf("## Waiting for a slot\n");
    for (const double load : {0.7, 0.9}) {
        print_site(sites[0], load);
        print_site(sites[4], load);
    }
    print_summary();
    print_cost();
}
