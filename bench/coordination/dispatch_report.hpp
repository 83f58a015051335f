// Measures all load patterns with all placements, and writes what was measured
// as Markdown tables and as a picture.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_DISPATCH_REPORT_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_DISPATCH_REPORT_HPP

#include "../format.hpp"
#include "decision_cost.hpp"
#include "dispatch_model.hpp"

#include <string>
#include <vector>

namespace oriolegrade::bench {

struct dispatch_cell
{
    load_pattern pattern;
    std::string_view placement;
    dispatch_outcome outcome;
};

struct dispatch_size
{
    std::size_t hosts;
    std::size_t upstreams;
};

/// Hosts of the users' sites, with their largest service.
inline constexpr std::array<dispatch_size, 3> dispatch_sizes{
    {{41, 20}, {185, 106}, {443, 479}}};

struct dispatch_table
{
    dispatch_size size;
    std::vector<dispatch_cell> cells;
};

template <placement Placement>
dispatch_cell measure_cell(const dispatch_options& options)
{
    return {options.pattern, Placement::name,
            dispatch_model<Placement>(options).run()};
}

inline std::vector<dispatch_table> measure_dispatch(std::uint64_t seed)
{
    std::vector<dispatch_table> out;
    for (const auto& size : dispatch_sizes) {
        dispatch_table table{size, {}};
        for (std::size_t n = 0; n < state::enum_size<load_pattern>; ++n) {
            dispatch_options o;
            o.pattern = static_cast<load_pattern>(n);
            o.hosts = size.hosts;
            o.upstreams = size.upstreams;
            o.seed = seed;
            table.cells.push_back(measure_cell<random_placement>(o));
            table.cells.push_back(measure_cell<two_choices_placement>(o));
            table.cells.push_back(measure_cell<queue_placement>(o));
            table.cells.push_back(measure_cell<perfect_placement>(o));
        }
        out.push_back(std::move(table));
    }
    return out;
}

/// Shares of the callers who did not leave, in hundredths.
inline std::string shares(const kind_outcome& it)
{
    const auto n = 100.0 / static_cast<double>(
                               std::max<std::size_t>(it.offered - it.left, 1));
    return format(
        "%.1f / %.1f / %.1f / %.1f", n * static_cast<double>(it.in_target),
        n * static_cast<double>(it.late), n * static_cast<double>(it.refused),
        n * static_cast<double>(it.failed));
}

inline std::string dispatch_row(const dispatch_cell& it)
{
    const auto& out = it.outcome;
    std::size_t returned = 0;
    for (const auto& span : out.spans) {
        returned = std::max(returned, span.returned);
    }
    return format(
        "| %s | %s | %s | %s | %.1f | %.0f, %.0f | %zu | %.1f, %.1f | %.0f, "
        "%.0f | %.1f |\n",
        state::name_of(it.pattern).data(), it.placement.data(),
        shares(out.kinds[0]).c_str(), shares(out.kinds[1]).c_str(),
        out.mean_wait_ms(), percentile(out.refusals_ms, 0.5),
        percentile(out.refusals_ms, 0.99), returned, 100 * out.held_mean,
        100 * out.held_max, percentile(out.detections_ms, 0.5),
        percentile(out.detections_ms, 0.99), 100 * out.failing_share());
}

inline std::string dispatch_tables(const std::vector<dispatch_table>& tables)
{
    std::string out;
    for (const auto& table : tables) {
        out += format("## %zu hosts, %zu upstreams\n\n", table.size.hosts,
                      table.size.upstreams);
        out += "| load pattern | placement | reads | bookings | mean wait, ms "
               "| refused after, ms | most returns | sound held, % | "
               "detection, ms | to failing, % |\n"
               "|---|---|---|---|---|---|---|---|---|---|\n";
        for (const auto& it : table.cells) {
            out += dispatch_row(it);
        }
        out += "\n";
    }
    return out;
}

/// A full service with one hot workspace, with the workspaces named and not.
inline std::string workspace_table(std::uint64_t seed)
{
    constexpr std::size_t workspaces = 74;
    std::string out =
        "## Workspaces\n\n"
        "74 workspaces, of which one sends 1, 20 or 1,000 times as much as "
        "another. Without names the queue shares nothing. Columns: served "
        "share of all requests, mean of the workspaces' served shares, that of "
        "the worst tenth against the mean, the least against all requests, "
        "slot time of what was served, share in target.\n\n"
        "| upstreams | load | hot | workspaces named | all, % | mean, % | "
        "worst "
        "tenth | least | work, s | in target, % |\n"
        "|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& size : {dispatch_sizes[0], dispatch_sizes[1]}) {
        for (const double load : {1.7, 3.0}) {
            for (const double hot : {1.0, 20.0, 1000.0}) {
                for (const bool hides : {true, false}) {
                    dispatch_options o;
                    o.hosts = size.hosts;
                    o.upstreams = size.upstreams;
                    o.load = load;
                    o.workspaces = workspaces;
                    o.hot_factor = hot;
                    o.hides_workspaces = hides;
                    o.seed = seed;
                    const auto it = dispatch_model<queue_placement>(o).run();
                    const auto shares = it.workspace_shares();
                    const auto mean = mean_of_first(shares, workspaces);
                    out += format(
                        "| %zu | %.1f | %.0f | %s | %.1f | %.1f | %.3f | %.3f "
                        "| %.0f | %.1f |\n",
                        size.upstreams, load, hot, hides ? "no" : "yes",
                        100 * it.served_share(), 100 * mean,
                        mean_of_first(shares, workspaces / 10) / mean,
                        shares.front() / it.served_share(),
                        to_ms(it.served_work) / 1000,
                        100 * it.in_target_share());
                }
            }
        }
    }
    return out + "\n";
}

