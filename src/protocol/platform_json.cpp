// Encoding and decoding of platform bodies.

#include <oriolegrade/protocol/platform_json.hpp>

#include <oriolegrade/protocol/base64.hpp>

#include <boost/json.hpp>

namespace oriolegrade::protocol {

namespace json = boost::json;

namespace {

std::optional<json::object> parse_object(std::string_view text)
{
    boost::system::error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::optional<std::uint64_t> number_at(const json::object& object,
                                       std::string_view key)
{
    const auto* value = object.if_contains(key);
    boost::system::error_code ec;
    const auto n = value ? value->to_number<std::uint64_t>(ec) : 0;
    if (!value || ec) {
        return std::nullopt;
    }
    return n;
}

std::optional<std::string> text_at(const json::object& object,
                                   std::string_view key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string()) {
        return std::nullopt;
    }
    return std::string(value->get_string());
}

std::optional<state::log_record> record_from(const json::value& value)
{
    const auto* object = value.if_object();
    if (!object) {
        return std::nullopt;
    }
    const auto offset = number_at(*object, "offset");
    const auto data = text_at(*object, "data");
    if (!offset || !data) {
        return std::nullopt;
    }
    auto bytes = decode_base64(*data);
    if (!bytes) {
        return std::nullopt;
    }
    return state::log_record{*offset, std::move(*bytes)};
}

std::optional<state::listed_host> host_from(const json::value& value)
{
    const auto* object = value.if_object();
    if (!object) {
        return std::nullopt;
    }
    const auto name = text_at(*object, "name");
    const auto address = text_at(*object, "address");
    const auto data_centre = text_at(*object, "data_centre");
    const auto state_name = text_at(*object, "state");
    if (!name || !address || !data_centre || !state_name) {
        return std::nullopt;
    }
    const auto ep = state::endpoint_from_string(*address);
    const auto host_state =
        state::enum_from_name<state::host_state>(*state_name);
    if (!ep || !host_state) {
        return std::nullopt;
    }
    return state::listed_host{*name, *ep, *data_centre, *host_state};
}

} // namespace

std::string encode_append_answer(std::uint64_t offset)
{
    return json::serialize(json::object{{"offset", offset}});
}

std::optional<std::uint64_t> decode_append_answer(std::string_view text)
{
    const auto object = parse_object(text);
    return object ? number_at(*object, "offset") : std::nullopt;
}

std::string encode_read_answer(std::uint64_t first,
                               const state::log_records& records)
{
    json::array list;
    for (const auto& it : records.records) {
        list.push_back(json::object{{"offset", it.offset},
                                    {"data", encode_base64(it.bytes)}});
    }
    return json::serialize(json::object{{"first", first},
                                        {"next", records.next_offset},
                                        {"records", std::move(list)}});
}

std::optional<state::log_records> decode_read_answer(std::string_view text)
{
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto next = number_at(*object, "next");
    const auto* list = object->if_contains("records");
    if (!next || !list || !list->is_array()) {
        return std::nullopt;
    }
    state::log_records records;
    records.next_offset = *next;
    for (const auto& it : list->get_array()) {
        auto rec = record_from(it);
        if (!rec) {
            return std::nullopt;
        }
        records.records.push_back(std::move(*rec));
    }
    return records;
}

std::string encode_trimmed_answer(std::uint64_t first)
{
    return json::serialize(json::object{{"first", first}});
}

std::optional<std::uint64_t> decode_trimmed_answer(std::string_view text)
{
    const auto object = parse_object(text);
    return object ? number_at(*object, "first") : std::nullopt;
}

std::string encode_host_list(const state::host_list& list)
{
    json::array hosts;
    for (const auto& it : list.hosts) {
        hosts.push_back(json::object{{"name", it.name},
                                     {"address", to_string(it.address)},
                                     {"data_centre", it.data_centre},
                                     {"state", state::name_of(it.state)}});
    }
    return json::serialize(json::object{{"hosts", std::move(hosts)}});
}

std::optional<state::host_list> decode_host_list(std::string_view text)
{
    const auto object = parse_object(text);
    const auto* list = object ? object->if_contains("hosts") : nullptr;
    if (!list || !list->is_array()) {
        return std::nullopt;
    }
    state::host_list result;
    for (const auto& it : list->get_array()) {
        auto host = host_from(it);
        if (!host) {
            return std::nullopt;
        }
        result.hosts.push_back(std::move(*host));
    }
    return result;
}

} // namespace oriolegrade::protocol
