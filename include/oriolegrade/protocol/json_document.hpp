// JSON with comments: a bounded parser, and readers that collect every error
// of a document with its JSON pointer.

#ifndef ORIOLEGRADE_PROTOCOL_JSON_DOCUMENT_HPP
#define ORIOLEGRADE_PROTOCOL_JSON_DOCUMENT_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/result.hpp>

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::protocol {

/// Bounds of a document, checked before a tree is built.
struct json_limits
{
    std::size_t max_bytes = std::size_t{1} << 20U;
    std::size_t max_depth = 16;
    /// Objects, arrays and scalars together.
    std::size_t max_values = 100'000;
};

/// Findings of one document are cut off here, so that a hostile document
/// cannot make the report larger than itself.
inline constexpr std::size_t max_findings = 100;

/// Parses JSON with `//` and `/* */` comments. Refuses repeated keys, since
/// all but the last would be lost without notice.
state::result<boost::json::value, state::findings>
parse_json(std::string_view text, const json_limits& limits);

/// Place of a member below `parent`, as a JSON pointer (RFC 6901).
std::string member_place(std::string_view parent, std::string_view key);

/// Place of an array element below `parent`.
std::string element_place(std::string_view parent, std::size_t index);

/// Adds a finding unless max_findings is reached.
void report(state::findings& out, state::finding_code code, std::string place,
            std::string message);

/// What a text member may contain.
enum class text_form : std::uint8_t
{
    /// Letters, digits, `.`, `_`, `:` and `-`; begins with a letter or digit.
    name,
    /// Printable ASCII without spaces.
    printable,
    /// Printable ASCII with spaces.
    line,
};

/// What an address is for.
enum class address_use : std::uint8_t
{
    /// Address of a single host, which others connect to.
    one_host,
    /// Address to listen on; 0.0.0.0 stands for all addresses.
    listen,
};

/// Inclusive bounds of a number.
template <class Number>
struct bounds
{
    Number min;
    Number max;
};

/// Longest name of an entry, host, operator or data centre, in bytes.
inline constexpr std::size_t max_name_bytes = 128;

/// True for a valid name of an entry, host, operator or data centre.
bool is_name(std::string_view text);

/// Reads the members of one object. A member without a fallback is required.
/// On an error the reader records a finding and returns the fallback or a
/// default value, so that reading goes on and finds further errors.
class json_object_reader
{
public:
    /// @param place JSON pointer of `value`
    json_object_reader(const boost::json::value& value, std::string place,
                       state::findings& out);

    const std::string& place() const
    {
        return place_;
    }

    /// True when the member is present.
    bool has(std::string_view key) const;

    std::string text(std::string_view key, text_form form,
                     bounds<std::size_t> bytes,
                     const std::optional<std::string>& fallback = std::nullopt);

    std::string name(std::string_view key,
                     const std::optional<std::string>& fallback = std::nullopt);

    std::uint64_t number(std::string_view key, bounds<std::uint64_t> range,
                         std::optional<std::uint64_t> fallback = std::nullopt);

    /// @param range `min` is exclusive here: rates and costs are above it
    double real(std::string_view key, bounds<double> range,
                std::optional<double> fallback = std::nullopt);

    bool flag(std::string_view key,
              std::optional<bool> fallback = std::nullopt);

    state::endpoint
    endpoint(std::string_view key, address_use use = address_use::one_host,
             std::optional<state::endpoint> fallback = std::nullopt);

    template <class Enum>
    Enum enumerator(std::string_view key,
                    std::optional<Enum> fallback = std::nullopt)
    {
        const auto* text = text_or_null(key, !fallback);
        if (!text) {
            return fallback.value_or(Enum{});
        }
        const auto e = state::enum_from_name<Enum>(*text);
        if (!e) {
            add_unknown_name(key, *text, state::enum_names<Enum>::value.data(),
                             state::enum_size<Enum>);
        }
        return e.value_or(fallback.value_or(Enum{}));
    }

    /// Elements of an array member; null when absent or wrong.
    const boost::json::array*
    list(std::string_view key, bounds<std::size_t> size, bool required = true);

    /// Any member; null when absent.
    const boost::json::value* member(std::string_view key, bool required);

    void add(state::finding_code code, std::string_view key,
             std::string message);

    /// Reports members that nothing has asked for. Call last.
    void finish();

private:
    const std::string* text_or_null(std::string_view key, bool required);
    void add_unknown_name(std::string_view key, std::string_view found,
                          const std::string_view* names, std::size_t count);

    /// Null when the value is no object.
    const boost::json::object* object_ = nullptr;
    std::string place_;
    state::findings& out_;
    std::vector<std::string_view> known_;
    /// Storage of the text that text_or_null returned last.
    std::string text_;
};

/// Reads one array element as a string; empty when it is none.
std::optional<std::string> element_text(const boost::json::value& value,
                                        const std::string& place,
                                        state::findings& out);

/// Reads an address; reports texts that are none, and addresses that do not
/// fit their use.
std::optional<state::endpoint> read_endpoint(std::string_view text,
                                             address_use use,
                                             const std::string& place,
                                             state::findings& out);

/// JSON number; whole values without fraction or exponent.
boost::json::value json_number(double value);

} // namespace oriolegrade::protocol

#endif
