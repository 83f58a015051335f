// Readers of record bodies, one for each kind.

#ifndef ORIOLEGRADE_SRC_PROTOCOL_RECORD_BODY_DECODE_HPP
#define ORIOLEGRADE_SRC_PROTOCOL_RECORD_BODY_DECODE_HPP

#include <oriolegrade/protocol/json_document.hpp>
#include <oriolegrade/state/record_type.hpp>

#include <cstdint>

namespace oriolegrade::protocol {

/// @param version schema version, 1 or 2
state::service_spec read_service(json_object_reader& in, std::uint32_t version,
                                 state::findings& out);

state::route_spec read_route(json_object_reader& in, state::findings& out);

state::workspace_spec read_workspace(json_object_reader& in);

} // namespace oriolegrade::protocol

#endif
