// Open-loop load tool: sends a mix of requests at a fixed rate and checks the
// answers against what the stand-ins ran.

#include "planned_faults.hpp"
#include "report.hpp"

#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>

#include <boost/fiber/operations.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(targets, "", "ip:port,ip:port of the hosts under load");
DEFINE_string(upstreams, "", "ip:port,... of stand-ins whose runs are read");
DEFINE_string(mix, "", "JSON file of requests; empty: GET /?bytes=64");
DEFINE_string(faults, "", "JSON file of faults switched at the stand-ins");
DEFINE_string(report, "", "file for the JSON report");
DEFINE_double(rate, 100, "requests per second");
DEFINE_double(duration_s, 10, "seconds during which requests start");
DEFINE_uint32(threads, 1, "sending threads");
DEFINE_uint32(connections, 256, "connections per target");
DEFINE_uint32(max_in_flight, 10000, "arrivals beyond are skipped");
DEFINE_uint32(timeout_ms, 10000, "longest attempt");
DEFINE_uint32(repeats, 3, "repeats after a lost or unknown answer");
DEFINE_uint32(workspaces, 0, "workspaces named in requests; 0: none");
DEFINE_uint32(settle_ms, 1000, "wait before the runs are read");

namespace {

using namespace oriolegrade;
using namespace oriolegrade::programs;

std::optional<std::vector<state::endpoint>> endpoints(const std::string& text)
{
    std::vector<state::endpoint> out;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');) {
        const auto ep = state::endpoint_from_string(item);
        if (!ep) {
            std::cerr << "not an ip:port: " << item << '\n';
            return std::nullopt;
        }
        out.push_back(*ep);
    }
    return out;
}

std::optional<std::vector<request_kind>> read_mix()
{
    if (FLAGS_mix.empty()) {
        request_kind kind;
        kind.path = "/?bytes=64";
        return std::vector{kind};
    }
    std::ifstream in(FLAGS_mix);
    std::stringstream text;
    text << in.rdbuf();
    auto mix = parse_mix(text.str());
    if (!in || !mix) {
        std::cerr << FLAGS_mix << ": "
                  << (in ? mix.error() : std::string("cannot be read")) << '\n';
        return std::nullopt;
    }
    return std::move(mix).value();
}

void run_workers(const load_settings& settings, tally& results)
{
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < settings.threads; ++i) {
        threads.emplace_back([&, i] {
            transport::run_fibers([&](boost::asio::io_context& ioc) {
                load_worker(settings, i, results, ioc).run();
            });
        });
    }
    for (auto& it : threads) {
        it.join();
    }
}

std::optional<audit_result> audit(const std::vector<state::endpoint>& upstreams,
                                  const load_settings& settings,
                                  const tally& results)
{
    if (upstreams.empty()) {
        return std::nullopt;
    }
    audit_result out;
    transport::run_fibers([&](boost::asio::io_context& ioc) {
        boost::this_fiber::sleep_for(
            std::chrono::milliseconds(FLAGS_settle_ms));
        out = audit_runs(ioc, upstreams, settings.run_id, results.counts());
    });
    return out;
}

std::optional<std::vector<planned_fault>> read_faults(std::size_t upstreams)
{
    if (FLAGS_faults.empty()) {
        return std::vector<planned_fault>();
    }
    std::ifstream in(FLAGS_faults);
    std::stringstream text;
    text << in.rdbuf();
    auto plan = parse_faults(text.str(), upstreams);
    if (!in || !plan) {
        std::cerr << FLAGS_faults << ": not a plan of faults\n";
        return std::nullopt;
    }
    return plan;
}

/// Runs the load, and switches faults beside it.
/// @return faults that were not taken
std::vector<planned_fault>
run_with_faults(const load_settings& settings,
                const std::vector<state::endpoint>& upstreams,
                const std::vector<planned_fault>& plan, tally& results)
{
    std::vector<planned_fault> failed;
    std::thread switcher([&] {
        transport::run_fibers([&](boost::asio::io_context& ioc) {
            failed = switch_faults(ioc, upstreams, plan);
        });
    });
    run_workers(settings, results);
    switcher.join();
    return failed;
}

int run(const load_settings& settings,
        const std::vector<state::endpoint>& upstreams,
        const std::vector<planned_fault>& plan)
{
    tally results(
        static_cast<std::size_t>(FLAGS_rate * FLAGS_duration_s * 1.1));
    const auto failed = run_with_faults(settings, upstreams, plan, results);
    const load_report report{settings, results,
                             audit(upstreams, settings, results)};
    print_table(std::cout, report);
    if (!FLAGS_report.empty()) {
        std::ofstream out(FLAGS_report);
        out << to_json(report) << '\n';
        if (!out.flush()) {
            std::cerr << FLAGS_report << ": cannot be written\n";
            return 2;
        }
    }
    for (const auto& it : failed) {
        std::cerr << "fault not taken by "
                  << state::to_string(upstreams.at(it.upstream)) << ": "
                  << it.faults << '\n';
    }
    if (!failed.empty()) {
        return 2;
    }
    return report.is_clean() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("oriole-load --targets ip:port,... [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto targets = endpoints(FLAGS_targets);
    const auto upstreams = endpoints(FLAGS_upstreams);
    const auto mix = read_mix();
    const auto plan = read_faults(upstreams ? upstreams->size() : 0);
    if (!targets || targets->empty() || !upstreams || !mix || !plan ||
        FLAGS_rate <= 0 || FLAGS_threads == 0) {
        std::cerr << gflags::ProgramUsage() << '\n';
        return 2;
    }
    using ms = std::chrono::milliseconds;
    return run({*targets, *mix, FLAGS_rate,
                ms(static_cast<std::int64_t>(FLAGS_duration_s * 1000)),
                FLAGS_threads, FLAGS_connections, FLAGS_max_in_flight,
                ms(FLAGS_timeout_ms), FLAGS_repeats, FLAGS_workspaces,
                state::to_string(state::random_identifier()).substr(0, 8)},
               *upstreams, *plan);
}
