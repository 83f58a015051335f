// Stand-ins for the systems outside: one mode each, chosen by the first
// positional argument.

#include "platform_mode.hpp"
#include "standin_flags.hpp"
#include "upstream_mode.hpp"

#include <oriolegrade/transport/event_log.hpp>

#include <array>
#include <iostream>
#include <string_view>

DEFINE_string(listen, "127.0.0.1:0", "ip:port to listen on; port 0 picks one");
DEFINE_string(name, "standin", "name in answers and log lines");

namespace {

struct mode
{
    std::string_view name;
    int (*run)();
};

constexpr std::array modes{
    mode{"platform", oriolegrade::programs::run_platform},
    mode{"upstream", oriolegrade::programs::run_upstream},
};

int usage()
{
    std::cerr << "usage: oriole-standin MODE [flags]\nmodes:";
    for (const auto& it : modes) {
        std::cerr << ' ' << it.name;
    }
    std::cerr << '\n';
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace oriolegrade;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        return usage();
    }
    transport::start_event_log(FLAGS_name, transport::log_level::info);
    for (const auto& it : modes) {
        if (it.name == argv[1]) {
            return it.run();
        }
    }
    return usage();
}
