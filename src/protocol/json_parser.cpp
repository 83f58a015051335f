// Bounded JSON parser. One pass checks syntax, size, depth and repeated keys
// without building anything; the tree is built only for a document within
// the bounds.

#include <oriolegrade/protocol/json_document.hpp>

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>

#include <set>

namespace oriolegrade::protocol {

using state::finding_code;

namespace {

boost::json::parse_options options(const json_limits& limits)
{
    boost::json::parse_options opt;
    opt.allow_comments = true;
    opt.max_depth = limits.max_depth;
    return opt;
}

/// Handler of the checking pass: counts values and tracks the keys of every
/// open object.
class document_check
{
public:
    // Bounds that the parser itself applies to one array, object or string.
    // All are covered by the size of the document.
    static constexpr std::size_t max_object_size = std::size_t(-1);
    static constexpr std::size_t max_array_size = std::size_t(-1);
    static constexpr std::size_t max_key_size = std::size_t(-1);
    static constexpr std::size_t max_string_size = std::size_t(-1);

    explicit document_check(std::size_t max_values)
        : max_values_(max_values)
    {}

    bool too_many_values() const
    {
        return values_ > max_values_;
    }
    const state::findings& found() const
    {
        return found_;
    }

    using error_code = boost::json::error_code;
    using text_view = boost::json::string_view;

    bool on_document_begin(error_code&)
    {
        return true;
    }
    bool on_document_end(error_code&)
    {
        return true;
    }
    bool on_object_begin(error_code& ec)
    {
        if (!count(ec)) {
            return false;
        }
        open_.push_back({true, 0, {}, {}});
        return true;
    }
    bool on_object_end(std::size_t, error_code&)
    {
        open_.pop_back();
        return true;
    }
    bool on_array_begin(error_code& ec)
    {
        if (!count(ec)) {
            return false;
        }
        open_.push_back({false, 0, {}, {}});
        return true;
    }
    bool on_array_end(std::size_t, error_code&)
    {
        open_.pop_back();
        return true;
    }
    bool on_key_part(text_view part, std::size_t, error_code&)
    {
        partial_key_.append(part.data(), part.size());
        return true;
    }
    bool on_key(text_view part, std::size_t, error_code&)
    {
        partial_key_.append(part.data(), part.size());
        auto& top = open_.back();
        if (!top.keys.insert(partial_key_).second) {
            report(found_, finding_code::duplicate,
                   member_place(place(), partial_key_), "is repeated");
        }
        top.key = std::move(partial_key_);
        partial_key_.clear();
        return true;
    }
    bool on_string_part(text_view, std::size_t, error_code&)
    {
        return true;
    }
    bool on_string(text_view, std::size_t, error_code& ec)
    {
        return count(ec);
    }
    bool on_number_part(text_view, error_code&)
    {
        return true;
    }
    bool on_int64(std::int64_t, text_view, error_code& ec)
    {
        return count(ec);
    }
    bool on_uint64(std::uint64_t, text_view, error_code& ec)
    {
        return count(ec);
    }
    bool on_double(double, text_view, error_code& ec)
    {
        return count(ec);
    }
    bool on_bool(bool, error_code& ec)
    {
        return count(ec);
    }
    bool on_null(error_code& ec)
    {
        return count(ec);
    }
    bool on_comment_part(text_view, error_code&)
    {
        return true;
    }
    bool on_comment(text_view, error_code&)
    {
        return true;
    }

private:
    struct container
    {
        bool is_object = false;
        /// Elements of an array so far.
        std::size_t elements = 0;
        /// Key read last.
        std::string key;
        std::set<std::string, std::less<>> keys;
    };

    bool count(error_code& ec)
    {
        if (++values_ > max_values_) {
            ec = boost::json::error::array_too_large;
            return false;
        }
        if (!open_.empty()) {
            ++open_.back().elements;
        }
        return true;
    }

    /// Place of the innermost open container.
    std::string place() const
    {
        std::string text;
        for (std::size_t n = 0; n + 1 < open_.size(); ++n) {
            const auto& it = open_[n];
            text = it.is_object ? member_place(text, it.key)
                                : element_place(text, it.elements - 1);
        }
        return text;
    }

    std::size_t max_values_;
    std::size_t values_ = 0;
    std::vector<container> open_;
    std::string partial_key_;
    state::findings found_;
};

std::string line_and_column(std::string_view text, std::size_t position)
{
    const auto before = text.substr(0, position);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto start = before.rfind('\n');
    const auto column =
        start == std::string_view::npos ? position + 1 : position - start;
    return std::to_string(line) + ":" + std::to_string(column);
}

state::findings single(finding_code code, std::string place,
                       std::string message)
{
    state::findings out;
    out.add(code, std::move(place), std::move(message));
    return out;
}

} // namespace

state::result<boost::json::value, state::findings>
parse_json(std::string_view text, const json_limits& limits)
{
    if (text.size() > limits.max_bytes) {
        return single(finding_code::too_large, "1:1",
                      "longer than " + std::to_string(limits.max_bytes) +
                          " bytes");
    }
    boost::json::basic_parser<document_check> check(options(limits),
                                                    limits.max_values);
    boost::json::error_code ec;
    const auto used = check.write_some(false, text.data(), text.size(), ec);
    if (check.handler().too_many_values()) {
        return single(finding_code::too_large, line_and_column(text, used),
                      "more than " + std::to_string(limits.max_values) +
                          " values");
    }
    if (!ec && used < text.size()) {
        ec = boost::json::error::extra_data;
    }
    if (ec) {
        return single(finding_code::syntax, line_and_column(text, used),
                      ec.message());
    }
    if (!check.handler().found().empty()) {
        return check.handler().found();
    }
    auto value = boost::json::parse(text, ec, {}, options(limits));
    if (ec) {
        return single(finding_code::syntax, "1:1", ec.message());
    }
    return value;
}

} // namespace oriolegrade::protocol
