// Operator's command line: reads the flags and runs one command.

#include "commands.hpp"

#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/stop_signal.hpp>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

DEFINE_string(agent, "127.0.0.1:7002",
              "ip:port of an agent's administration API");
DEFINE_string(operator_name, "", "operator; default: $ORIOLE_OPERATOR");
DEFINE_string(secret, "",
              "operator's secret; default: $ORIOLE_SECRET, which keeps it out "
              "of the process list");
DEFINE_bool(json, false, "print JSON instead of tables");
DEFINE_bool(wait, false, "wait until the change is in force everywhere");
DEFINE_bool(offline, false, "validate without an agent");
DEFINE_bool(follow, false, "go on printing audit events");
DEFINE_string(kind, "", "audit: only events of this kind");
DEFINE_string(actor, "", "audit: only events of this operator");
DEFINE_string(subject, "", "audit: only events whose subject contains this");
DEFINE_uint32(timeout_s, 30, "longest wait in seconds");

namespace {

using namespace oriolegrade;
using programs::exit_code;

std::string flag_or_environment(const std::string& flag, const char* variable)
{
    const char* value = std::getenv(variable);
    return flag.empty() && value ? value : flag;
}

std::string help_text()
{
    std::ostringstream out;
    out << "administers an oriolegrade fleet\n\n"
           "usage: oriolectl [flags] COMMAND [arguments]\n\ncommands:\n";
    for (const auto& it : programs::all_commands()) {
        out << "  " << it.name << ' ' << it.arguments << "\n      " << it.help
            << '\n';
    }
    out << "\nexit codes: 0 done, 1 refused, 2 wrong usage, 3 unavailable, "
           "4 unresolved, 5 timed out\n"
           "example: oriolectl --agent 10.0.0.1:7002 publish routes.json";
    return out.str();
}

exit_code run(const programs::command& it,
              const std::vector<std::string>& arguments)
{
    const auto agent = state::endpoint_from_string(FLAGS_agent);
    if (!agent) {
        std::cerr << "--agent needs ip:port\n";
        return exit_code::usage;
    }
    auto code = exit_code::success;
    transport::run_fibers([&](boost::asio::io_context& ioc) {
        programs::agent_client client(
            ioc, *agent,
            flag_or_environment(FLAGS_operator_name, "ORIOLE_OPERATOR"),
            flag_or_environment(FLAGS_secret, "ORIOLE_SECRET"));
        programs::command_context context{
            client,
            arguments,
            FLAGS_json,
            FLAGS_wait,
            FLAGS_offline,
            FLAGS_follow,
            {FLAGS_kind, FLAGS_actor, FLAGS_subject},
            FLAGS_timeout_s};
        code = it.run(context);
    });
    return code;
}

exit_code dispatch(const std::vector<std::string>& words)
{
    for (const auto& it : programs::all_commands()) {
        if (!words.empty() && it.name == words[0]) {
            const std::vector<std::string> arguments(words.begin() + 1,
                                                     words.end());
            if (arguments.size() < it.least_arguments) {
                std::cerr << "usage: oriolectl " << it.name << ' '
                          << it.arguments << '\n';
                return exit_code::usage;
            }
            return run(it, arguments);
        }
    }
    std::cerr << help_text() << '\n';
    return exit_code::usage;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(help_text());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return static_cast<int>(dispatch({argv + 1, argv + argc}));
}
