// Request path of a host: starts the worker threads, follows the agent's
// feed and stops gracefully.

#include "../common/fiber_program.hpp"
#include "../common/settings_file.hpp"

#include <oriolegrade/protocol/settings.hpp>
#include <oriolegrade/transport/claim_service.hpp>
#include <oriolegrade/transport/entry_feed.hpp>
#include <oriolegrade/transport/entry_health.hpp>
#include <oriolegrade/transport/entry_peers.hpp>
#include <oriolegrade/transport/entry_server.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/handover.hpp>
#include <oriolegrade/transport/stop_signal.hpp>

#include <boost/asio/post.hpp>
#include <gflags/gflags.h>

#include <algorithm>

DEFINE_string(settings, "", "settings file: JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

using namespace oriolegrade;
using transport::log_level;

transport::entry_options options_from(const protocol::entry_settings& settings)
{
    transport::entry_options options;
    options.caller_listen = settings.caller_listen;
    options.forward_listen = settings.forward_listen;
    options.max_connections =
        settings.limits.caller_connections / settings.threads + 1;
    options.caller.max_head_bytes =
        static_cast<std::uint32_t>(settings.limits.header_bytes);
    options.caller.idle = settings.limits.idle_timeout;
    options.caller.progress = settings.limits.header_timeout;
    options.read_ahead = {settings.limits.read_ahead_requests,
                          settings.limits.read_ahead_bytes,
                          settings.limits.held_answer_bytes};
    options.caller_limits.max_per_window = std::max(
        static_cast<std::uint32_t>(settings.callers.requests_per_second),
        settings.callers.burst);
    return options;
}

/// Connects the claims of all threads to the control thread's service.
void connect_claims(transport::once_shared& once,
                    transport::claim_service& claims)
{
    once.submit_claim = [&claims](const state::claim& what,
                                  state::duration limit,
                                  coordination::claim_callback done) {
        claims.submit(what, limit, std::move(done));
    };
    once.write_claim = [&claims](const state::claim& what,
                                 coordination::claim_callback done) {
        claims.write(what, std::move(done));
    };
}

/// Passes evidence and drain signals to the agent.
void connect_health(transport::service_control& services,
                    transport::entry_health& health)
{
    services.on_evidence = [&health](const state::evidence_batch& batch) {
        health.send(batch);
    };
    services.on_drain = [&health](const state::record_key& service,
                                  const state::endpoint& upstream) {
        health.send_drain({service.name, service.schema_version}, upstream);
    };
}

void stop(const protocol::entry_settings& settings,
          boost::asio::io_context& ioc, transport::entry_server& server,
          transport::once_shared& once)
{
    transport::event(log_level::info, "entry_stopping");
    const bool drained =
        server.stop(settings.shutdown.notice, settings.shutdown.drain_limit);
    const bool handed_over = transport::hand_over(ioc, once);
    transport::event(log_level::info, "entry_stopped")
        .with("drained", drained ? "yes" : "no")
        .with("handed_over", handed_over ? "yes" : "no");
    transport::exit_process(0);
}

void serve(const protocol::entry_settings& settings,
           boost::asio::io_context& ioc)
{
    transport::stop_signal signals(ioc);
    transport::entry_shared shared(options_from(settings));
    transport::once_shared once(settings.name, settings.fleet_key,
                                std::chrono::steady_clock::now());
    transport::claim_service claims(ioc, once, settings.platform);
    connect_claims(once, claims);
    transport::service_control services(shared,
                                        {settings.name, settings.data_centre});
    transport::entry_feed feed(ioc, shared, services, settings.agent,
                               settings.fleet_key);
    transport::entry_peers peers(ioc, once, services, settings.agent);
    once.on_incarnations_changed = [&] {
        boost::asio::post(ioc, [&peers] { peers.announce(); });
    };
    transport::entry_health health(
        ioc, settings.agent, settings.fleet_key,
        [&](const state::verdict_set& set) { services.set_verdicts(set); });
    connect_health(services, health);
    transport::entry_server server(shared, once, settings.threads);
    health.start();
    transport::spawn_fiber([&] { feed.follow(); });
    transport::spawn_fiber([&] { services.run(); });
    transport::spawn_fiber([&] { peers.follow(); });
    transport::event(log_level::info, "entry_started")
        .with("callers", to_string(settings.caller_listen))
        .with("incarnation",
              to_string(once.incarnations.own()->authority.incarnation()))
        .with("threads", settings.threads);
    signals.wait();
    stop(settings, ioc, server, once);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("request path of an oriolegrade host");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings =
        programs::read_settings(FLAGS_settings, [](const std::string& text) {
            return protocol::decode_entry_settings(text);
        });
    if (!settings) {
        return 2;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    transport::start_event_log("oriole-entry", settings->log_level);
    return programs::run_program(
        [&settings](boost::asio::io_context& ioc) { serve(*settings, ioc); });
}
