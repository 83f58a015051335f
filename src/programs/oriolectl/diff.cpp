// Comparison of an operator's file with the records in force.

#include "commands.hpp"

#include <oriolegrade/protocol/record_json.hpp>

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>

namespace oriolegrade::programs {

namespace json = boost::json;

namespace {

/// Body in the form in which the agent shows it, with defaults filled in.
json::value body_of(const state::record& rec)
{
    return json::parse(protocol::encode_record(rec)).at("body");
}

/// Entry of the record's schema version in the agent's answer, or null.
const json::value* entry_of(const state::record& rec, const json::value& answer)
{
    const auto* object = answer.if_object();
    const auto* list = object ? object->if_contains("records") : nullptr;
    if (!list || !list->is_array()) {
        return nullptr;
    }
    for (const auto& it : list->get_array()) {
        boost::system::error_code ec;
        const auto version =
            it.at("schema_version").to_number<std::uint32_t>(ec);
        if (!ec && version == rec.key.schema_version) {
            return &it;
        }
    }
    return nullptr;
}

void print_line(char mark, const std::string& member, const json::value* value)
{
    if (value) {
        std::cout << mark << "   " << member << ": " << json::serialize(*value)
                  << '\n';
    }
}

void print_members(const json::object& in_force, const json::object& wanted)
{
    for (const auto& it : wanted) {
        const auto* old = in_force.if_contains(it.key());
        if (!old || *old != it.value()) {
            print_line('-', std::string(it.key()), old);
            print_line('+', std::string(it.key()), &it.value());
        }
    }
    for (const auto& it : in_force) {
        if (!wanted.if_contains(it.key())) {
            print_line('-', std::string(it.key()), &it.value());
        }
    }
}

/// Prints how a record differs from the entry in force. False when not.
bool print_difference(const state::record& rec, const json::value* entry)
{
    const auto title = std::string(state::name_of(rec.key.kind)) + " " +
                       rec.key.name + " version " +
                       std::to_string(rec.key.schema_version);
    if (!entry) {
        std::cout << "new " << title << '\n';
        return true;
    }
    const auto wanted = body_of(rec);
    const auto& in_force = entry->at("body");
    if (wanted == in_force) {
        return false;
    }
    std::cout << "changed " << title << ", revision "
              << json::serialize(entry->at("revision")) << " in force, base "
              << rec.base_revision << '\n';
    print_members(in_force.as_object(), wanted.as_object());
    return true;
}

} // namespace

exit_code diff(command_context& context)
{
    const auto& path = context.arguments[0];
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        std::cerr << path << ": cannot be read\n";
        return exit_code::usage;
    }
    const std::string bytes(std::istreambuf_iterator<char>(in), {});
    const auto records = protocol::decode_record_file(bytes);
    if (!records) {
        std::cerr << records.error().to_text(path);
        return exit_code::refused;
    }
    bool differs = false;
    for (const auto& it : records.value()) {
        const auto answer = context.agent.get(
            "/v1/records/" + std::string(state::name_of(it.key.kind)) + "/" +
            it.key.name);
        if (!answer || (answer->status != 200 && answer->status != 404)) {
            return exit_code::unavailable;
        }
        differs |= print_difference(it, entry_of(it, answer->body));
    }
    return differs ? exit_code::refused : exit_code::success;
}

} // namespace oriolegrade::programs