inline std::string cost_row(const cost_options& options)
{
    const auto it = measure_cost(options);
    return format("| %zu | %zu | %zu | %.0f | %.0f | %.1f |\n",
                  options.upstreams, options.line, options.workspaces,
                  it.arrival_ns, it.answer_ns, it.round_us);
}

/// Depends on the machine and on what else it does.
inline std::string cost_table(std::uint64_t seed)
{
    std::string out =
        "## Cost of decisions\n\n"
        "Processor time while the service is full, tenth percentile of batches "
        "of 16, on a machine that does other work: a row may be up to 1.9 "
        "times too high. Arrival: a request that is placed or put in line. "
        "Answer: the end of a request and the placement of the next. Round: "
        "what is done each 25 ms.\n\n"
        "| upstreams | in line | workspaces | arrival, ns | answer, ns | "
        "round, "
        "us |\n"
        "|---|---|---|---|---|---|\n";
    constexpr std::array<std::size_t, 3> lines{0, 100, 2000};
    for (const std::size_t upstreams : {20, 100, 479, 2000, 10000}) {
        for (const auto line : lines) {
            out += cost_row({upstreams, line, 0, seed});
        }
    }
    for (const auto line : lines) {
        for (const std::size_t workspaces : {0, 1, 74, 2000}) {
            out += cost_row({106, line, workspaces, seed});
        }
    }
    return out + "\n";
}

inline std::string dispatch_page(const std::vector<dispatch_table>& tables,
                                 std::uint64_t seed)
{
    return format(
               "# Measurements of dispatching under load\n\n"
               "Written by `dispatch_bench docs %llu`; `./run bench dispatch` "
               "prints the tables.\n\n",
               static_cast<unsigned long long>(seed)) +
           "One service in virtual time: callers of two kinds, hosts, and "
           "upstreams of 3 slots that refuse beyond 3 waiting requests. Reads "
           "are more urgent and may repeat. Bookings may not. Arrivals and "
           "work are the same for all placements.\n\n"
           "- *random*, *two choices*: placed at once, the latter by exact "
           "counts of all requests in flight\n"
           "- *dispatcher*: this project's dispatch queue, 1 ms from each "
           "host\n"
           "- *perfect*: knows free slots and spells at any time and decides "
           "in no time; the most urgent first, then who can be in time\n\n"
           "Columns: share of the callers in target / late / refused / failed "
           "in %; mean time from arrival to the start of work; median and p99 "
           "time until a refusal; most refused callers who return within 100 "
           "ms; mean and largest share of sound upstreams that are held; "
           "median and p99 time from the start of a spell to the hold; share "
           "of the bookings sent to an upstream in its spell.\n\n"
           "![Served in target](dispatch.svg)\n\n" +
           dispatch_tables(tables) + workspace_table(seed) + cost_table(seed);
}

/// Share served in target, a bar for each placement and pattern, at the middle
/// size.
inline std::string dispatch_picture(const std::vector<dispatch_table>& tables)
{
    constexpr std::array<const char*, 4> colours{"#999999", "#2166ac",
                                                 "#1b7837", "#dddddd"};
    constexpr int row = 62;
    constexpr int left = 140;
    constexpr int width = 400;
    const auto& table = tables[1];
    const auto height = static_cast<int>(table.cells.size() / 4) * row + 40;
    auto out = format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" "
        "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
        "<rect width=\"640\" height=\"%d\" fill=\"white\"/>\n"
        "<text x=\"10\" y=\"20\" font-size=\"14\">Callers served in target, "
        "%zu hosts, %zu upstreams</text>\n",
        height, height, table.size.hosts, table.size.upstreams);
    for (std::size_t n = 0; n < table.cells.size(); ++n) {
        const auto& it = table.cells[n];
        const auto y =
            static_cast<int>(n / 4) * row + 34 + static_cast<int>(n % 4) * 13;
        const auto share = it.outcome.in_target_share();
        if (n % 4 == 0) {
            out += format("<text x=\"10\" y=\"%d\">%s</text>\n", y + 28,
                          state::name_of(it.pattern).data());
        }
        out += format("<rect x=\"%d\" y=\"%d\" width=\"%.1f\" "
                      "height=\"11\" fill=\"%s\"/>\n"
                      "<text x=\"%d\" y=\"%d\" font-size=\"10\">%s "
                      "%.1f%%</text>\n",
                      left, y, share * width, colours[n % 4], left + width + 4,
                      y + 10, it.placement.data(), 100 * share);
    }
    return out + "</svg>\n";
}

} // namespace oriolegrade::bench

#endif
