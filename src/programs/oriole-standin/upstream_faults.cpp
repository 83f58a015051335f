// JSON form of the upstream's faults.

#include "upstream_faults.hpp"

#include <boost/json.hpp>

#include <optional>

namespace oriolegrade::programs {

namespace {

namespace json = boost::json;

bool read(const json::value& v, bool& out)
{
    if (!v.is_bool()) {
        return false;
    }
    out = v.get_bool();
    return true;
}

bool read(const json::value& v, double& out)
{
    if (!v.is_number()) {
        return false;
    }
    out = v.to_number<double>();
    return out >= 0;
}

bool read(const json::value& v, std::string& out)
{
    if (!v.is_string()) {
        return false;
    }
    out = v.get_string().c_str();
    return true;
}

template <class Enum>
bool read(const json::value& v, Enum& out)
{
    if (!v.is_string()) {
        return false;
    }
    const auto found = state::enum_from_name<Enum>(
        std::string_view(v.get_string().data(), v.get_string().size()));
    if (found) {
        out = *found;
    }
    return found.has_value();
}

/// Calls `visit(key, member)` for each fault until it returns true.
template <class Faults, class Visitor>
bool visit_fields(Faults& f, Visitor visit)
{
    return visit("fail_share", f.fail_share) ||
           visit("fail_method", f.fail_method) ||
           visit("fail_path_prefix", f.fail_path_prefix) ||
           visit("slow_factor", f.slow_factor) || visit("hang", f.hang) ||
           visit("truncate", f.truncate) ||
           visit("close_before_answer", f.close_before_answer) ||
           visit("reset_on_accept", f.reset_on_accept) ||
           visit("drain", f.drain) || visit("quiet_s", f.quiet_s) ||
           visit("shed_all", f.shed_all) || visit("health", f.health);
}

json::value write(bool v)
{
    return v;
}

json::value write(double v)
{
    return v;
}

json::value write(const std::string& v)
{
    return json::value(v);
}

template <class Enum>
json::value write(Enum v)
{
    return json::value(
        json::string_view(state::name_of(v).data(), state::name_of(v).size()));
}

} // namespace

std::string apply_faults(std::string_view text, upstream_faults& faults)
{
    json::error_code ec;
    const auto parsed = json::parse({text.data(), text.size()}, ec);
    if (ec || !parsed.is_object()) {
        return "expected a JSON object";
    }
    auto changed = faults;
    bool clear = false;
    if (const auto* v = parsed.get_object().if_contains("clear")) {
        if (!read(*v, clear)) {
            return "wrong value for clear";
        }
        changed = clear ? upstream_faults{} : changed;
    }
    for (const auto& pair : parsed.get_object()) {
        const auto key = pair.key();
        bool valid = key == "clear";
        const bool known =
            valid || visit_fields(changed, [&](const char* name, auto& member) {
                if (key != name) {
                    return false;
                }
                valid = read(pair.value(), member);
                return true;
            });
        if (!known || !valid) {
            return (known ? "wrong value for " : "unknown key ") +
                   std::string(key.data(), key.size());
        }
    }
    if (changed.quiet_s > longest_quiet_s) {
        return "wrong value for quiet_s";
    }
    faults = changed;
    return {};
}

std::string to_json(const upstream_faults& faults)
{
    json::object out;
    visit_fields(faults, [&](const char* name, const auto& member) {
        out[name] = write(member);
        return false;
    });
    return json::serialize(out);
}

} // namespace oriolegrade::programs
