// The platform stand-in's HTTP interface and its faults.

#include "platform_mode.hpp"

#include "log_store.hpp"
#include "standin_flags.hpp"

#include "../common/query.hpp"

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/protocol/platform_json.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/http_server.hpp>
#include <oriolegrade/transport/stop_signal.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_uint64(retention, 1000000,
              "records that the platform stand-in keeps per stream");

namespace oriolegrade::programs {

using namespace std::chrono_literals;
namespace http = boost::beast::http;

enum class log_fault : std::uint8_t
{
    up,
    down,
    /// Appends take effect, and their answers are lost.
    lose_answers,
    slow,
};

} // namespace oriolegrade::programs

namespace oriolegrade::state {

template <>
struct enum_names<programs::log_fault>
{
    static constexpr std::array<std::string_view, 4> value{
        "up", "down", "lose_answers", "slow"};
};

} // namespace oriolegrade::state

namespace oriolegrade::programs {

namespace {

/// Added to each call while the fault `slow` is on.
constexpr auto slow_delay = 1500ms;
constexpr std::uint64_t max_wait_ms = 30'000;
constexpr std::uint64_t max_read_records = 1000;
constexpr std::string_view streams_prefix = "/v1/streams/";
constexpr std::string_view records_suffix = "/records";

/// Stream name of a target `/v1/streams/{name}/records`, or empty.
std::string_view stream_of(std::string_view target)
{
    auto path = protocol::path_of(target);
    if (!path.starts_with(streams_prefix) || !path.ends_with(records_suffix)) {
        return {};
    }
    path.remove_prefix(streams_prefix.size());
    path.remove_suffix(std::min(path.size(), records_suffix.size()));
    return path;
}

class platform
{
public:
    explicit platform(std::size_t retention)
        : store_(retention)
    {}

    transport::http_answer serve(const transport::http_request& request)
    {
        const std::string_view target(request.target().data(),
                                      request.target().size());
        const auto path = protocol::path_of(target);
        if (path == "/control") {
            return control(request.body());
        }
        if (fault_ == log_fault::slow) {
            boost::this_fiber::sleep_for(slow_delay);
        }
        if (path == "/v1/hosts") {
            return transport::json_answer(200,
                                          protocol::encode_host_list(hosts_));
        }
        const auto stream = stream_of(target);
        if (stream.empty()) {
            return transport::json_answer(404, "{}");
        }
        if (fault_ == log_fault::down) {
            return transport::json_answer(503, "{}");
        }
        return request.method() == http::verb::post
                   ? append(stream, request.body())
                   : read(stream, target);
    }

private:
    transport::http_answer append(std::string_view stream,
                                  const std::string& bytes)
    {
        const auto offset = store_.append(stream, bytes);
        grown_.notify_all();
        if (fault_ == log_fault::lose_answers) {
            return transport::json_answer(500, "{}");
        }
        return transport::json_answer(200,
                                      protocol::encode_append_answer(offset));
    }

    transport::http_answer read(std::string_view stream,
                                std::string_view target)
    {
        const auto from = query_number(target, "from", 0);
        const auto max = std::min(query_number(target, "max", max_read_records),
                                  max_read_records);
        const auto wait =
            std::min(query_number(target, "wait_ms", 0), max_wait_ms);
        const auto limit =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
        for (;;) {
            auto result = store_.read(stream, from, max);
            if (const auto* it = std::get_if<state::log_trimmed>(&result)) {
                return transport::json_answer(
                    410, protocol::encode_trimmed_answer(it->first_offset));
            }
            const auto& records = std::get<state::log_records>(result);
            if (!records.records.empty() || !wait_until(limit)) {
                return transport::json_answer(
                    200, protocol::encode_read_answer(
                             store_.first_offset(stream), records));
            }
            if (fault_ == log_fault::down) {
                return transport::json_answer(503, "{}");
            }
        }
    }

    /// Waits for an append; false when the time is up.
    bool wait_until(std::chrono::steady_clock::time_point limit)
    {
        std::unique_lock lock(mutex_);
        return grown_.wait_until(lock, limit) ==
               boost::fibers::cv_status::no_timeout;
    }

    transport::http_answer control(const std::string& body)
    {
        boost::system::error_code ec;
        const auto value = boost::json::parse(body, ec);
        if (ec || !value.is_object()) {
            return transport::json_answer(400, "{}");
        }
        const auto& object = value.get_object();
        if (const auto* it = object.if_contains("log")) {
            const auto fault =
                it->is_string()
                    ? state::enum_from_name<log_fault>(it->get_string())
                    : std::nullopt;
            if (!fault) {
                return transport::json_answer(400, "{}");
            }
            fault_ = *fault;
            grown_.notify_all();
        }
        if (object.if_contains("hosts")) {
            auto list = protocol::decode_host_list(body);
            if (!list) {
                return transport::json_answer(400, "{}");
            }
            hosts_ = std::move(*list);
        }
        return transport::json_answer(
            200, boost::json::serialize(
                     boost::json::object{{"appends", store_.appends()}}));
    }

    log_store store_;
    state::host_list hosts_;
    log_fault fault_ = log_fault::up;
    boost::fibers::mutex mutex_;
    /// Notified on each append and each change of the fault.
    boost::fibers::condition_variable grown_;
};

} // namespace

int run_platform()
{
    const auto address = state::endpoint_from_string(FLAGS_listen);
    if (!address) {
        std::cerr << "--listen needs ip:port with a port above 0\n";
        return 2;
    }
    transport::run_fibers([&](boost::asio::io_context& ioc) {
        platform service(FLAGS_retention);
        transport::http_server server(
            ioc, *address, [&](const transport::http_request& request) {
                return service.serve(request);
            });
        std::cout << "listening " << to_string(server.address()) << std::endl;
        transport::stop_signal(ioc).wait();
        server.close();
        transport::exit_process(0);
    });
    return 0;
}

} // namespace oriolegrade::programs
