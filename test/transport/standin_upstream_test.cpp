// Behaviours of the upstream stand-in that proofs about the fleet rely on.

#include "fakes/own_fiber_thread.hpp"
#include "standin_process.hpp"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace {

using oriolegrade::test::standin_process;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

struct answer
{
    boost::system::error_code ec;
    http::response<http::string_body> message;
};

answer send(const standin_process& upstream, http::verb method,
            const std::string& target, const std::string& id,
            const std::string& body = {})
{
    answer out;
    asio::io_context ioc;
    boost::beast::tcp_stream stream(ioc);
    stream.connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(),
                                           upstream.port()),
                   out.ec);
    http::request<http::string_body> request{method, target, 11, body};
    request.set("X-Request-Id", id);
    request.prepare_payload();
    if (!out.ec) {
        http::write(stream, request, out.ec);
    }
    boost::beast::flat_buffer buffer;
    if (!out.ec) {
        http::response_parser<http::string_body> parser;
        http::read(stream, buffer, parser, out.ec);
        // Also what arrived before an error.
        out.message = std::move(parser.get());
    }
    return out;
}

void control(const standin_process& upstream, const std::string& faults)
{
    const auto reply = send(upstream, http::verb::post, "/control", "", faults);
    ASSERT_FALSE(reply.ec);
    ASSERT_EQ(reply.message.result_int(), 200U);
}

std::int64_t runs(const standin_process& upstream, const char* key)
{
    const auto reply = send(upstream, http::verb::get, "/control/runs", "");
    return json::parse(reply.message.body()).at(key).to_number<std::int64_t>();
}

// Guards against a stand-in that counts shed requests as run, which would
// make every honest not-run look false.
TEST(standin_upstream, shed_is_not_counted_as_run)
{
    const standin_process upstream({"upstream", "--slots=1", "--queue=1",
                                    "--queue_ms=20", "--service_ms=200"});
    ASSERT_NE(upstream.port(), 0);
    std::vector<std::thread> threads;
    threads.reserve(6);
    std::atomic<int> shed = 0;
    std::atomic<int> ran = 0;
    for (int i = 0; i < 6; ++i) {
        threads.emplace_back([&, i] {
            const auto reply = send(upstream, http::verb::post, "/x",
                                    "id-" + std::to_string(i));
            const bool is_shed = reply.message["Oriolegrade-Shed"] == "1";
            EXPECT_EQ(reply.message.result_int(), is_shed ? 503U : 200U);
            ++(is_shed ? shed : ran);
        });
    }
    for (auto& it : threads) {
        it.join();
    }
    EXPECT_GE(shed, 4);
    EXPECT_EQ(runs(upstream, "total"), ran);
    EXPECT_EQ(runs(upstream, "shed"), shed);
    control(upstream, R"({"shed_all":true})");
    EXPECT_EQ(send(upstream, http::verb::post, "/x", "late")
                  .message["Oriolegrade-Shed"],
              "1");
    EXPECT_EQ(runs(upstream, "total"), ran);
}

