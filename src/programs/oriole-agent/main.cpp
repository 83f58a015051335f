// Control process of a host: reads its settings and runs an agent until a
// signal asks it to stop.

#include "../common/settings_file.hpp"

#include <oriolegrade/protocol/settings.hpp>
#include <oriolegrade/transport/agent.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/stop_signal.hpp>

#include <gflags/gflags.h>

DEFINE_string(settings, "", "settings file: JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

using namespace oriolegrade;

int run(const protocol::agent_settings& settings)
{
    int status = 0;
    transport::run_fibers([&](boost::asio::io_context& ioc) {
        try {
            transport::stop_signal stop(ioc);
            transport::agent agent(ioc, settings);
            agent.start();
            stop.wait();
            agent.leave();
            transport::event(transport::log_level::info, "agent_stopped")
                .with("host", settings.name);
            transport::exit_process(0);
        } catch (const boost::system::system_error& error) {
            transport::event(transport::log_level::error, "listen_failed")
                .with("error", error.what());
            status = 1;
        }
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
