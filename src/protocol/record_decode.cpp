// Decoding of configuration records.

#include <oriolegrade/protocol/record_json.hpp>

#include "record_body_decode.hpp"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <limits>
#include <set>

namespace oriolegrade::protocol {

using state::finding_code;

namespace {

/// Highest schema version of each kind, indexed by record_kind. All versions
/// from 1 are known.
constexpr std::array<std::uint32_t, 3> highest_version{2, 1, 1};
static_assert(highest_version.size() == state::enum_size<state::record_kind>);

/// Who writes a record decides which members it must have.
enum class record_source : std::uint8_t
{
    log,
    operator_file,
};

constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();

state::identifier read_change_id(json_object_reader& in, record_source source)
{
    constexpr std::size_t digits = 32;
    if (source == record_source::operator_file && !in.has("change_id")) {
        in.member("change_id", false);
        return {};
    }
    const auto text =
        in.text("change_id", text_form::printable, {digits, digits});
    const auto id = state::identifier_from_string(text);
    if (text.size() == digits && (!id || !*id)) {
        in.add(finding_code::out_of_range, "change_id",
               "must be 32 lower-case hexadecimal digits, not all zero");
    }
    return id.value_or(state::identifier());
}

std::string read_operator(json_object_reader& in, record_source source)
{
    if (source == record_source::operator_file) {
        return in.name("operator", std::string());
    }
    return in.name("operator");
}

state::record_body read_body(const state::record_key& key,
                             const boost::json::value& value,
                             const std::string& place, state::findings& out)
{
    json_object_reader in(value, place, out);
    state::record_body body;
    switch (key.kind) {
    case state::record_kind::service:
        body = read_service(in, key.schema_version, out);
        break;
    case state::record_kind::route:
        body = read_route(in, out);
        break;
    case state::record_kind::workspace:
        body = read_workspace(in);
        break;
    }
    in.finish();
    return body;
}

/// How much of a record this binary can read.
enum class schema_support : std::uint8_t
{
    whole,
    /// Kind or version is missing or wrong, so the body has no known form.
    envelope,
    /// A later version; nothing about it is wrong.
    none,
};

schema_support read_schema(json_object_reader& in, state::record_key& key,
                           const state::findings& out)
{
    const auto before = out.items().size();
    key.kind = in.enumerator<state::record_kind>("kind");
    const auto version = in.number("schema_version", {1, max_number});
    if (out.items().size() != before) {
        return schema_support::envelope;
    }
    if (!is_known_schema_version(key.kind, version)) {
        in.add(finding_code::unknown_schema_version, "schema_version",
               "version " + std::to_string(version) + " of a " +
                   std::string(name_of(key.kind)) +
                   " is unknown; this program knows 1 to " +
                   std::to_string(highest_version[index_of(key.kind)]));
        return schema_support::none;
    }
    key.schema_version = static_cast<std::uint32_t>(version);
    return schema_support::whole;
}

state::record read_record(const boost::json::value& value,
                          const std::string& place, record_source source,
                          state::findings& out)
{
    state::record rec;
    json_object_reader in(value, place, out);
    if (!value.is_object()) {
        return rec;
    }
    const auto support = read_schema(in, rec.key, out);
    if (support == schema_support::none) {
        return rec;
    }
    rec.key.name = in.name("name");
    rec.base_revision = in.number("base_revision", {0, max_number});
    rec.change_id = read_change_id(in, source);
    rec.operator_name = read_operator(in, source);
    const auto* body = in.member("body", true);
    if (body && support == schema_support::whole) {
        rec.body = read_body(rec.key, *body, member_place(place, "body"), out);
    }
    in.finish();
    return rec;
}

/// Reports records of one file that exclude each other.
void check_together(const std::vector<state::record>& records,
                    state::findings& out)
{
    std::set<state::record_key> keys;
    std::set<state::identifier> ids;
    for (std::size_t n = 0; n < records.size(); ++n) {
        const auto& rec = records[n];
        const auto place = element_place("", n);
        if (!rec.key.name.empty() && !keys.insert(rec.key).second) {
            report(out, finding_code::duplicate, member_place(place, "name"),
                   "an earlier record of this file changes the same entry");
        }
        if (rec.change_id && !ids.insert(rec.change_id).second) {
            report(out, finding_code::duplicate,
                   member_place(place, "change_id"),
                   "an earlier record of this file has the same change id");
        }
    }
}

std::vector<state::record> read_file(const boost::json::value& root,
                                     state::findings& out)
{
    const auto* array = root.if_array();
    if (!array) {
        return {read_record(root, "", record_source::operator_file, out)};
    }
    if (array->empty() || array->size() > max_records_per_file) {
        report(out, finding_code::out_of_range, "",
               "number of records must be from 1 to " +
                   std::to_string(max_records_per_file));
        return {};
    }
    std::vector<state::record> records;
    records.reserve(array->size());
    for (const auto& it : *array) {
        records.push_back(read_record(it, element_place("", records.size()),
                                      record_source::operator_file, out));
    }
    check_together(records, out);
    return records;
}

} // namespace

bool is_known_schema_version(state::record_kind kind, std::uint64_t version)
{
    return version >= 1 && version <= highest_version[index_of(kind)];
}

state::result<state::record, state::findings>
decode_record(std::string_view bytes)
{
    auto root = parse_json(bytes, record_limits);
    if (!root) {
        return std::move(root).error();
    }
    state::findings out;
    auto rec = read_record(root.value(), "", record_source::log, out);
    if (!out.empty()) {
        return out;
    }
    return rec;
}

state::result<std::vector<state::record>, state::findings>
decode_record_file(std::string_view bytes)
{
    auto root = parse_json(bytes, record_file_limits);
    if (!root) {
        return std::move(root).error();
    }
    state::findings out;
    auto records = read_file(root.value(), out);
    if (!out.empty()) {
        return out;
    }
    return records;
}

} // namespace oriolegrade::protocol
