// Documents in a short form for the way between hosts. The form is a zlib
// stream behind the length of the document in 4 bytes.
//
// Load pattern: one host has a document that hundreds of hosts are missing.
// What names and numbers differ by is a tenth of it; the rest repeats.

#ifndef ORIOLEGRADE_PROTOCOL_PACKED_DOCUMENT_HPP
#define ORIOLEGRADE_PROTOCOL_PACKED_DOCUMENT_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oriolegrade::protocol {

std::string pack_document(std::string_view document);

/// @param max_bytes largest document
/// @return empty when the bytes are no packed document within the limit
std::optional<std::string> unpack_document(std::string_view bytes,
                                           std::size_t max_bytes);

} // namespace oriolegrade::protocol

#endif
