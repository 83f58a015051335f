// Conversion of configuration entries from and to protobuf.

#ifndef ORIOLEGRADE_SRC_PROTOCOL_ENTRY_MESSAGE_HPP
#define ORIOLEGRADE_SRC_PROTOCOL_ENTRY_MESSAGE_HPP

#include "message_check.hpp"

#include <oriolegrade/state/configuration.hpp>

#include <config.pb.h>

namespace oriolegrade::protocol {

void to_wire(const state::entry& from, wire::config_entry& to);

/// True when a later binary wrote the entry in a schema version that this one
/// does not know.
bool is_of_later_version(const wire::config_entry& from);

/// Reports every broken rule of an entry to `check`.
state::entry_ptr from_wire(const wire::config_entry& from,
                           const message_check& check);

} // namespace oriolegrade::protocol

#endif
