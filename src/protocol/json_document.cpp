// Readers of JSON members.

#include <oriolegrade/protocol/json_document.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/string.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace oriolegrade::protocol {

using state::finding_code;

namespace {

/// Longest part of an input that a finding repeats, in bytes.
constexpr std::size_t max_quoted_bytes = 64;

std::string quoted(std::string_view text)
{
    const bool cut = text.size() > max_quoted_bytes;
    std::string copy(text.substr(0, max_quoted_bytes));
    for (auto& c : copy) {
        if (c < ' ' || c == '\x7f') {
            c = '?';
        }
    }
    return "'" + copy + (cut ? "...'" : "'");
}

bool is_letter_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool has_form(std::string_view text, text_form form)
{
    switch (form) {
    case text_form::name:
        return !text.empty() && is_letter_or_digit(text.front()) &&
               std::all_of(text.begin(), text.end(), [](char c) {
                   return is_letter_or_digit(c) || c == '.' || c == '_' ||
                          c == ':' || c == '-';
               });
    case text_form::printable:
        return std::all_of(text.begin(), text.end(),
                           [](char c) { return c > ' ' && c < '\x7f'; });
    case text_form::line:
        return std::all_of(text.begin(), text.end(),
                           [](char c) { return c >= ' ' && c < '\x7f'; });
    }
    return false;
}

/// What a text of a form may contain, indexed by text_form.
constexpr std::array<std::string_view, 3> form_rules{
    "may contain letters, digits and . _ : - only, and begins with a letter "
    "or digit",
    "may contain printable ASCII without spaces only",
    "may contain printable ASCII only",
};

std::optional<std::uint64_t> whole_number(const boost::json::value& value)
{
    if (value.is_uint64()) {
        return value.get_uint64();
    }
    if (value.is_int64() && value.get_int64() >= 0) {
        return static_cast<std::uint64_t>(value.get_int64());
    }
    return std::nullopt;
}

std::string range_text(const std::string& min, const std::string& max)
{
    return "must be from " + min + " to " + max;
}

/// Loopback is allowed: test fleets run on it. Addresses that name no single
/// host are not.
bool fits(std::uint32_t address, address_use use)
{
    constexpr std::uint32_t multicast_first = 0xe0000000U;
    if (address == 0) {
        return use == address_use::listen;
    }
    return address < multicast_first;
}

} // namespace

std::string member_place(std::string_view parent, std::string_view key)
{
    std::string place(parent);
    place += '/';
    for (const char c : key.substr(0, max_quoted_bytes)) {
        if (c == '~') {
            place += "~0";
        } else if (c == '/') {
            place += "~1";
        } else {
            place += c;
        }
    }
    return place;
}

std::string element_place(std::string_view parent, std::size_t index)
{
    return std::string(parent) + "/" + std::to_string(index);
}

void report(state::findings& out, finding_code code, std::string place,
            std::string message)
{
    if (out.items().size() < max_findings) {
        out.add(code, std::move(place), std::move(message));
    }
}

bool is_name(std::string_view text)
{
    return text.size() <= max_name_bytes && has_form(text, text_form::name);
}

json_object_reader::json_object_reader(const boost::json::value& value,
                                       std::string place, state::findings& out)
    : object_(value.if_object())
    , place_(std::move(place))
    , out_(out)
{
    if (!object_) {
        report(out_, finding_code::wrong_type, place_, "must be an object");
    }
}

bool json_object_reader::has(std::string_view key) const
{
    return object_ && object_->contains(key);
}

const boost::json::value* json_object_reader::member(std::string_view key,
                                                     bool required)
{
    known_.push_back(key);
    const auto* value = object_ ? object_->if_contains(key) : nullptr;
    if (object_ && !value && required) {
        add(finding_code::missing_key, key, "is required");
    }
    return value;
}

void json_object_reader::add(finding_code code, std::string_view key,
                             std::string message)
{
    report(out_, code, member_place(place_, key), std::move(message));
}

const std::string* json_object_reader::text_or_null(std::string_view key,
                                                    bool required)
{
    const auto* value = member(key, required);
    if (!value) {
        return nullptr;
    }
    if (!value->is_string()) {
        add(finding_code::wrong_type, key, "must be a string");
        return nullptr;
    }
    text_ = std::string(std::string_view(value->get_string()));
    return &text_;
}

std::string json_object_reader::text(std::string_view key, text_form form,
                                     bounds<std::size_t> bytes,
                                     const std::optional<std::string>& fallback)
{
    const auto* text = text_or_null(key, !fallback);
    if (!text) {
        return fallback.value_or(std::string());
    }
    if (text->size() < bytes.min || text->size() > bytes.max) {
        add(finding_code::out_of_range, key,
            "length in bytes " + range_text(std::to_string(bytes.min),
                                            std::to_string(bytes.max)));
    } else if (!has_form(*text, form)) {
        add(finding_code::out_of_range, key,
            std::string(form_rules[static_cast<std::size_t>(form)]));
    }
    return *text;
}

