// Guards against a request that depends on how its bytes were split.

#include "fakes/request_reader.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

namespace protocol = oriolegrade::protocol;

constexpr std::uint32_t max_head = 4096;

oriolegrade::test::read_requests parse(const std::string& text,
                                       std::size_t step)
{
    return oriolegrade::test::read_in_parts(text, step, max_head);
}

const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\n\r\n";
const std::string post = "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n"
                         "\r\nhello world";
const std::string chunked =
    "PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\nTrailer: x\r\n\r\n";

TEST(request_parser, a_split_changes_the_requests)
{
    for (const auto& text :
         {get + post + chunked + get, chunked + post, post + post + get,
          get + "\r\n" + get, get + "NONSENSE\r\n\r\n" + get,
          post + "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n"}) {
        const auto whole = parse(text, text.size());
        EXPECT_GE(whole.requests.size(), 1U);
        for (std::size_t step = 1; step < text.size(); ++step) {
            ASSERT_EQ(parse(text, step), whole) << text << step;
        }
    }
    EXPECT_EQ(parse(get + post + chunked + get, 1).requests.size(), 4U);
}

// Found by the fuzz target. A bad head that has not ended was an error when its
// bytes arrived at once, and none when they arrived apart.
TEST(request_parser, a_split_changes_the_verdict_on_an_unfinished_head)
{
    for (const std::string text :
         {"GET / HTme:1.1\r\nBad \n\r\n", "GET / HTTP/1.1\r\nBad Name: x\r\n",
          "GET / HTTP/1.1\r\nX: \x01\r\nY: z\r\n", "\x16\x03\x01", "GET",
          "\r\n", "GET / HTTP/1.1\n\nX", "NONSENSE\r\n"}) {
        const auto whole = parse(text, text.size());
        for (std::size_t step = 1; step < text.size(); ++step) {
            EXPECT_EQ(parse(text, step), whole) << text << step;
        }
    }
}

// A caller that sends no HTTP must not wait for the end of a head that never
// comes.
TEST(request_parser, a_bad_first_line_is_an_error_before_the_head_ends)
{
    EXPECT_FALSE(parse("NONSENSE\r\nHost: x\r\n", 3).error.empty());
    EXPECT_TRUE(parse("GET / HTTP/1.1\r\nHost: x\r\n", 3).error.empty());
}

// The bound holds for the head alone: a long body may follow a head just below
// it, in the same bytes.
TEST(request_parser, a_head_at_its_bound_is_read_however_it_is_split)
{
    const std::string begin = "GET / HTTP/1.1\r\nHost: x\r\nX: ";
    const std::string end = "\r\n\r\n";
    const auto head =
        begin + std::string(max_head - begin.size() - end.size(), 'x') + end;
    for (const std::size_t step : {1UL, 100UL, 2 * head.size()}) {
        EXPECT_EQ(parse(head + get, step).requests.size(), 2U) << step;
        EXPECT_FALSE(parse("G" + head + get, step).error.empty()) << step;
    }
}

// A head that is too long was refused with the same reason whatever filled it.
TEST(request_parser, a_long_target_is_taken_for_long_fields)
{
    const std::string begin = "GET /";
    const std::string end = " HTTP/1.1\r\n";
    const std::string fields = "Host: x\r\n\r\n";
    const auto line_of = [&](std::size_t n) {
        return begin + std::string(n - begin.size() - end.size(), 'a') + end +
               fields;
    };
    const std::string by_target = "by the target";
    for (const std::size_t step : {1UL, 100UL, 3UL * max_head}) {
        for (std::size_t over = 1; over < 2 * end.size(); ++over) {
            EXPECT_TRUE(parse(line_of(max_head + over), step)
                            .error.ends_with(by_target))
                << step << " " << over;
        }
        for (const auto& other :
             {line_of(max_head), line_of(max_head - 1),
              std::string(2 * max_head, 'M'),
              "GET /a HTTP/1.1" + std::string(max_head, '1') + "\r\n"}) {
            const auto error = parse(other, step).error;
            EXPECT_FALSE(error.empty()) << step;
            EXPECT_FALSE(error.ends_with(by_target)) << step;
        }
    }
}

// An empty line before a request was an error.
TEST(request_parser, empty_lines_before_a_request_are_an_error)
{
    std::string lines;
    for (std::size_t n = 0; n <= protocol::max_empty_lines; ++n) {
        const auto text = post + lines + get + lines + get;
        for (std::size_t step = 1; step <= text.size(); ++step) {
            const auto out = parse(text, step);
            EXPECT_EQ(out.requests.size(), 3U) << n << " " << step;
            EXPECT_TRUE(out.error.empty()) << n << " " << step;
        }
        lines += "\r\n";
    }
    // One more than are ignored.
    for (const auto& text :
         {post + lines + get, post + lines, post + lines.substr(2) + "\n" + get,
          post + "\n" + get, post + "\r" + get, post + "\r\n\n" + get}) {
        for (std::size_t step = 1; step <= text.size(); ++step) {
            const auto out = parse(text, step);
            EXPECT_EQ(out.requests.size(), 1U) << text << step;
            EXPECT_FALSE(out.error.empty()) << text << step;
        }
    }
}