// Guards against truncation that a correct client would not notice, or that
// is not a truncation at all.
TEST(standin_upstream, truncation_ends_short_of_the_framing)
{
    const standin_process upstream({"upstream"});
    ASSERT_NE(upstream.port(), 0);
    for (const char* mode : {"content_length", "chunked"}) {
        control(upstream, std::string(R"({"truncate":")") + mode + "\"}");
        for (const char* target : {"/x?bytes=20000", "/x?bytes=0"}) {
            const auto reply = send(upstream, http::verb::get, target, "t");
            EXPECT_EQ(reply.ec, http::error::partial_message) << target;
            EXPECT_EQ(reply.message.body().size(),
                      target[9] == '0' ? 0U : 10'000U);
            EXPECT_EQ(reply.message.chunked(), mode[1] == 'h');
        }
    }
    control(upstream, R"({"clear":true})");
    const auto whole =
        send(upstream, http::verb::get, "/x?bytes=20000&chunked=1", "t");
    EXPECT_FALSE(whole.ec);
    EXPECT_EQ(whole.message.body().size(), 20'000U);
}

// Guards against lost answers that are not counted: repeats of such requests
// are what the duplicate check is about.
TEST(standin_upstream, closed_before_answer_is_counted_as_run)
{
    const standin_process upstream({"upstream"});
    ASSERT_NE(upstream.port(), 0);
    control(upstream, R"({"close_before_answer":true})");
    EXPECT_TRUE(send(upstream, http::verb::post, "/x", "a").ec);
    EXPECT_TRUE(send(upstream, http::verb::post, "/x", "a").ec);
    EXPECT_EQ(runs(upstream, "total"), 2);
    EXPECT_EQ(runs(upstream, "duplicates"), 1);
}

// Guards against a wish for quiet that cannot be told from an overload, or that
// has no end: a proof counts the requests that come within it.
TEST(standin_upstream, quiet_ends_by_itself)
{
    const standin_process upstream({"upstream"});
    ASSERT_NE(upstream.port(), 0);
    EXPECT_FALSE(send(upstream, http::verb::post, "/x", "before").ec);
    control(upstream, R"({"quiet_s":0.4})");
    const auto refused = send(upstream, http::verb::post, "/x", "within");
    EXPECT_EQ(refused.message.result_int(), 503U);
    EXPECT_EQ(refused.message["Oriolegrade-Shed"], "1");
    const double pause = std::strtod(
        std::string(refused.message["Retry-After"]).c_str(), nullptr);
    EXPECT_GT(pause, 0.0);
    EXPECT_LE(pause, 0.4);
    std::this_thread::sleep_for(450ms);
    const auto late = send(upstream, http::verb::post, "/x", "behind");
    EXPECT_EQ(late.message.result_int(), 200U);
    EXPECT_EQ(late.message["Retry-After"], "");
    EXPECT_EQ(runs(upstream, "in_quiet"), 1);
    EXPECT_EQ(runs(upstream, "total"), 2);
    control(upstream, R"({"quiet_s":60})");
    control(upstream, R"({"quiet_s":0})");
    EXPECT_EQ(
        send(upstream, http::verb::post, "/x", "ended").message.result_int(),
        200U);
    for (const char* value : {"-1", "3601", "1e400", "\"1\""}) {
        EXPECT_EQ(send(upstream, http::verb::post, "/control", "",
                       std::string(R"({"quiet_s":)") + value + "}")
                      .message.result_int(),
                  400U)
            << value;
    }
}

// Guards against work that nobody counts at an upstream that has said that it
// leaves.
TEST(standin_upstream, requests_are_counted_while_it_drains)
{
    const standin_process upstream({"upstream"});
    ASSERT_NE(upstream.port(), 0);
    EXPECT_FALSE(send(upstream, http::verb::post, "/x", "before").ec);
    control(upstream, R"({"drain":true})");
    for (const char* id : {"a", "b"}) {
        EXPECT_EQ(send(upstream, http::verb::post, "/x", id)
                      .message["Oriolegrade-Draining"],
                  "1");
    }
    control(upstream, R"({"clear":true})");
    EXPECT_EQ(send(upstream, http::verb::post, "/x", "behind")
                  .message["Oriolegrade-Draining"],
              "");
    EXPECT_EQ(runs(upstream, "while_draining"), 2);
    EXPECT_EQ(runs(upstream, "total"), 4);
}

/// Runs oriole-load with a plan of faults against stand-ins.
/// @return its report; null when it failed
json::value load_report(const standin_process& first,
                        const standin_process& second, const std::string& plan)
{
    const auto folder = std::filesystem::temp_directory_path() /
                        ("load-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const auto faults = folder / "faults.json";
    const auto report = folder / "report.json";
    std::ofstream(faults) << plan;
    const auto program =
        std::filesystem::read_symlink("/proc/self/exe").parent_path() /
        "oriole-load";
    const auto ports = "127.0.0.1:" + std::to_string(first.port()) +
                       ",127.0.0.1:" + std::to_string(second.port());
    const auto command =
        program.string() + " --targets=" + ports + " --upstreams=" + ports +
        " --rate=200 --duration_s=1 --settle_ms=0 --faults=" + faults.string() +
        " --report=" + report.string() + " > /dev/null 2>&1";
    const int status = std::system(command.c_str());
    std::ifstream in(report);
    std::stringstream text;
    text << in.rdbuf();
    std::filesystem::remove_all(folder);
    return status == 0 ? json::parse(text.str()) : json::value();
}

// Guards against a run that does not switch the wishes that it is about, or
// whose report hides what came within them. The load goes to the stand-ins
// directly, so nobody obeys.
TEST(standin_upstream, load_switches_wishes_and_counts_what_came_within)
{
    const standin_process first({"upstream"});
    const standin_process second({"upstream"});
    ASSERT_NE(first.port(), 0);
    ASSERT_NE(second.port(), 0);
    const auto report =
        load_report(first, second,
                    R"([{"at_s":0.6,"upstream":1,"faults":{"drain":true}},
            {"at_s":0.2,"upstream":0,"faults":{"quiet_s":0.4}}])");
    ASSERT_TRUE(report.is_object());
    const auto& audit = report.at("audit");
    // Each gets 100 requests a second.
    const auto quiet = audit.at("in_quiet").to_number<int>();
    EXPECT_GT(quiet, 10);
    EXPECT_LT(quiet, 60);
    const auto draining = audit.at("while_draining").to_number<int>();
    EXPECT_GT(draining, 10);
    EXPECT_LT(draining, 60);
    EXPECT_EQ(runs(first, "in_quiet"), quiet);
    EXPECT_EQ(runs(second, "while_draining"), draining);
    for (const char* plan :
         {"{}", R"([{"at_s":0,"upstream":2,"faults":{}}])",
          R"([{"at_s":-1,"upstream":0,"faults":{}}])",
          R"([{"at_s":0,"upstream":0,"faults":{"unknown":1}}])"}) {
        EXPECT_TRUE(load_report(first, second, plan).is_null()) << plan;
    }
}

// Guards against faults that lock the operator of a proof out, and against
// health answers that ignore the switch.
TEST(standin_upstream, control_works_under_every_fault)
{
    const standin_process upstream({"upstream", "--max_connections=1"});
    ASSERT_NE(upstream.port(), 0);
    control(upstream, R"({"reset_on_accept":true,"hang":true,"drain":true,
                          "fail_share":1,"health":"always_ok"})");
    EXPECT_TRUE(send(upstream, http::verb::get, "/x", "a").ec);
    EXPECT_EQ(runs(upstream, "total"), 0);
    control(upstream, R"({"reset_on_accept":false,"hang":false})");
    const auto reply = send(upstream, http::verb::get, "/x", "a");
    EXPECT_EQ(reply.message.result_int(), 500U);
    EXPECT_EQ(reply.message["Oriolegrade-Draining"], "1");
    EXPECT_FALSE(reply.message.keep_alive());
    EXPECT_EQ(
        send(upstream, http::verb::get, "/health", "h").message.result_int(),
        200U);
    control(upstream, R"({"health":"honest"})");
    EXPECT_EQ(
        send(upstream, http::verb::get, "/health", "h").message.result_int(),
        503U);
    EXPECT_EQ(send(upstream, http::verb::post, "/control", "", R"({"hang":1})")
                  .message.result_int(),
              400U);
}

} // namespace
