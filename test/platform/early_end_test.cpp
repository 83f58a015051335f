// Answers without a length or chunks, which are whole only when their upstream
// ends the connection in order. One that is cut while its request is being
// written must not reach the caller as a whole answer: the error of the
// connection may have been told to the write, and the read then sees an end.

#include "fakes/early_upstream.hpp"
#include "fakes/gateway_bench.hpp"

#include <gtest/gtest.h>

#include <ostream>
#include <tuple>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using test::connection_end;
using test::early_upstream;
using test::fake_caller;
using test::make_bench;

constexpr std::string_view unframed_head =
    "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nRequest-Id: q\r\n\r\n";
/// Kept whole for a retry, and above what is kept.
constexpr std::size_t small_upload = 60'000;
constexpr std::size_t large_upload = 4'000'000;
/// Held back by the host, and above what it holds back.
constexpr std::size_t short_part = 18;
constexpr std::size_t long_part = 200'000;

const char* name_of(connection_end it)
{
    switch (it) {
    case connection_end::reset:
        return "reset";
    case connection_end::closed:
        return "closed";
    case connection_end::silent:
        break;
    }
    return "silent";
}

std::string upload_head(std::size_t bytes, const char* version)
{
    return std::string("POST /book/1 ") + version +
           "\r\nHost: x\r\nRequest-Id: q\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n";
}

/// @return true when the caller takes the answer for a whole success
bool looks_whole(fake_caller& caller)
{
    transport::error_code ec;
    const auto got = caller.receive(ec);
    return !ec && got.result_int() < 400;
}

using cut_case =
    std::tuple<connection_end, std::size_t, std::size_t, const char*>;

std::string name_of(const cut_case& it)
{
    const auto& [end, upload, part, version] = it;
    std::string out = name_of(end);
    out += upload == small_upload ? "_small_upload" : "_large_upload";
    out += part == short_part ? "_short_part" : "_long_part";
    out += version == std::string("HTTP/1.0") ? "_http_1_0" : "_http_1_1";
    return out;
}

class cut_answer : public ::testing::TestWithParam<cut_case>
{};

TEST_P(cut_answer, looks_whole)
{
    const auto [end, upload, part, version] = GetParam();
    // An orderly end behind a request that was written is the end of a whole
    // answer.
    const bool is_whole =
        end == connection_end::closed && upload == small_upload;
    auto& b = make_bench();
    static std::vector<std::unique_ptr<early_upstream>> upstreams;
    upstreams.push_back(std::make_unique<early_upstream>(
        b.ioc, std::string(unframed_head) + std::string(part, 'a'), end));
    b.places.answers.push_back(
        state::place{"u1", upstreams.back()->address(), 10, {}, 1});
    fake_caller caller(b.ioc, b.worker.address());
    bool sent = false;
    boost::fibers::fiber sender([&] {
        caller.send(upload_head(upload, version) + std::string(upload, 'b'));
        sent = true;
    });
    EXPECT_EQ(looks_whole(caller), is_whole);
    caller.close();
    sender.join();
    EXPECT_TRUE(sent);
}

INSTANTIATE_TEST_SUITE_P(
    gateway_worker, cut_answer,
    ::testing::Combine(::testing::Values(connection_end::reset,
                                         connection_end::closed,
                                         connection_end::silent),
                       ::testing::Values(small_upload, large_upload),
                       ::testing::Values(short_part, long_part),
                       ::testing::Values("HTTP/1.1", "HTTP/1.0")),
    [](const auto& it) { return name_of(it.param); });

// The end of the stop cuts an answer that its upstream still sends.
TEST(stopping_host, passes_on_a_cut_answer_as_whole)
{
    auto& b = make_bench();
    b.place_at(b.first, "u1");
    test::upstream_step step{std::string(unframed_head)};
    step.endless = std::string(long_part, 'a');
    b.first.add(step);
    fake_caller caller(b.ioc, b.worker.address());
    caller.send(test::slow_book());
    test::begin_stop(b, &coordination::drain_schedule::run_end, 200ms);
    b.worker.drain();
    EXPECT_FALSE(looks_whole(caller));
}

} // namespace
