// Tables of what a peer host may send, with what is due for each row. Each runs
// with its bytes at once and apart.
//  - To a dispatcher: behind the row it serves another host, and once the peer
//    is gone no slot is lost.
//  - A call for the rules or the store, beside a stream to the dispatcher.
//  - From a dispatcher: the host's request gets its place, from another
//    dispatcher if need be, and the end of each place is reported once.

#include "fakes/dispatch_fleet.hpp"

#include <oriolegrade/protocol/source_messages.hpp>
#include <oriolegrade/transport/message_frame.hpp>
#include <oriolegrade/transport/stream_client.hpp>
#include <oriolegrade/transport/stream_server.hpp>
#include <oriolegrade/transport/tcp.hpp>

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

template <class Stream>
void feed(Stream& stream, const std::string& bytes, feeding how)
{
    // The receiver may end the stream before the last byte.
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
    sleep_for(20ms);
    // Work that a peer tells of is counted for 600 ms; place() waits longer.
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

/// Number of the request in the rows below: the first of its host.
constexpr std::uint64_t asked = 1;

struct dispatcher_case
{
    const char* name;
    /// Sent behind the request.
    std::string bytes;
    /// Upstream that the request gets.
    std::string upstream;
    /// Frames that the host sends, by name, without notices of rules, until its
    /// request has ended.
    std::vector<std::string> heard;
    /// The dispatcher resets the stream behind the bytes.
    bool resets = false;
};

std::ostream& operator<<(std::ostream& out, const dispatcher_case& it)
{
    return out << it.name;
}

std::string place(std::uint64_t number, const std::string& upstream = "u-peer")
{
    state::place it;
    it.upstream = upstream;
    it.address = {test::loopback, 1};
    it.max_connections = 1;
    return framed(protocol::encode_dispatcher_frame(
        protocol::numbered<state::place>{number, it}));
}

std::string refuse(std::uint64_t number, state::place_refusal_reason reason)
{
    return framed(protocol::encode_dispatcher_frame(
        protocol::numbered<state::place_refusal>{number, {reason, 10ms}}));
}

std::string in_line(std::uint64_t number)
{
    return framed(protocol::encode_dispatcher_frame(
        protocol::numbered<protocol::in_line>{number, {}}));
}

const std::vector<dispatcher_case>& dispatcher_cases()
{
    using reason = state::place_refusal_reason;
    static const std::vector<dispatcher_case> rows{
        {"place", place(asked), "u-peer", {"hello", "ask", "report"}},
        {"in_line_and_place",
         in_line(asked) + place(asked),
         "u-peer",
         {"hello", "ask", "report"}},
        {"place_without_request",
         place(99) + place(asked),
         "u-peer",
         {"hello", "ask", "unused", "report"}},
        {"refusal_without_request",
         refuse(99, reason::overloaded) + place(asked),
         "u-peer",
         {"hello", "ask", "unused", "report"}},
        {"second_place",
         place(asked) + place(asked, "u-other"),
         "u-peer",
         {"hello", "ask", "report"}},
        {"in_line_behind_the_place",
         place(asked) + in_line(asked),
         "u-peer",
         {"hello", "ask", "report"}},
        // The host asked elsewhere, and never reported the end of this place.
        {"stale_behind_the_place",
         place(asked) + refuse(asked, reason::stale),
         "u-peer",
         {"hello", "ask", "report"}},
        {"refusal_behind_the_place",
         place(asked) + refuse(asked, reason::overloaded),
         "u-peer",
         {"hello", "ask", "report"}},
        {"leaving",
         refuse(asked, reason::leaving),
         "u-second",
         {"hello", "ask"}},
        {"frame_above_the_limit",
         std::string("\0\1\0\1", 4),
         "u-second",
         {"hello", "ask"}},
        {"frame_that_is_no_message",
         framed("\xff\xff"),
         "u-second",
         {"hello", "ask"}},
        {"reset_within_a_frame",
         place(asked).substr(0, 7),
         "u-second",
         {"hello", "ask"},
         true},
        {"reset_within_a_length",
         std::string(2, '\0'),
         "u-second",
         {"hello", "ask"},
         true},
    };
    return rows;
}

std::string name_of(const protocol::entry_frame& it)
{
    const char* names[] = {"hello", "ask", "report", "notice"};
    const auto* report =
        std::get_if<protocol::numbered<state::send_report>>(&it);
    return report != nullptr && report->what.unused ? "unused"
                                                    : names[it.index()];
}

/// A dispatcher that sends the bytes of a row when it is asked.
class scripted_dispatcher
{
public:
    scripted_dispatcher(const state::endpoint& address,
                        const dispatcher_case& row, feeding how)
        : row_(row)
        , how_(how)
        , server_(std::move(transport::listen_on(test::fiber_context(),
                                                 transport::to_tcp(address)))
                      .value(),
                  std::string(), transport::gateway_stream_limits(),
                  [this](transport::server_stream& it) { serve(it); })
    {
        server_.start();
    }

    std::vector<std::string> heard;

private:
    void serve(transport::server_stream& stream)
    {
        (void)stream.respond(200);
        for (;;) {
            const auto bytes = transport::read_message(
                stream, protocol::max_dispatch_frame_bytes);
            if (!bytes || !bytes.value()) {
                return;
            }
            const auto it = protocol::decode_entry_frame(*bytes.value());
            const std::string name = it ? name_of(it.value()) : "not decodable";
            if (name != "notice") {
                heard.push_back(name);
            }
            if (name == "ask") {
                feed(stream, row_.bytes, how_);
            }
            if (name == "ask" && row_.resets) {
                // Until the bytes have left.
                sleep_for(20ms);
                return;
            }
        }
    }

    const dispatcher_case& row_;
    feeding how_;
    transport::stream_server server_;
};

class dispatcher_message
    : public ::testing::TestWithParam<std::tuple<dispatcher_case, feeding>>
{};

TEST_P(dispatcher_message, is_misunderstood)
{
    const auto& [row, how] = GetParam();
    auto& f = make_fleet();
    f.first().server.reset();
    {
        scripted_dispatcher peer(f.first().shared.options.self.control, row,
                                 how);
        EXPECT_EQ(upstream_of(f.entry().place()), row.upstream);
        sleep_for(50ms);
        f.entry().end(asked);
        sleep_for(50ms);
        EXPECT_EQ(peer.heard, row.heard);
    }
    // The other dispatcher holds no place for it.
    EXPECT_EQ(upstream_of(f.second().place()), "u-second");
}

INSTANTIATE_TEST_SUITE_P(
    rows, dispatcher_message,
    ::testing::Combine(::testing::ValuesIn(dispatcher_cases()),
                       ::testing::Values(feeding::at_once, feeding::apart)),
    [](const auto& it) {
        return std::string(std::get<0>(it.param).name) +
               (std::get<1>(it.param) == feeding::apart ? "_apart"
                                                        : "_at_once");
    });

struct call_case
{
    const char* name;
    std::string path;
    std::string body;
    unsigned status;
};

std::ostream& operator<<(std::ostream& out, const call_case& it)
{
    return out << it.name;
}

const std::vector<call_case>& call_cases()
{
    using transport::fleet_view_path;
    using transport::source_path;
    static const std::vector<call_case> rows{
        {"unknown_path", "/unknown", "", 404},
        {"path_behind_a_known_one", "/view/", "0", 404},
        {"path_without_end", "/" + std::string(2000, 'x'), "", 404},
        {"view", std::string(fleet_view_path), "0", 200},
        {"view_of_no_version", std::string(fleet_view_path), "", 400},
        {"view_of_a_negative_version", std::string(fleet_view_path), "-1", 400},
        {"view_of_a_long_version", std::string(fleet_view_path),
         std::string(33, '1'), 400},
        {"view_of_a_version_above_64_bits", std::string(fleet_view_path),
         "18446744073709551616", 400},
        {"source_that_is_no_message", std::string(source_path), "\xff\xff",
         400},
        {"source_above_the_limit", std::string(source_path),
         std::string(protocol::max_source_request_bytes + 1, 'x'), 503},
    };
    return rows;
}

class peer_call : public ::testing::TestWithParam<call_case>
{};

// Each row shares its connection with a stream that waits for a place.
TEST_P(peer_call, is_misunderstood)
{
    const auto& row = GetParam();
    auto& f = make_fleet();
    transport::stream_client client(test::fiber_context(),
                                    f.first().shared.options.self.control, {},
                                    transport::gateway_stream_limits());
    {
        auto opened = client.open(transport::dispatch_path, {}, 1s);
        ASSERT_TRUE(opened);
        auto& stream = opened.value();
        stream.set_deadline(transport::session_stream::time_point::max());
        feed(stream, hello() + ask(1), feeding::at_once);
        const auto got = client.call(row.path, {}, row.body, 1s);
        ASSERT_TRUE(got);
        EXPECT_EQ(got.value().status, row.status);
        std::vector<std::string> answers;
        bool ended = false;
        transport::fiber_group reader;
        reader.spawn([&] { read_answers(stream, answers, ended); });
        sleep_for(50ms);
        EXPECT_EQ(answers, std::vector<std::string>{"place"});
        EXPECT_FALSE(ended);
        stream.cancel();
        reader.join();
    }
    client.stop();
}

INSTANTIATE_TEST_SUITE_P(rows, peer_call, ::testing::ValuesIn(call_cases()),
                         [](const auto& it) {
                             return std::string(it.param.name);
                         });

} // namespace
