// Bytes of a request head. The library's container of fields holds no value
// above 65,535 bytes, while the bound of a head is the operator's.

#ifndef ORIOLEGRADE_PROTOCOL_REQUEST_ENCODER_HPP
#define ORIOLEGRADE_PROTOCOL_REQUEST_ENCODER_HPP

#include <oriolegrade/protocol/http_head.hpp>

#include <string>

namespace oriolegrade::protocol {

/// First line, fields and framing, up to the first byte of the body.
/// @param head its fields hold the Host field, if one is sent
std::string encode_head(const request_head& head);

} // namespace oriolegrade::protocol

#endif
