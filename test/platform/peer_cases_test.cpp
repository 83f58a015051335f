// Table of what a peer host may send to a dispatcher, with what is due for each
// row. Each runs with its bytes at once and apart. Behind it the dispatcher
// serves another host, and once the peer is gone no slot is lost.

#include "fakes/dispatch_fleet.hpp"

#include <oriolegrade/transport/message_frame.hpp>
#include <oriolegrade/transport/stream_client.hpp>

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <tuple>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using boost::this_fiber::sleep_for;
using test::make_fleet;
using test::upstream_of;
using transport::framed;

enum class feeding : std::uint8_t
{
    at_once,
    apart,
};

/// What becomes of the peer's stream.
enum class then : std::uint8_t
{
    stays,
    /// The dispatcher ends it.
    ends,
    /// The peer resets it behind the bytes.
    reset_by_peer,
};

struct peer_case
{
    const char* name;
    std::string bytes;
    /// Frames that the dispatcher sends, by name, without notices of rules.
    std::vector<std::string> answers;
    then after = then::stays;
    /// The only slot is taken while the stream stays.
    bool takes_slot = false;
};

std::ostream& operator<<(std::ostream& out, const peer_case& it)
{
    return out << it.name;
}

std::string frame(const protocol::entry_frame& it)
{
    return framed(protocol::encode_entry_frame(it));
}

std::string hello(std::vector<protocol::adopted_work> in_flight = {})
{
    return frame(protocol::entry_hello{"peer", "dc1", std::move(in_flight)});
}

std::string ask(std::uint64_t number)
{
    state::place_request request;
    request.service = "s";
    request.route = "r";
    request.time_left = 5s;
    request.target_left = 5s;
    return frame(protocol::numbered<state::place_request>{number, request});
}

std::string report(std::uint64_t number)
{
    return frame(protocol::numbered<state::send_report>{
        number, {state::send_result::answered, 10ms, {}}});
}

const std::vector<peer_case>& peer_cases()
{
    static const std::vector<peer_case> rows{
        {"a_request", hello() + ask(1), {"place"}, then::stays, true},
        {"a_request_and_its_report", hello() + ask(1) + report(1), {"place"}},
        {"a_request_before_the_hello", ask(1), {"place"}, then::stays, true},
        {"report_without_request", hello() + report(7), {}},
        {"report_twice",
         hello() + ask(1) + report(1) + report(1) + ask(2),
         {"place", "place"},
         then::stays,
         true},
        // Nobody could report the end of the first of them.
        {"number_in_use",
         hello() + ask(1) + ask(1),
         {"place"},
         then::stays,
         true},
        {"number_used_again",
         hello() + ask(1) + report(1) + ask(1),
         {"place", "place"},
         then::stays,
         true},
        {"work_at_an_unknown_upstream", hello({{"s", "u-unknown", 3}}), {}},
        {"work_of_an_unknown_service", hello({{"t", "u-first", 3}}), {}},
        {"work_without_end",
         hello({{"s", "u-first", 0xffffffffU}, {"s", "u-first", 1}}),
         {},
         then::stays,
         true},
        {"frame_above_the_limit",
         hello() + std::string("\0\1\0\1", 4) + std::string(70'000, 'x'),
         {},
         then::ends},
        {"frame_without_end",
         hello() + std::string("\xff\xff\xff\xff", 4),
         {},
         then::ends},
        {"frame_that_is_no_message",
         hello() + framed("\xff\xff"),
         {},
         then::ends},
        {"frame_without_content", hello() + framed(""), {}, then::ends},
        {"reset_within_a_frame",
         hello() + ask(1) + ask(2).substr(0, 9),
         {"place"},
         then::reset_by_peer},
        {"reset_within_a_length",
         hello() + std::string(2, '\0'),
         {},
         then::reset_by_peer},
    };
    return rows;
}

/// Reads frames until the dispatcher ends the stream.
void read_answers(transport::client_stream& stream,
                  std::vector<std::string>& out, bool& ended)
{
    const char* names[] = {"place", "place_refusal", "in_line", "notice"};
    for (;;) {
        const auto bytes =
            transport::read_message(stream, protocol::max_dispatch_frame_bytes);
        if (!bytes || !bytes.value()) {
            ended = true;
            return;
        }
        const auto it = protocol::decode_dispatcher_frame(*bytes.value());
        const std::string name =
            it ? names[it.value().index()] : "not decodable";
        if (name != "notice") {
            out.push_back(name);
        }
    }
}

void feed(transport::client_stream& stream, const std::string& bytes,
          feeding how)
{
    // The dispatcher may end the stream before the last byte.
    const auto step = how == feeding::apart && bytes.size() < 1000
                          ? std::size_t{1}
                          : bytes.size();
    for (std::size_t n = 0; n < bytes.size(); n += step) {
        if (!stream.write_all(boost::asio::buffer(&bytes[n], step))) {
            return;
        }
        if (step == 1) {
            boost::this_fiber::yield();
        }
    }
}

class peer_message
    : public ::testing::TestWithParam<std::tuple<peer_case, feeding>>
{};

TEST_P(peer_message, is_misunderstood)
{
    const auto& [row, how] = GetParam();
    auto& f = make_fleet();
    std::vector<std::string> answers;
    bool ended = false;
    transport::stream_client client(test::fiber_context(),
                                    f.first().shared.options.self.control, {},
                                    transport::gateway_stream_limits());
    {
        auto opened = client.open(transport::dispatch_path, {}, 1s);
        ASSERT_TRUE(opened);
        auto& stream = opened.value();
        ASSERT_TRUE(stream.status());
        stream.set_deadline(transport::session_stream::time_point::max());
        transport::fiber_group reader;
        reader.spawn([&] { read_answers(stream, answers, ended); });
        feed(stream, row.bytes, how);
        sleep_for(50ms);
        EXPECT_EQ(answers, row.answers);
        EXPECT_EQ(ended, row.after == then::ends);
        if (row.after == then::reset_by_peer) {
            stream.cancel();
            sleep_for(20ms);
        }
        const auto other = f.entry().ask();
        const auto until = std::chrono::steady_clock::now() + 1s;
        sleep_for(50ms);
        while (!row.takes_slot && !*other &&
               std::chrono::steady_clock::now() < until) {
            sleep_for(5ms);
        }
        EXPECT_EQ(upstream_of(*other), row.takes_slot ? "" : "u-first");
        f.entry().end(f.entry().last);
        stream.cancel();
        reader.join();
    }
    client.stop();
    // Work that a peer tells of is counted for a time.
    sleep_for(20ms + coordination::external_load_time);
    EXPECT_EQ(upstream_of(f.entry().place()), "u-first");
    f.entry().end(f.entry().last);
}

INSTANTIATE_TEST_SUITE_P(rows, peer_message,
                         ::testing::Combine(::testing::ValuesIn(peer_cases()),
                                            ::testing::Values(feeding::at_once,
                                                              feeding::apart)),
                         [](const auto& it) {
                             return std::string(std::get<0>(it.param).name) +
                                    (std::get<1>(it.param) == feeding::apart
                                         ? "_apart"
                                         : "_at_once");
                         });

} // namespace
