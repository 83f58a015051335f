// Measures all cells and writes them as Markdown and as a picture.

#ifndef ORIOLEGRADE_BENCH_DETECTION_REPORT_HPP
#define ORIOLEGRADE_BENCH_DETECTION_REPORT_HPP

#include "../format.hpp"
#include "experiment.hpp"

#include <string>

namespace oriolegrade::detection {

inline constexpr std::size_t load_count = state::enum_size<load_level>;
inline constexpr std::size_t fault_count = state::enum_size<fault_kind>;
inline constexpr std::size_t policy_count = state::enum_size<policy_kind>;
inline constexpr std::size_t profile_count =
    state::enum_size<state::health_profile>;

struct measurement
{
    unsigned runs = 0;
    /// Per service, load, fault and policy.
    std::vector<cell_result> parts;
    /// Healthy hours of our own policy, per profile and load.
    std::array<std::array<healthy_result, load_count>, profile_count> healthy;
    std::array<healthy_result, profile_count> healthy_cut;
};

inline std::size_t part_index(std::size_t service, std::size_t load,
                              std::size_t fault, std::size_t policy)
{
    return ((service * load_count + load) * fault_count + fault) *
               policy_count +
           policy;
}

/// A cell over the services of a deployment.
inline cell_result cell_of(const measurement& m, std::size_t profile,
                           std::size_t load, std::size_t fault,
                           std::size_t policy)
{
    cell_result all;
    for (std::size_t s = 0; s < service_models.size(); ++s) {
        if (state::index_of(service_models[s].profile) == profile) {
            all.add(m.parts[part_index(s, load, fault, policy)]);
        }
    }
    all.finish();
    return all;
}

inline measurement measure(unsigned runs, double hours)
{
    measurement m;
    m.runs = runs;
    m.parts.resize(service_models.size() * load_count * fault_count *
                   policy_count);
    std::vector<std::function<void()>> jobs;
    for (std::size_t n = 0; n < m.parts.size(); ++n) {
        jobs.emplace_back([&m, n, runs] {
            const auto policy = static_cast<policy_kind>(n % policy_count);
            const auto fault =
                static_cast<fault_kind>(n / policy_count % fault_count);
            const auto rest = n / policy_count / fault_count;
            const auto load = static_cast<load_level>(rest % load_count);
            m.parts[n] = run_cell(policy, service_models[rest / load_count],
                                  load, fault, runs);
        });
    }
    run_jobs(jobs);
    for (std::size_t p = 0; p < profile_count; ++p) {
        const auto profile = static_cast<state::health_profile>(p);
        for (std::size_t l = 0; l < load_count; ++l) {
            m.healthy[p][l] =
                run_healthy(profile, static_cast<load_level>(l), hours, false);
        }
        m.healthy_cut[p] = run_healthy(profile, load_level::today, hours, true);
    }
    return m;
}

using bench::format;

inline std::string seconds_text(double seconds)
{
    return std::isfinite(seconds) ? format("%.2f", seconds) : "none";
}

inline double rate_of(const healthy_result& r)
{
    return static_cast<double>(r.ejections) / r.upstream_hours;
}

inline std::string services_table()
{
    std::string text =
        "| deployment | service | servers | slots | answer ms | req/s light | "
        "today | peak |\n|---|---|---|---|---|---|---|---|\n";
    for (const auto& it : service_models) {
        text += format("| %s | %s | %u | %u | %.0f |",
                       state::name_of(it.profile).data(), it.name.data(),
                       it.servers, it.slots, it.answer_ms);
        for (std::size_t l = 0; l < load_count; ++l) {
            text += format(" %.1f |",
                           upstream_rate(it, static_cast<load_level>(l)));
        }
        text += "\n";
    }
    return text;
}

inline std::string goals_table(const measurement& m)
{
    std::string text =
        "| goal | Prairie Rest bound | measured | Hanbit bound | measured "
        "|\n|---|---|---|---|---|\n";
    const auto today = state::index_of(load_level::today);
    const auto p99 = [&](std::size_t profile, fault_kind fault) {
        return seconds_text(
            cell_of(m, profile, today, state::index_of(fault), 0)
                .percentile(0.99));
    };
    text += "| p99 detection, dead, today | 2 s | " +
            p99(0, fault_kind::all_fail) + " s | 0.5 s | " +
            p99(1, fault_kind::all_fail) + " s |\n";
    text += "| p99 detection, 10% gray, today | 10 s | " +
            p99(0, fault_kind::tenth_fails) + " s | 3 s | " +
            p99(1, fault_kind::tenth_fails) + " s |\n";
    for (std::size_t l = 0; l < load_count; ++l) {
        text += format(
            "| false ejections an upstream-hour, %s | 0.001 | %.5f (%llu in "
            "%.0f h) | 0.01 | %.5f (%llu in %.0f h) |\n",
            state::name_of(static_cast<load_level>(l)).data(),
            rate_of(m.healthy[0][l]),
            static_cast<unsigned long long>(m.healthy[0][l].ejections),
            m.healthy[0][l].upstream_hours, rate_of(m.healthy[1][l]),
            static_cast<unsigned long long>(m.healthy[1][l].ejections),
            m.healthy[1][l].upstream_hours);
    }
    const auto cut = state::index_of(fault_kind::host_cut);
    double ejected[profile_count] = {};
    unsigned long long violations[profile_count] = {};
    for (std::size_t p = 0; p < profile_count; ++p) {
        for (std::size_t l = 0; l < load_count; ++l) {
            ejected[p] += cell_of(m, p, l, cut, 0).sum.false_fleet_ejections;
            for (std::size_t f = 0; f < fault_count; ++f) {
                violations[p] += cell_of(m, p, l, f, 0).sum.floor_violations;
            }
        }
    }
    text += format("| fleet ejections with one host cut one way, request "
                   "model | 0 | %.0f | 0 | %.0f |\n",
                   ejected[0], ejected[1]);
    text += format("| fleet ejections with one host cut, long healthy runs at "
                   "today's load (background alone: see above) | - | %llu in "
                   "%.0f h | - | %llu in %.0f h |\n",
                   static_cast<unsigned long long>(m.healthy_cut[0].ejections),
                   m.healthy_cut[0].upstream_hours,
                   static_cast<unsigned long long>(m.healthy_cut[1].ejections),
                   m.healthy_cut[1].upstream_hours);
    text += format("| floor violations, all cells | 0 | %llu | 0 | %llu |\n",
                   violations[0], violations[1]);
    return text;
}

inline std::string row_of(const cell_result& c, std::size_t load,
                          std::size_t fault, std::size_t policy)
{
    const auto kind = static_cast<fault_kind>(fault);
    const bool has_bad = kind != fault_kind::sheds &&
                         kind != fault_kind::host_cut &&
                         kind != fault_kind::load_lags;
    const auto& s = c.sum;
    auto text = format("| %s | %s | %s |", state::name_of(kind).data(),
                       state::name_of(static_cast<load_level>(load)).data(),
                       state::name_of(static_cast<policy_kind>(policy)).data());
    if (has_bad) {
        text += " " + seconds_text(c.percentile(0.5)) + " | " +
                seconds_text(c.percentile(0.99)) + " |";
        text +=
            format(" %.2f%% |", 100.0 * static_cast<double>(s.sent_to_bad) /
                                    static_cast<double>(s.sent_after_fault));
    } else {
        text += " - | - | - |";
    }
    return text + format(" %.3f | %.2f | %.2f%% |\n",
                         s.false_ejections / s.healthy_hours,
                         s.least_capacity_share / floor_share,
                         100.0 * static_cast<double>(s.lost) /
                             static_cast<double>(s.requests));
}

inline std::string cells_table(const measurement& m, std::size_t profile)
{
    std::string text =
        "| fault | load | policy | p50 s | p99 s | work to bad | false "
        "ejections/h | least capacity / floor | lost "
        "|\n|---|---|---|---|---|---|---|---|---|\n";
    for (std::size_t f = 0; f < fault_count; ++f) {
        for (std::size_t l = 0; l < load_count; ++l) {
            for (std::size_t p = 0; p < policy_count; ++p) {
                text += row_of(cell_of(m, profile, l, f, p), l, f, p);
            }
        }
    }
    return text;
}

/// p99 detection of our policy per service, in the order light, today, peak.
inline std::string per_service_table(const measurement& m)
{
    std::string text = "| service |";
    std::string line = "|---|";
    std::vector<std::size_t> faults;
    for (std::size_t f = 0; f < fault_count; ++f) {
        const auto kind = static_cast<fault_kind>(f);
        if (kind != fault_kind::sheds && kind != fault_kind::host_cut &&
            kind != fault_kind::load_lags) {
            faults.push_back(f);
            text += format(" %s |", state::name_of(kind).data());
            line += "---|";
        }
    }
    text += "\n" + line + "\n";
    for (std::size_t s = 0; s < service_models.size(); ++s) {
        text += format("| %s |", service_models[s].name.data());
        for (const auto f : faults) {
            std::string cell;
            for (std::size_t l = 0; l < load_count; ++l) {
                cell += (l > 0 ? " / " : " ") +
                        seconds_text(
                            m.parts[part_index(s, l, f, 0)].percentile(0.99));
            }
            text += cell + " |";
        }
        text += "\n";
    }
    return text;
}

/// Cells in which a baseline is ahead of us on one axis.
inline std::string losses(const measurement& m)
{
    std::string text;
    for (std::size_t p = 0; p < profile_count; ++p) {
        for (std::size_t f = 0; f < fault_count; ++f) {
            for (std::size_t l = 0; l < load_count; ++l) {
                const auto own = cell_of(m, p, l, f, 0);
                for (std::size_t b = 1; b + 1 < policy_count; ++b) {
                    const auto other = cell_of(m, p, l, f, b);
                    const double own_rate =
                        own.sum.false_ejections / own.sum.healthy_hours;
                    const double other_rate =
                        other.sum.false_ejections / other.sum.healthy_hours;
                    const bool slower =
                        own.percentile(0.99) > other.percentile(0.99);
                    if (slower || own_rate > other_rate) {
                        text += format(
                            "- %s, %s, %s: %s has %s%s%s.\n",
                            state::enum_names<state::health_profile>::value[p]
                                .data(),
                            state::enum_names<fault_kind>::value[f].data(),
                            state::enum_names<load_level>::value[l].data(),
                            state::enum_names<policy_kind>::value[b].data(),
                            slower ? "the shorter p99" : "",
                            slower && own_rate > other_rate ? " and " : "",
                            own_rate > other_rate
                                ? format("fewer false ejections (%.3f "
                                         "against %.3f an hour)",
                                         other_rate, own_rate)
                                      .c_str()
                                : "");
                    }
                }
            }
        }
    }
    return text.empty() ? "None.\n" : text;
}

inline std::string markdown(const measurement& m)
{
    std::string text = "# Measurements: detection of unhealthy upstreams\n\n";
    text += "Written by `detection_bench`; do not edit. A seeded experiment "
            "in virtual time runs the decision code of the coordination layer "
            "with 41 hosts in front of one service at a time.\n\n";
    text += format("Each cell has %u runs of each of the four services of a "
                   "deployment. ",
                   m.runs);
    text += "Background failures of 0.5% and load bursts (1.6 times the load "
            "for 1.5 s on average, every 20 s on average) are always on. The "
            "fault begins after 25 s and is observed for 30 s.\n\n"
            "- *Detection time*: from the begin of the fault until nine of "
            "ten hosts send the bad upstream no ordinary work. `none`: more "
            "than that share of runs saw no detection within 30 s.\n"
            "- *Work to bad*: share of all requests after the begin of the "
            "fault that went to bad upstreams.\n"
            "- *False ejections*: an ejection of a healthy upstream for the "
            "fleet counts 1, by one host 1/41 (also the local avoidance of "
            "our hosts).\n"
            "- *Lost*: requests without a good answer after retries, "
            "background failures of non-idempotent requests included.\n"
            "- Policies: `consecutive` ejects at a host for 30 s after five "
            "failures in a row; `outlier` ejects at a host for 10 s when the "
            "success rate is 1.9 standard deviations below the mean; `none` "
            "never ejects. All keep half of the service in service.\n"
            "- A gray upstream's health endpoint fails as often as its "
            "requests do, an assumption of this model. In `lies` the bad "
            "upstream's endpoint says healthy and all others say unhealthy.\n"
            "- `sheds 80%`, `host cut` and `load lags 2s` have no bad "
            "upstream: every ejection is false.\n\n";
    text += "![Detection time against false ejections](detection.svg)\n\n";
    text += "## Services and rates\n\nAnswer times are assumptions; loads are "
            "20%, 50% and 85% of the slots. Rates are per server.\n\n";
    text += services_table();
    text += "\n## Goals\n\nFalse ejections come from long healthy runs at "
            "the level of evidence; they count fleet ejections.\n\n" +
            goals_table(m);
    text += "\n## p99 detection time of oriolegrade per service, seconds "
            "(light / today / peak)\n\n" +
            per_service_table(m);
    text += "\n## Where a baseline is ahead on an axis\n\n" + losses(m);
    text += "\n## Prairie Rest\n\n" + cells_table(m, 0);
    text += "\n## Hanbit\n\n" + cells_table(m, 1);
    return text;
}

/// One point: p99 detection against false ejections over all faults.
struct picture_point
{
    double false_rate;
    double p99;
};

inline picture_point point_of(const measurement& m, std::size_t profile,
                              std::size_t policy, fault_kind fault)
{
    const auto today = state::index_of(load_level::today);
    double ejections = 0;
    double hours = 0;
    for (std::size_t f = 0; f < fault_count; ++f) {
        const auto cell = cell_of(m, profile, today, f, policy);
        ejections += cell.sum.false_ejections;
        hours += cell.sum.healthy_hours;
    }
    const auto cell =
        cell_of(m, profile, today, state::index_of(fault), policy);
    return {ejections / hours, cell.percentile(0.99)};
}

inline std::string picture_axes()
{
    std::string text =
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" "
        "height=\"460\" font-family=\"sans-serif\" font-size=\"12\">\n"
        "<rect width=\"760\" height=\"460\" fill=\"white\"/>\n"
        "<text x=\"80\" y=\"24\" font-size=\"14\">Today's load: p99 detection "
        "time against false ejections, all faults</text>\n"
        "<line x1=\"80\" y1=\"400\" x2=\"560\" y2=\"400\" stroke=\"black\"/>\n"
        "<line x1=\"80\" y1=\"40\" x2=\"80\" y2=\"400\" stroke=\"black\"/>\n"
        "<text x=\"200\" y=\"440\">false ejections an upstream-hour"
        "</text>\n"
        "<text x=\"20\" y=\"300\" transform=\"rotate(-90 20 300)\">p99 "
        "detection, seconds</text>\n";
    for (int n = -3; n <= 2; ++n) {
        text += format("<text x=\"%.0f\" y=\"418\" text-anchor=\"middle\">%g"
                       "</text>\n",
                       80 + (n + 3) * 96.0, std::pow(10.0, n));
    }
    for (const double s : {0.1, 0.3, 1.0, 3.0, 10.0, 30.0}) {
        text += format("<text x=\"72\" y=\"%.0f\" text-anchor=\"end\">%g"
                       "</text>\n",
                       400 - (std::log10(s) + 1) * 140, s);
    }
    return text;
}

inline std::string picture(const measurement& m)
{
    constexpr std::array<const char*, policy_count> colours{
        "#1b7837", "#2166ac", "#b2182b", "#666666"};
    constexpr std::array<fault_kind, 2> faults{fault_kind::all_fail,
                                               fault_kind::tenth_fails};
    auto text = picture_axes();
    double y = 60;
    for (std::size_t p = 0; p < profile_count; ++p) {
        for (std::size_t policy = 0; policy < policy_count; ++policy) {
            for (std::size_t f = 0; f < faults.size(); ++f) {
                const auto pt = point_of(m, p, policy, faults[f]);
                const double x =
                    80 +
                    (std::log10(std::clamp(pt.false_rate, 1e-3, 1e2)) + 3) * 96;
                const double height =
                    400 - (std::log10(std::clamp(pt.p99, 0.1, 35.0)) + 1) * 140;
                const char* fill = f == 0 ? colours[policy] : "white";
                text +=
                    p == 0
                        ? format("<circle cx=\"%.1f\" cy=\"%.1f\" "
                                 "r=\"6\" fill=\"%s\" stroke=\"%s\" "
                                 "stroke-width=\"2\"/>\n",
                                 x, height, fill, colours[policy])
                        : format("<rect x=\"%.1f\" y=\"%.1f\" "
                                 "width=\"11\" height=\"11\" fill=\"%s\" "
                                 "stroke=\"%s\" stroke-width=\"2\"/>\n",
                                 x - 5.5, height - 5.5, fill, colours[policy]);
            }
        }
    }
    for (std::size_t policy = 0; policy < policy_count; ++policy, y += 20) {
        text += format("<text x=\"580\" y=\"%.0f\" fill=\"%s\">%s</text>\n", y,
                       colours[policy],
                       state::enum_names<policy_kind>::value[policy].data());
    }
    for (const char* it :
         {"circle: Prairie Rest", "square: Hanbit", "filled: all fail",
          "hollow: 10% fail", "left edge: 0.001 or less",
          "top: none within 30 s"}) {
        text += format("<text x=\"580\" y=\"%.0f\">%s</text>\n", y, it);
        y += 20;
    }
    return text + "</svg>\n";
}

} // namespace oriolegrade::detection

#endif
