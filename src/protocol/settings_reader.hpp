// Reads settings by the rows of their table.

#ifndef ORIOLEGRADE_SRC_PROTOCOL_SETTINGS_READER_HPP
#define ORIOLEGRADE_SRC_PROTOCOL_SETTINGS_READER_HPP

#include <oriolegrade/protocol/json_document.hpp>
#include <oriolegrade/protocol/settings.hpp>

#include <map>

namespace oriolegrade::protocol {

class settings_reader
{
public:
    settings_reader(const boost::json::value& root, state::findings& out);

    std::string name(const settings_row& row);
    std::string secret(const settings_row& row);
    /// Address of either kind.
    state::endpoint endpoint(const settings_row& row);
    std::uint64_t number(const settings_row& row);
    std::chrono::milliseconds milliseconds(const settings_row& row);
    state::log_level log_level(const settings_row& row);
    std::vector<state::endpoint> addresses(const settings_row& row);
    std::vector<operator_credential> operators(const settings_row& row);

    /// Reports addresses of the same port that cannot both be listened on.
    void check_distinct(const settings_row& a, const state::endpoint& first,
                        const settings_row& b, const state::endpoint& second);

    /// Reports unknown keys. Call last.
    void finish();

private:
    /// Reader of the object that holds the member of a row.
    json_object_reader& section_of(const settings_row& row);

    json_object_reader root_;
    /// Sections by name.
    std::map<std::string_view, json_object_reader> sections_;
    state::findings& out_;
};

} // namespace oriolegrade::protocol

#endif
