// Head of an HTTP request or answer, independent of the library that read it
// and of the connection that carries it.

#ifndef ORIOLEGRADE_PROTOCOL_HTTP_HEAD_HPP
#define ORIOLEGRADE_PROTOCOL_HTTP_HEAD_HPP

#include <oriolegrade/protocol/header_field.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::protocol {

struct http_field
{
    std::string name;
    std::string value;
};

/// Header fields in their order. Holds neither hop-by-hop fields nor the
/// framing fields Content-Length and Transfer-Encoding.
class http_fields
{
public:
    void add(std::string_view name, std::string_view value);
    void set(header_field field, std::string_view value);
    void set(std::string_view name, std::string_view value);
    /// Removes all fields of that name.
    /// @return their value; empty when there is none, or when they differ
    std::optional<std::string> take(std::string_view name);
    /// Removes the fields whose names a list separated by commas contains, as
    /// the value of a Connection field does.
    void remove_listed(std::string_view names);

    /// Value of the first field of that name, ignoring case; or empty.
    std::optional<std::string_view> find(std::string_view name) const;
    std::optional<std::string_view> find(header_field field) const;

    auto begin() const
    {
        return fields_.begin();
    }
    auto end() const
    {
        return fields_.end();
    }

private:
    std::vector<http_field> fields_;
};

/// How the length of a body is known.
struct body_framing
{
    bool chunked = false;
    /// Bytes; empty for a chunked body and for one that ends with the
    /// connection.
    std::optional<std::uint64_t> length;
};

struct request_head
{
    std::string method;
    std::string target;
    /// Value of the Host field; kept apart because it names the front end.
    std::string host = {};
    http_fields fields;
    body_framing framing;

    bool has_body() const
    {
        return framing.chunked || framing.length.value_or(0) > 0;
    }
};

struct answer_head
{
    std::uint16_t status = 0;
    http_fields fields;
    body_framing framing;
};

/// Version as two digits, as the library has it.
inline constexpr unsigned http_1_0 = 10;
inline constexpr unsigned http_1_1 = 11;

/// False for a transfer coding that leaves the end of a body unknown, or the
/// body coded: any but `chunked`, and all in HTTP/1.0, which has none (RFC
/// 9112, section 6.1). A body whose end is unknown would be read as the next
/// message.
bool is_known_coding(std::string_view coding, unsigned version);

/// Path of a request target, without the query.
std::string_view path_of(std::string_view target);

/// True when two field names are equal, ignoring case.
bool same_field_name(std::string_view a, std::string_view b);

/// Decimal number without sign; empty for any other text or on overflow.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace oriolegrade::protocol

#endif
