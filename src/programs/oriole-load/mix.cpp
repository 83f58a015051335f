// Reads the mix of requests.

#include "mix.hpp"

#include <boost/json.hpp>

namespace oriolegrade::programs {

namespace {

namespace json = boost::json;

std::string_view view(const json::string& s)
{
    return {s.data(), s.size()};
}

bool set_headers(request_kind& kind, const json::value& value)
{
    if (!value.is_object()) {
        return false;
    }
    for (const auto& pair : value.get_object()) {
        if (!pair.value().is_string()) {
            return false;
        }
        kind.headers.emplace_back(
            std::string(pair.key().data(), pair.key().size()),
            view(pair.value().get_string()));
    }
    return true;
}

bool set_text(request_kind& kind, std::string_view key, std::string_view text)
{
    if (key == "method") {
        kind.method = text;
    } else if (key == "path") {
        kind.path = text;
    } else if (key == "class") {
        const auto type = state::enum_from_name<load_class>(text);
        kind.type = type.value_or(load_class::idempotent);
        return type.has_value();
    } else {
        return false;
    }
    return true;
}

bool set_number(request_kind& kind, std::string_view key, double number)
{
    if (key == "weight") {
        kind.weight = number;
    } else if (key == "body_bytes") {
        kind.body_bytes = static_cast<std::uint64_t>(number);
    } else {
        return false;
    }
    return number >= 0;
}

bool set_field(request_kind& kind, std::string_view key,
               const json::value& value)
{
    if (key == "headers") {
        return set_headers(kind, value);
    }
    if (value.is_string()) {
        return set_text(kind, key, view(value.get_string()));
    }
    return value.is_number() &&
           set_number(kind, key, value.to_number<double>());
}

} // namespace

state::result<std::vector<request_kind>, std::string>
parse_mix(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code ec;
    const auto parsed =
        json::parse({text.data(), text.size()}, ec, {}, options);
    const auto* object = ec ? nullptr : parsed.if_object();
    const auto* list = object ? object->if_contains("requests") : nullptr;
    if (list == nullptr || !list->is_array()) {
        return "expected {\"requests\":[...]}" +
               (ec ? ": " + ec.message() : std::string());
    }
    std::vector<request_kind> out;
    for (const auto& item : list->get_array()) {
        const auto place = "requests/" + std::to_string(out.size());
        if (!item.is_object()) {
            return place + ": expected an object";
        }
        request_kind kind;
        for (const auto& pair : item.get_object()) {
            const std::string key(pair.key().data(), pair.key().size());
            if (!set_field(kind, key, pair.value())) {
                auto error = place;
                error.append("/").append(key);
                return error.append(": unknown key or wrong value");
            }
        }
        if (!kind.path.starts_with('/')) {
            return place + "/path: must start with /";
        }
        out.push_back(std::move(kind));
    }
    if (out.empty()) {
        return std::string("requests: must not be empty");
    }
    return out;
}

} // namespace oriolegrade::programs
