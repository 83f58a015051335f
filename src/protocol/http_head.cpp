// Operations on HTTP heads.

#include <oriolegrade/protocol/http_head.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace oriolegrade::protocol {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

/// Order of field names, which ignores case.
struct field_name_less
{
    bool operator()(std::string_view a, std::string_view b) const
    {
        return std::lexicographical_compare(
            a.begin(), a.end(), b.begin(), b.end(),
            [](char x, char y) { return lower(x) < lower(y); });
    }
};

} // namespace

bool same_field_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

void http_fields::add(std::string_view name, std::string_view value)
{
    fields_.push_back({std::string(name), std::string(value)});
}

void http_fields::set(header_field field, std::string_view value)
{
    set(state::name_of(field), value);
}

void http_fields::set(std::string_view name, std::string_view value)
{
    std::erase_if(fields_, [&](const http_field& it) {
        return same_field_name(it.name, name);
    });
    add(name, value);
}

std::optional<std::string> http_fields::take(std::string_view name)
{
    std::optional<std::string> out;
    bool differs = false;
    for (auto& it : fields_) {
        if (!same_field_name(it.name, name)) {
            continue;
        }
        if (!out) {
            out = std::move(it.value);
        } else {
            differs = differs || it.value != *out;
        }
    }
    if (out) {
        std::erase_if(fields_, [&](const http_field& it) {
            return same_field_name(it.name, name);
        });
    }
    return differs ? std::nullopt : out;
}

void http_fields::remove_listed(std::string_view names)
{
    constexpr std::string_view separators = ", \t";
    // A head may have thousands of fields and name as many.
    std::set<std::string_view, field_name_less> listed;
    for (auto n = names.find_first_not_of(separators);
         n != std::string_view::npos; n = names.find_first_not_of(separators)) {
        names.remove_prefix(n);
        const auto name = names.substr(0, names.find_first_of(separators));
        listed.insert(name);
        names.remove_prefix(name.size());
    }
    if (!listed.empty()) {
        std::erase_if(fields_, [&](const http_field& it) {
            return listed.contains(it.name);
        });
    }
}

std::optional<std::string_view> http_fields::find(std::string_view name) const
{
    for (const auto& it : fields_) {
        if (same_field_name(it.name, name)) {
            return it.value;
        }
    }
    return std::nullopt;
}

std::optional<std::string_view> http_fields::find(header_field field) const
{
    return find(state::name_of(field));
}

bool is_known_coding(std::string_view coding, unsigned version)
{
    return version != http_1_0 && same_field_name(coding, "chunked");
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t n = 0;
    const auto* end = text.data() + text.size();
    const auto r = std::from_chars(text.data(), end, n);
    if (text.empty() || r.ec != std::errc() || r.ptr != end) {
        return std::nullopt;
    }
    return n;
}

} // namespace oriolegrade::protocol