// The bound holds for the head, however many empty lines are before it.
TEST(request_parser, empty_lines_count_for_the_bound_of_a_head)
{
    const std::string begin = "\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\nX: ";
    const std::string end = "\r\n\r\n";
    constexpr std::size_t lines = 4;
    const auto text =
        begin + std::string(max_head + lines - begin.size() - end.size(), 'x') +
        end;
    for (const std::size_t step : {1UL, 3UL, 100UL, text.size()}) {
        EXPECT_EQ(parse(text, step).requests.size(), 1U) << step;
    }
}

TEST(request_parser, bodies_are_read_by_their_framing)
{
    const auto out = parse(chunked + post, 3);
    ASSERT_EQ(out.requests.size(), 2U);
    EXPECT_EQ(out.requests[0], "PUT /c x|hello world");
    EXPECT_EQ(out.requests[1], "POST /b x|hello world");
}

// Two lengths, or a length and chunks, may end a request at two places.
TEST(request_parser, an_ambiguous_length_is_taken)
{
    for (const auto* fields :
         {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
          "Content-Length: 4\r\nContent-Length: 5\r\n",
          "Content-Length : 4\r\n", "Content-Length: +4\r\n",
          "Transfer-Encoding : chunked\r\n"}) {
        const auto out = parse("POST / HTTP/1.1\r\nHost: x\r\n" +
                                   std::string(fields) + "\r\nbody",
                               1000);
        EXPECT_TRUE(out.requests.empty()) << fields;
        EXPECT_FALSE(out.error.empty()) << fields;
    }
}

