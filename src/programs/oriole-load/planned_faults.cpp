// Reads a plan of faults and sends it to the stand-ins.

#include "planned_faults.hpp"

#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace oriolegrade::programs {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using transport::fiber_yield;
using namespace std::chrono_literals;

/// Longest run that a plan is for; a later time is a mistake.
constexpr double longest_run_s = 24 * 3600;
/// Time for a stand-in to take a fault.
constexpr auto control_limit = 2s;

std::optional<planned_fault> parse_fault(const json::value& value,
                                         std::size_t upstreams)
{
    const auto* it = value.if_object();
    if (it == nullptr || it->size() != 3) {
        return std::nullopt;
    }
    const auto* at = it->if_contains("at_s");
    const auto* upstream = it->if_contains("upstream");
    const auto* faults = it->if_contains("faults");
    if (at == nullptr || upstream == nullptr || faults == nullptr ||
        !at->is_number() || !upstream->is_int64() || !faults->is_object()) {
        return std::nullopt;
    }
    const auto seconds = at->to_number<double>();
    const auto number = upstream->get_int64();
    if (!(seconds >= 0 && seconds <= longest_run_s) || number < 0 ||
        static_cast<std::size_t>(number) >= upstreams) {
        return std::nullopt;
    }
    return planned_fault{
        std::chrono::milliseconds(std::llround(seconds * 1000)),
        static_cast<std::size_t>(number), json::serialize(*faults)};
}

bool send_fault(asio::io_context& ioc, const state::endpoint& upstream,
                const std::string& faults)
{
    boost::beast::tcp_stream stream(ioc);
    boost::system::error_code ec;
    stream.expires_after(control_limit);
    stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::address_v4(upstream.address),
                                upstream.port),
        fiber_yield(ec));
    http::request<http::string_body> request{http::verb::post, "/control", 11,
                                             faults};
    request.set(http::field::host, "stand-in");
    request.prepare_payload();
    if (!ec) {
        http::async_write(stream, request, fiber_yield(ec));
    }
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    if (!ec) {
        http::async_read(stream, buffer, answer, fiber_yield(ec));
    }
    return !ec && answer.result() == http::status::ok;
}

} // namespace

std::optional<std::vector<planned_fault>> parse_faults(std::string_view text,
                                                       std::size_t upstreams)
{
    json::error_code ec;
    const auto value = json::parse({text.data(), text.size()}, ec);
    if (ec || !value.is_array()) {
        return std::nullopt;
    }
    std::vector<planned_fault> out;
    for (const auto& it : value.get_array()) {
        auto fault = parse_fault(it, upstreams);
        if (!fault) {
            return std::nullopt;
        }
        out.push_back(std::move(*fault));
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    return out;
}

std::vector<planned_fault>
switch_faults(asio::io_context& ioc,
              const std::vector<state::endpoint>& upstreams,
              const std::vector<planned_fault>& plan)
{
    const auto began = std::chrono::steady_clock::now();
    std::vector<planned_fault> failed;
    for (const auto& it : plan) {
        boost::this_fiber::sleep_until(began + it.at);
        if (!send_fault(ioc, upstreams.at(it.upstream), it.faults)) {
            failed.push_back(it);
        }
    }
    return failed;
}

} // namespace oriolegrade::programs
