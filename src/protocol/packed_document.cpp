// Documents in a short form, by zlib.

#include <oriolegrade/protocol/packed_document.hpp>

#include <boost/endian/conversion.hpp>

#include <zlib.h>

#include <stdexcept>

namespace oriolegrade::protocol {

namespace {

constexpr std::size_t length_bytes = 4;
/// Packing takes time of a thread that also places requests; higher levels
/// take several times as long for some percent.
constexpr int level = 2;

unsigned char* bytes_of(char* text)
{
    return reinterpret_cast<unsigned char*>(text);
}

const unsigned char* bytes_of(const char* text)
{
    return reinterpret_cast<const unsigned char*>(text);
}

} // namespace

std::string pack_document(std::string_view document)
{
    auto size = compressBound(document.size());
    std::string out(length_bytes + size, '\0');
    boost::endian::store_big_u32(bytes_of(out.data()),
                                 static_cast<std::uint32_t>(document.size()));
    if (compress2(bytes_of(out.data() + length_bytes), &size,
                  bytes_of(document.data()), document.size(), level) != Z_OK) {
        throw std::runtime_error("a document cannot be packed");
    }
    out.resize(length_bytes + size);
    return out;
}

std::optional<std::string> unpack_document(std::string_view bytes,
                                           std::size_t max_bytes)
{
    if (bytes.size() < length_bytes) {
        return std::nullopt;
    }
    const auto size = boost::endian::load_big_u32(bytes_of(bytes.data()));
    if (size > max_bytes) {
        return std::nullopt;
    }
    std::string out(size, '\0');
    uLongf written = size;
    uLong read = bytes.size() - length_bytes;
    const int status =
        uncompress2(bytes_of(out.data()), &written,
                    bytes_of(bytes.data() + length_bytes), &read);
    const bool is_whole = status == Z_OK && written == size &&
                          read == bytes.size() - length_bytes;
    return is_whole ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace oriolegrade::protocol
