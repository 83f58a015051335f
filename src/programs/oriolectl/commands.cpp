// What each command sends and prints.

#include "commands.hpp"

#include "table.hpp"

#include <oriolegrade/protocol/record_json.hpp>

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace oriolegrade::programs {

namespace json = boost::json;

namespace {

using columns = std::vector<std::string_view>;

constexpr std::chrono::milliseconds poll_interval{200};

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

const json::value* member(const json::value& value, std::string_view key)
{
    const auto* object = value.if_object();
    return object ? object->if_contains(key) : nullptr;
}

exit_code code_of(unsigned status)
{
    switch (status) {
    case 200:
        return exit_code::success;
    case 202:
        return exit_code::unresolved;
    case 503:
        return exit_code::unavailable;
    default:
        return exit_code::refused;
    }
}

void print_findings(const std::string& source, const json::value& list)
{
    if (const auto* items = list.if_array()) {
        for (const auto& it : *items) {
            const auto text = [&](std::string_view key) {
                const auto* value = member(it, key);
                return value ? to_cell(*value) : std::string();
            };
            std::cerr << source << ':' << text("place") << ": " << text("code")
                      << ": " << text("message") << '\n';
        }
    }
}

/// Prints an answer: findings, the error text, or a table of `key`.
exit_code show(const command_context& context, const std::string& source,
               const std::optional<agent_answer>& answer, std::string_view key,
               const columns& shown)
{
    if (!answer) {
        return exit_code::unavailable;
    }
    if (context.json) {
        std::cout << json::serialize(answer->body) << '\n';
        return code_of(answer->status);
    }
    if (const auto* list = member(answer->body, "findings")) {
        print_findings(source, *list);
    }
    if (const auto* text = member(answer->body, "error")) {
        std::cerr << to_cell(*text) << '\n';
    }
    if (const auto* rows = member(answer->body, key)) {
        print_table(*rows, shown);
    }
    return code_of(answer->status);
}

exit_code validate_offline(const std::string& path, const std::string& bytes)
{
    const auto records = protocol::decode_record_file(bytes);
    if (!records) {
        std::cerr << records.error().to_text(path);
        return exit_code::refused;
    }
    std::cout << path << ": " << records.value().size() << " valid records\n";
    return exit_code::success;
}

exit_code validate(command_context& context)
{
    const auto& path = context.arguments[0];
    const auto bytes = read_file(path);
    if (!bytes) {
        return exit_code::usage;
    }
    if (context.offline) {
        return validate_offline(path, *bytes);
    }
    return show(context, path, context.agent.post("/v1/validate", *bytes),
                "results", {"kind", "name", "schema_version", "verdict"});
}

exit_code publish(command_context& context)
{
    const auto& path = context.arguments[0];
    const auto bytes = read_file(path);
    if (!bytes) {
        return exit_code::usage;
    }
    return show(context, path, context.agent.post("/v1/records", *bytes),
                "results",
                {"kind", "name", "schema_version", "verdict", "revision",
                 "change_id", "winner"});
}

exit_code get(command_context& context)
{
    const auto& name = context.arguments;
    const auto answer =
        context.agent.get("/v1/records/" + name[0] + "/" + name[1]);
    if (!answer) {
        return exit_code::unavailable;
    }
    std::cout << json::serialize(answer->body) << '\n';
    return code_of(answer->status);
}

exit_code list(command_context& context)
{
    return show(context, "list", context.agent.get("/v1/records"), "records",
                {"kind", "name", "schema_version", "revision", "offset",
                 "operator", "change_id"});
}

bool everywhere(const agent_answer& answer)
{
    const auto* value = member(answer.body, "in_force_everywhere");
    return value && value->is_bool() && value->get_bool();
}

exit_code status(command_context& context)
{
    const auto limit = std::chrono::steady_clock::now() +
                       std::chrono::seconds(context.timeout_s);
    for (;;) {
        const auto answer =
            context.agent.get("/v1/changes/" + context.arguments[0]);
        const bool done = answer && everywhere(*answer);
        const bool late = std::chrono::steady_clock::now() >= limit;
        if (!context.wait || done || late) {
            if (!answer) {
                return exit_code::unavailable;
            }
            std::cout << json::serialize(answer->body) << '\n';
            return context.wait && !done ? exit_code::timed_out
                                         : code_of(answer->status);
        }
        boost::this_fiber::sleep_for(poll_interval);
    }
}

exit_code hosts(command_context& context)
{
    return show(context, "hosts", context.agent.get("/v1/hosts"), "hosts",
                {"name", "data_centre", "state", "address", "applied_offset"});
}

exit_code upstreams(command_context& context)
{
    return show(context, "upstreams", context.agent.get("/v1/services"),
                "upstreams",
                {"service", "schema_version", "address", "state", "weight",
                 "score", "bad_share", "hosts"});
}

exit_code history(command_context& context)
{
    const auto& name = context.arguments;
    return show(context, "history",
                context.agent.get("/v1/history/" + name[0] + "/" + name[1]),
                "changes",
                {"offset", "schema_version", "verdict", "revision", "operator",
                 "change_id", "winner"});
}

bool passes(const audit_filter& filter, const json::value& event)
{
    const auto text = [&](std::string_view key) {
        const auto* value = member(event, key);
        return value ? to_cell(*value) : std::string();
    };
    return (filter.kind.empty() || text("kind") == filter.kind) &&
           (filter.actor.empty() || text("actor") == filter.actor) &&
           text("subject").find(filter.subject) != std::string::npos;
}

exit_code audit(command_context& context)
{
    std::uint64_t next = 0;
    for (;;) {
        const auto answer =
            context.agent.get("/v1/audit?from=" + std::to_string(next));
        if (!answer) {
            return exit_code::unavailable;
        }
        const auto* events = member(answer->body, "events");
        if (events && events->is_array()) {
            for (const auto& it : events->get_array()) {
                if (passes(context.filter, it)) {
                    std::cout << json::serialize(it) << '\n';
                }
            }
        }
        if (const auto* value = member(answer->body, "next")) {
            boost::system::error_code ec;
            next = value->to_number<std::uint64_t>(ec);
        }
        if (!context.follow) {
            return code_of(answer->status);
        }
        std::cout.flush();
        boost::this_fiber::sleep_for(poll_interval);
    }
}

} // namespace

const std::vector<command>& all_commands()
{
    static const std::vector<command> commands{
        {"publish", "FILE", "publish the records of a JSON file", 1, publish},
        {"validate", "FILE",
         "check the records of a file; --offline needs no agent", 1, validate},
        {"get", "KIND NAME", "show the entries of a name, with revisions", 2,
         get},
        {"list", "", "list all entries in force", 0, list},
        {"status", "CHANGE_ID",
         "show whether a change was accepted and where it is in force; --wait "
         "returns when it is in force on all live hosts",
         1, status},
        {"hosts", "", "list the hosts as this agent sees them", 0, hosts},
        {"upstreams", "", "list upstreams with their state and its reason", 0,
         upstreams},
        {"history", "KIND NAME",
         "list the changes of a name that this agent remembers", 2, history},
        {"diff", "FILE",
         "compare the records of a file with those in force; exit code 1 when "
         "they differ",
         1, diff},
        {"audit", "",
         "print audit events; --follow goes on; --kind, --actor and --subject "
         "select",
         0, audit},
    };
    return commands;
}

} // namespace oriolegrade::programs