std::string json_object_reader::name(std::string_view key,
                                     const std::optional<std::string>& fallback)
{
    return text(key, text_form::name, {1, max_name_bytes}, fallback);
}

std::uint64_t json_object_reader::number(std::string_view key,
                                         bounds<std::uint64_t> range,
                                         std::optional<std::uint64_t> fallback)
{
    const auto* value = member(key, !fallback);
    if (!value) {
        return fallback.value_or(range.min);
    }
    if (!value->is_number()) {
        add(finding_code::wrong_type, key, "must be a whole number");
        return fallback.value_or(range.min);
    }
    const auto n = whole_number(*value);
    if (!n || *n < range.min || *n > range.max) {
        add(finding_code::out_of_range, key,
            "must be a whole number from " + std::to_string(range.min) +
                " to " + std::to_string(range.max));
        return fallback.value_or(range.min);
    }
    return *n;
}

double json_object_reader::real(std::string_view key, bounds<double> range,
                                std::optional<double> fallback)
{
    const auto* value = member(key, !fallback);
    if (!value) {
        return fallback.value_or(range.max);
    }
    if (!value->is_number()) {
        add(finding_code::wrong_type, key, "must be a number");
        return fallback.value_or(range.max);
    }
    const auto n = value->to_number<double>();
    if (!std::isfinite(n) || n <= range.min || n > range.max) {
        add(finding_code::out_of_range, key,
            "must be above " + std::to_string(range.min) + " and at most " +
                std::to_string(range.max));
        return fallback.value_or(range.max);
    }
    return n;
}

bool json_object_reader::flag(std::string_view key,
                              std::optional<bool> fallback)
{
    const auto* value = member(key, !fallback);
    if (!value) {
        return fallback.value_or(false);
    }
    if (!value->is_bool()) {
        add(finding_code::wrong_type, key, "must be true or false");
        return fallback.value_or(false);
    }
    return value->get_bool();
}

state::endpoint
json_object_reader::endpoint(std::string_view key, address_use use,
                             std::optional<state::endpoint> fallback)
{
    const auto* text = text_or_null(key, !fallback);
    if (!text) {
        return fallback.value_or(state::endpoint());
    }
    return read_endpoint(*text, use, member_place(place_, key), out_)
        .value_or(fallback.value_or(state::endpoint()));
}

const boost::json::array* json_object_reader::list(std::string_view key,
                                                   bounds<std::size_t> size,
                                                   bool required)
{
    const auto* value = member(key, required);
    if (!value) {
        return nullptr;
    }
    const auto* array = value->if_array();
    if (!array) {
        add(finding_code::wrong_type, key, "must be an array");
    } else if (array->size() < size.min || array->size() > size.max) {
        add(finding_code::out_of_range, key,
            "number of elements " +
                range_text(std::to_string(size.min), std::to_string(size.max)));
    }
    return array;
}

void json_object_reader::finish()
{
    if (!object_) {
        return;
    }
    for (const auto& it : *object_) {
        const std::string_view key = it.key();
        if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
            add(finding_code::unknown_key, key, "is no known key");
        }
    }
}

void json_object_reader::add_unknown_name(std::string_view key,
                                          std::string_view found,
                                          const std::string_view* names,
                                          std::size_t count)
{
    std::string message = quoted(found) + " is none of";
    for (std::size_t n = 0; n < count; ++n) {
        message += n == 0 ? " " : ", ";
        message += names[n];
    }
    add(finding_code::unknown_name, key, message);
}

std::optional<std::string> element_text(const boost::json::value& value,
                                        const std::string& place,
                                        state::findings& out)
{
    if (const auto* text = value.if_string()) {
        return std::string(std::string_view(*text));
    }
    report(out, finding_code::wrong_type, place, "must be a string");
    return std::nullopt;
}

std::optional<state::endpoint> read_endpoint(std::string_view text,
                                             address_use use,
                                             const std::string& place,
                                             state::findings& out)
{
    const auto ep = state::endpoint_from_string(text);
    if (!ep) {
        report(out, finding_code::wrong_type, place,
               quoted(text) + " is no IPv4 address with a port, a.b.c.d:port");
    } else if (!fits(ep->address, use)) {
        report(out, finding_code::out_of_range, place,
               quoted(text) + " is no address of a single host");
    }
    return ep;
}

boost::json::value json_number(double value)
{
    // Every whole number up to 2^53 has an exact double.
    constexpr double exact = 9007199254740992.0;
    if (value >= 0 && value <= exact && std::floor(value) == value) {
        return static_cast<std::uint64_t>(value);
    }
    return value;
}

} // namespace oriolegrade::protocol
