// Operations on HTTP heads.

#include <oriolegrade/protocol/http_head.hpp>

#include <algorithm>
#include <charconv>

namespace oriolegrade::protocol {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

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

void http_fields::remove_listed(std::string_view names)
{
    constexpr std::string_view separators = ", \t";
    for (;;) {
        const auto begin = names.find_first_not_of(separators);
        if (begin == std::string_view::npos) {
            return;
        }
        names.remove_prefix(begin);
        const auto name = names.substr(0, names.find_first_of(separators));
        names.remove_prefix(name.size());
        std::erase_if(fields_, [&](const http_field& it) {
            return same_field_name(it.name, name);
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
