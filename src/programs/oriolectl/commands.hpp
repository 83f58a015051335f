// Commands of oriolectl.

#ifndef ORIOLEGRADE_PROGRAMS_COMMANDS_HPP
#define ORIOLEGRADE_PROGRAMS_COMMANDS_HPP

#include "agent_client.hpp"
#include "exit_code.hpp"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::programs {

struct audit_filter
{
    std::string kind;
    std::string actor;
    /// Part of the subject.
    std::string subject;
};

struct command_context
{
    agent_client& agent;
    /// Arguments after the name of the command.
    std::vector<std::string> arguments;
    /// Print the agent's JSON instead of tables.
    bool json = false;
    /// Wait until the command's condition is met.
    bool wait = false;
    bool offline = false;
    bool follow = false;
    /// Audit events to print: of this kind, actor or subject; empty for all.
    audit_filter filter{};
    unsigned timeout_s = 30;
};

struct command
{
    std::string_view name;
    std::string_view arguments;
    std::string_view help;
    std::size_t least_arguments;
    exit_code (*run)(command_context& context);
};

/// Compares the records of a file with those in force.
exit_code diff(command_context& context);

/// All commands, in the order of the help text.
const std::vector<command>& all_commands();

} // namespace oriolegrade::programs

#endif