// The library's container of fields throws on a value above 65,535 bytes, which
// ended the process on a head within the operator's limit.
TEST(request_parser, a_field_above_64_kb_throws)
{
    const std::string value(70'000, 'c');
    const auto head = "GET /a HTTP/1.1\r\nHost: x\r\nCookie: " + value +
                      "\r\n" + std::string(70'000, 'n') + ": v\r\n\r\n";
    const auto out =
        oriolegrade::test::read_in_parts(head, 8192, 262'144).requests;
    ASSERT_EQ(out.size(), 1U);
    EXPECT_NE(out[0].find("|Cookie=" + value + "|"), std::string::npos);
}

// Trailers are fields too, and no part of the request that is forwarded.
TEST(request_parser, a_trailer_above_64_kb_throws)
{
    const auto text = "PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n1\r\nx\r\n0\r\nTrailer: " +
                      std::string(70'000, 't') + "\r\n\r\n";
    const auto out = parse(text + get, 8192);
    ASSERT_EQ(out.requests.size(), 2U);
    EXPECT_EQ(out.requests[0], "PUT /c x|x");
}

// The library's parser ended the process by an assertion when the last chunk,
// as the first one, came in pieces.
TEST(request_parser, an_empty_chunked_body_in_pieces_ends_the_process)
{
    const std::string text = "PUT /c HTTP/1.1\r\nHost: x\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    for (std::size_t step = 1; step < 8; ++step) {
        const auto out = parse(text + get, step);
        ASSERT_EQ(out.requests.size(), 2U) << step;
        EXPECT_EQ(out.requests[0], "PUT /c x|") << step;
    }
}

struct request_case
{
    const char* name;
    /// Bytes behind `POST / HTTP/1.1` and its line end.
    const char* bytes;
    /// Content of the body; null when the request must be an error.
    const char* body;
};

/// Framings that may end a request at two places (RFC 9112, sections 3.2, 5.1,
/// 6.1 to 6.3, 7.1 and 11.2), and the nearest ones that are sound.
const request_case framings[] = {
    {"coding_gzip", "Host: x\r\nTransfer-Encoding: gzip\r\n\r\nGET", nullptr},
    {"coding_identity", "Host: x\r\nTransfer-Encoding: identity\r\n\r\nGET",
     nullptr},
    {"coding_empty", "Host: x\r\nTransfer-Encoding:\r\n\r\nGET", nullptr},
    {"coding_unknown",
     "Host: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", nullptr},
    {"chunked_not_last",
     "Host: x\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", nullptr},
    {"chunked_twice",
     "Host: x\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
     nullptr},
    {"chunked_in_two_fields",
     "Host: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n\r\n",
     nullptr},
    {"coded_and_chunked",
     "Host: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", nullptr},
    {"coding_and_length",
     "Host: x\r\nContent-Length: 3\r\nTransfer-Encoding: gzip\r\n\r\nGET",
     nullptr},
    {"chunked_and_length",
     "Host: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
     "0\r\n\r\n",
     nullptr},
    {"chunked_in_capitals",
     "Host: x\r\nTransfer-Encoding: CHUNKED\r\n\r\n1\r\nb\r\n0\r\n\r\n", "b"},
    {"lengths_differ",
     "Host: x\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nGET", nullptr},
    {"lengths_differ_in_a_list", "Host: x\r\nContent-Length: 3, 2\r\n\r\nGET",
     nullptr},
    {"length_signed", "Host: x\r\nContent-Length: +3\r\n\r\nGET", nullptr},
    {"length_negative", "Host: x\r\nContent-Length: -3\r\n\r\nGET", nullptr},
    {"length_in_hexadecimal", "Host: x\r\nContent-Length: 0x3\r\n\r\nGET",
     nullptr},
    {"length_empty", "Host: x\r\nContent-Length:\r\n\r\nGET", nullptr},
    {"length_of_30_digits",
     "Host: x\r\nContent-Length: 100000000000000000000000000003\r\n\r\nGET",
     nullptr},
    {"length_beyond_64_bits",
     "Host: x\r\nContent-Length: 18446744073709551619\r\n\r\nGET", nullptr},
    {"length_padded", "Host: x\r\nContent-Length: \t 3 \r\n\r\nGET", "GET"},
    {"space_before_a_colon", "Host: x\r\nContent-Length : 3\r\n\r\nGET",
     nullptr},
    {"line_begins_with_a_space", " Content-Length: 3\r\nHost: x\r\n\r\nGET",
     nullptr},
    {"bare_cr_in_a_value", "Host: x\r\nX: a\rContent-Length: 3\r\n\r\nGET",
     nullptr},
    {"bare_lf_in_a_value", "Host: x\r\nX: a\nContent-Length: 3\r\n\r\nGET",
     nullptr},
    {"nul_in_a_value", "Host: x\r\nX: \x01\r\n\r\n", nullptr},
    {"no_host", "Content-Length: 3\r\n\r\nGET", nullptr},
    {"two_hosts", "Host: x\r\nHost: y\r\n\r\n", nullptr},
    {"chunk_size_signed",
     "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\nb\r\n0\r\n\r\n",
     nullptr},
    {"chunk_size_prefixed",
     "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\nb\r\n0\r\n\r\n",
     nullptr},
    {"chunk_size_beyond_64_bits",
     "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000001\r\nb\r\n"
     "0\r\n\r\n",
     nullptr},
    {"chunk_without_its_end",
     "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nbb\r\n0\r\n\r\n",
     nullptr},
    {"chunk_size_with_a_bare_lf",
     "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n1\nb\r\n0\r\n\r\n", nullptr},
    {"length_in_a_trailer",
     "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
     "Content-Length: 3\r\n\r\n",
     nullptr},
    {"chunk_extension",
     "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n1;n=v\r\nb\r\n0\r\n\r\n",
     "b"},
};

class request_framing : public ::testing::TestWithParam<request_case>
{};

// A body with an unknown coding had no end, and its bytes were run as a request
// that nobody had sent. Whoever parses it with other rules finds other
// requests.
TEST_P(request_framing, ends_a_request_at_two_places)
{
    const auto text =
        "POST / HTTP/1.1\r\n" + std::string(GetParam().bytes) + get;
    for (const std::size_t step : {1UL, 5UL, text.size()}) {
        const auto out = parse(text, step);
        if (GetParam().body == nullptr) {
            EXPECT_TRUE(out.requests.empty()) << step;
            EXPECT_FALSE(out.error.empty()) << step;
            continue;
        }
        ASSERT_EQ(out.requests.size(), 2U) << step;
        EXPECT_EQ(out.requests[0], "POST / x|" + std::string(GetParam().body));
    }
}

INSTANTIATE_TEST_SUITE_P(request_parser, request_framing,
                         ::testing::ValuesIn(framings), [](const auto& it) {
                             return std::string(it.param.name);
                         });

// HTTP/1.0 has no chunks; an older sender means the bytes as they are.
TEST(request_parser, chunks_of_http_1_0_are_taken)
{
    const auto out = parse("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n0\r\n\r\n",
                           1000);
    EXPECT_TRUE(out.requests.empty());
    EXPECT_FALSE(out.error.empty());
}

TEST(request_parser, an_endless_head_is_read_on)
{
    const auto out =
        parse("GET / HTTP/1.1\r\nX: " + std::string(2 * max_head, 'x'), 100);
    EXPECT_FALSE(out.error.empty());
}

} // namespace
