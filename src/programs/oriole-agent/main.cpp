// Control process of a host: follows the log, feeds the entry, and serves
// the administration API.

#include "../common/settings_file.hpp"

#include <oriolegrade/protocol/settings.hpp>
#include <oriolegrade/transport/admin_api.hpp>
#include <oriolegrade/transport/agent_feed.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/stop_signal.hpp>
#include <oriolegrade/transport/stream_server.hpp>

#include <gflags/gflags.h>

DEFINE_string(settings, "", "settings file: JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

using namespace oriolegrade;

void serve_own(transport::agent_configuration& configuration,
               transport::server_stream& stream)
{
    if (stream.path() == transport::feed_path) {
        transport::serve_feed(configuration, stream);
    } else {
        (void)stream.reply(404, "");
    }
}

int run(const protocol::agent_settings& settings)
{
    int status = 0;
    transport::run_fibers([&](boost::asio::io_context& ioc) {
        transport::agent_configuration configuration(ioc, settings.platform);
        auto acceptor =
            transport::listen_on(ioc, transport::to_tcp(settings.feed_listen));
        if (!acceptor) {
            transport::event(transport::log_level::error, "listen_failed")
                .with("address", to_string(settings.feed_listen))
                .with("error", acceptor.error().message());
            status = 1;
            return;
        }
        transport::stream_server feed(std::move(acceptor.value()),
                                      settings.fleet_key, {},
                                      [&](transport::server_stream& stream) {
                                          serve_own(configuration, stream);
                                      });
        feed.start();
        transport::admin_api api(configuration, settings);
        transport::http_server admin(
            ioc, settings.admin_listen,
            [&](const transport::http_request& request) {
                return api.serve(request);
            });
        transport::spawn_fiber([&] { configuration.follow(); });
        transport::event(transport::log_level::info, "agent_started")
            .with("admin", to_string(settings.admin_listen))
            .with("feed", to_string(settings.feed_listen));
        transport::wait_for_stop_signal(ioc);
        transport::event(transport::log_level::info, "agent_stopped");
        transport::exit_process(0);
    });
    return status;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("control process of an oriolegrade host");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings =
        programs::read_settings(FLAGS_settings, [](const std::string& text) {
            return protocol::decode_agent_settings(text);
        });
    if (!settings) {
        return 2;
    }
    if (FLAGS_check_settings) {
        return 0;
    }
    transport::start_event_log("oriole-agent", settings->log_level);
    return run(*settings);
}
