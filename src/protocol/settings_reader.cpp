// Readers of each kind of setting.

#include "settings_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <charconv>

namespace oriolegrade::protocol {

using state::finding_code;

namespace {

std::string_view section_name(const settings_row& row)
{
    const auto dot = row.path.find('.');
    return dot == std::string_view::npos ? std::string_view()
                                         : row.path.substr(0, dot);
}

std::string_view member_name(const settings_row& row)
{
    const auto dot = row.path.find('.');
    return dot == std::string_view::npos ? row.path : row.path.substr(dot + 1);
}

std::optional<std::uint64_t> number_fallback(const settings_row& row)
{
    if (row.is_required()) {
        return std::nullopt;
    }
    std::uint64_t n = 0;
    std::from_chars(row.fallback.data(),
                    row.fallback.data() + row.fallback.size(), n);
    return n;
}

/// Value of a section that the file leaves out.
const boost::json::value& empty_section()
{
    // Parentheses: braces would make an array that holds the object.
    static const boost::json::value value(boost::json::object_kind);
    return value;
}

} // namespace

settings_reader::settings_reader(const boost::json::value& root,
                                 state::findings& out)
    : root_(root, "", out)
    , out_(out)
{}

json_object_reader& settings_reader::section_of(const settings_row& row)
{
    const auto name = section_name(row);
    if (name.empty()) {
        return root_;
    }
    const auto known = sections_.find(name);
    if (known != sections_.end()) {
        return known->second;
    }
    const auto* value = root_.member(name, false);
    return sections_
        .try_emplace(name, value ? *value : empty_section(),
                     member_place("", name), out_)
        .first->second;
}

std::string settings_reader::name(const settings_row& row)
{
    return section_of(row).name(member_name(row));
}

std::string settings_reader::secret(const settings_row& row)
{
    return section_of(row).text(member_name(row), text_form::printable,
                                {row.min, row.max});
}

state::endpoint settings_reader::endpoint(const settings_row& row)
{
    const auto use = row.kind == settings_kind::listen ? address_use::listen
                                                       : address_use::one_host;
    return section_of(row).endpoint(member_name(row), use);
}

std::uint64_t settings_reader::number(const settings_row& row)
{
    return section_of(row).number(member_name(row), {row.min, row.max},
                                  number_fallback(row));
}

std::chrono::milliseconds settings_reader::milliseconds(const settings_row& row)
{
    return std::chrono::milliseconds(number(row));
}

state::log_level settings_reader::log_level(const settings_row& row)
{
    return section_of(row).enumerator<state::log_level>(
        member_name(row),
        state::enum_from_name<state::log_level>(row.fallback));
}

std::vector<state::endpoint> settings_reader::addresses(const settings_row& row)
{
    std::vector<state::endpoint> all;
    auto& in = section_of(row);
    const auto* array = in.list(member_name(row), {row.min, row.max}, false);
    if (!array || array->size() > row.max) {
        return all;
    }
    const auto parent = member_place(in.place(), member_name(row));
    for (std::size_t n = 0; n < array->size(); ++n) {
        const auto place = element_place(parent, n);
        const auto text = element_text((*array)[n], place, out_);
        if (!text) {
            continue;
        }
        const auto ep =
            read_endpoint(*text, address_use::one_host, place, out_);
        if (ep && std::find(all.begin(), all.end(), *ep) != all.end()) {
            report(out_, finding_code::duplicate, place, "is listed before");
        }
        all.push_back(ep.value_or(state::endpoint()));
    }
    return all;
}

std::vector<operator_credential>
settings_reader::operators(const settings_row& row)
{
    std::vector<operator_credential> all;
    auto& in = section_of(row);
    const auto* array = in.list(member_name(row), {row.min, row.max}, false);
    if (!array || array->size() > row.max) {
        return all;
    }
    const auto parent = member_place(in.place(), member_name(row));
    for (const auto& value : *array) {
        const auto place = element_place(parent, all.size());
        json_object_reader item(value, place, out_);
        operator_credential it;
        it.name = item.name("name");
        it.secret = item.text("secret", text_form::printable,
                              {min_secret_bytes, max_secret_bytes});
        item.finish();
        for (const auto& earlier : all) {
            if (!it.name.empty() && earlier.name == it.name) {
                report(out_, finding_code::duplicate,
                       member_place(place, "name"), "is listed before");
            }
            // The audit trail could not tell the two operators apart.
            if (!it.secret.empty() && earlier.secret == it.secret) {
                report(out_, finding_code::duplicate,
                       member_place(place, "secret"),
                       "is the secret of an earlier operator");
            }
        }
        all.push_back(std::move(it));
    }
    return all;
}

void settings_reader::check_distinct(const settings_row& a,
                                     const state::endpoint& first,
                                     const settings_row& b,
                                     const state::endpoint& second)
{
    const bool same_address = first.address == second.address ||
                              first.address == 0 || second.address == 0;
    if (first.port != 0 && first.port == second.port && same_address) {
        section_of(b).add(finding_code::conflict, member_name(b),
                          "overlaps with " + std::string(a.path));
    }
}

void settings_reader::finish()
{
    root_.finish();
    for (auto& it : sections_) {
        it.second.finish();
    }
}

} // namespace oriolegrade::protocol
