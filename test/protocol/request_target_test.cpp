// Guards against targets in absolute form that are routed or forwarded as
// something else than their origin form.

#include <oriolegrade/protocol/request_target.hpp>

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace {

using oriolegrade::protocol::request_head;
using oriolegrade::protocol::to_origin_form;

struct target_case
{
    const char* name;
    std::string target;
    /// Empty for a target that is refused.
    std::string origin;
    std::string host = "x";
    std::string method = "GET";
};

std::ostream& operator<<(std::ostream& out, const target_case& it)
{
    return out << it.name;
}

/// The Host field of each request; the host of targets without authority.
const std::string field = "field";

const target_case targets[] = {
    {"origin_form", "/a?b", "/a?b", field},
    {"two_slashes", "//y/a", "//y/a", field},
    {"asterisk", "*", "*", field, "OPTIONS"},
    {"no_slash", "a/b", "a/b", field},
    {"empty_target", "", "", field},
    {"scheme_inside_a_path", "/http://x/a", "/http://x/a", field},
    {"other_scheme", "ftp://x/a", "ftp://x/a", field},
    {"longer_scheme", "httpss://x/a", "httpss://x/a", field},
    {"scheme_without_slashes", "http:/x/a", "http:/x/a", field},
    {"connect_to_an_authority", "x:443", "x:443", field, "CONNECT"},
    {"connect_to_an_absolute_form", "http://x/a", "http://x/a", field,
     "CONNECT"},
    {"path", "http://x/a/b", "/a/b"},
    {"https", "https://x/a", "/a"},
    {"mixed_case_scheme", "hTTpS://X/A", "/A", "X"},
    {"empty_path", "http://x", "/"},
    {"slash_alone", "http://x/", "/"},
    {"empty_path_of_options", "http://x", "*", "x", "OPTIONS"},
    {"slash_of_options", "http://x/", "/", "x", "OPTIONS"},
    {"query_of_options", "http://x?a", "/?a", "x", "OPTIONS"},
    {"query_without_path", "http://x?a=/b", "/?a=/b"},
    {"empty_query", "http://x?", "/?"},
    {"two_slashes_behind_the_authority", "http://x//a", "//a"},
    {"dots_and_escapes", "http://x/a/../%2F?%00", "/a/../%2F?%00"},
    {"absolute_form_in_query", "http://x/a?http://y/b", "/a?http://y/b"},
    {"at_sign_in_path", "http://x/a@y", "/a@y"},
    {"port", "http://x:8080/a", "/a", "x:8080"},
    {"empty_port", "http://x:/a", "/a", "x:"},
    {"port_below_the_limit", "http://x:65534/a", "/a", "x:65534"},
    {"port_at_the_limit", "http://x:65535/a", "/a", "x:65535"},
    {"port_above_the_limit", "http://x:65536/a", ""},
    {"port_beyond_64_bits", "http://x:99999999999999999999/a", ""},
    {"port_that_is_no_number", "http://x:8a/a", ""},
    {"port_with_sign", "http://x:+80/a", ""},
    {"two_ports", "http://x:1:2/a", ""},
    {"ipv4", "http://127.0.0.1/a", "/a", "127.0.0.1"},
    {"ipv6", "http://[::1]:80/a", "/a", "[::1]:80"},
    {"ipv6_without_end", "http://[::1/a", ""},
    {"empty_brackets", "http://[]/a", ""},
    {"name_in_brackets", "http://[x]/a", ""},
    {"text_behind_brackets", "http://[::1]x/a", ""},
    {"escape_in_name", "http://x%2Dy/a", "/a", "x%2Dy"},
    {"escape_cut", "http://x%2/a", ""},
    {"escape_that_is_no_number", "http://x%2g/a", ""},
    {"no_authority", "http:///a", ""},
    {"no_authority_and_no_path", "http://", ""},
    {"no_authority_before_a_query", "http://?a", ""},
    {"port_without_name", "http://:80/a", ""},
    {"userinfo", "http://u@x/a", ""},
    {"userinfo_with_password", "http://u:p@x/a", ""},
    {"empty_userinfo", "http://@x/a", ""},
    {"backslash_in_name", "http://x\\y/a", ""},
    {"fragment_without_path", "http://x#a", ""},
    {"control_character_in_name", "http://x\x7f/a", ""},
};

class request_target : public ::testing::TestWithParam<target_case>
{};

TEST_P(request_target, reaches_another_route)
{
    const auto& row = GetParam();
    request_head head;
    head.method = row.method;
    head.target = row.target;
    head.host = field;
    const bool refused = row.origin.empty() && !row.target.empty();
    EXPECT_EQ(to_origin_form(head), !refused);
    EXPECT_EQ(head.target, refused ? row.target : row.origin);
    EXPECT_EQ(head.host, refused ? field : row.host);
    // The origin form stays as it is.
    if (!refused) {
        const auto target = head.target;
        EXPECT_TRUE(to_origin_form(head));
        EXPECT_EQ(head.target, target);
    }
}

INSTANTIATE_TEST_SUITE_P(request_target, request_target,
                         ::testing::ValuesIn(targets), [](const auto& it) {
                             return std::string(it.param.name);
                         });

} // namespace
