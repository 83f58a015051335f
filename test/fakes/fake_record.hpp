// Workspace records with a plain-text codec, for tests of decisions that must
// not depend on JSON.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_RECORD_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_RECORD_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/record_type.hpp>
#include <oriolegrade/state/result.hpp>

#include <sstream>
#include <string>
#include <string_view>

namespace oriolegrade::fakes {

inline state::record workspace_record(std::string name, std::uint64_t base,
                                      std::uint64_t id,
                                      std::string operator_name,
                                      std::uint32_t version = 1)
{
    state::record rec;
    rec.key = {state::record_kind::workspace, std::move(name), version};
    rec.base_revision = base;
    rec.change_id = {7, id};
    rec.operator_name = std::move(operator_name);
    rec.body = state::workspace_spec{1, static_cast<std::uint32_t>(id), 1};
    return rec;
}

inline std::string encode(const state::record& rec)
{
    std::ostringstream out;
    out << rec.key.name << ' ' << rec.key.schema_version << ' '
        << rec.base_revision << ' ' << rec.change_id.low << ' '
        << rec.operator_name;
    return out.str();
}

/// Decoder of a binary that knows the schema versions up to `max_version`.
struct fake_decoder
{
    std::uint32_t max_version = 1;

    state::result<state::record, state::findings>
    operator()(std::string_view bytes) const
    {
        std::istringstream in{std::string(bytes)};
        std::string name;
        std::string author;
        std::uint32_t version = 0;
        std::uint64_t base = 0;
        std::uint64_t id = 0;
        state::findings out;
        if (!(in >> name >> version >> base >> id >> author)) {
            out.add(state::finding_code::syntax, "1:1", "no record");
            return out;
        }
        if (version > max_version) {
            out.add(state::finding_code::unknown_schema_version,
                    "/schema_version", "unknown");
            return out;
        }
        return workspace_record(name, base, id, author, version);
    }
};

} // namespace oriolegrade::fakes

#endif
