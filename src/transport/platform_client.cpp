// Calls to the platform.

#include <oriolegrade/transport/platform_client.hpp>

#include <oriolegrade/protocol/platform_json.hpp>

#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

namespace oriolegrade::transport {

namespace http = boost::beast::http;

namespace {

/// Limit of one call, besides the time that a read may wait.
constexpr std::chrono::seconds call_limit{5};

std::string records_target(std::string_view stream)
{
    return "/v1/streams/" + std::string(stream) + "/records";
}

} // namespace

platform_client::platform_client(boost::asio::io_context& ioc,
                                 const state::endpoint& platform,
                                 state::duration wait)
    : http_(ioc, platform)
    , wait_(wait)
{}

state::append_result platform_client::append(std::string_view stream,
                                             std::string_view bytes)
{
    auto answer =
        http_.call(make_request(http::verb::post, records_target(stream),
                                std::string(bytes)),
                   call_limit);
    if (!answer) {
        if (answer.error().sent) {
            return state::append_unknown{};
        }
        return state::not_appended{};
    }
    const auto& reply = answer.value();
    // The platform refuses with 503 or 4xx before it stores anything.
    if (reply.result() == http::status::service_unavailable ||
        to_status_class(reply.result()) == http::status_class::client_error) {
        return state::not_appended{};
    }
    const auto offset = protocol::decode_append_answer(reply.body());
    if (reply.result() != http::status::ok || !offset) {
        return state::append_unknown{};
    }
    return state::appended{*offset};
}

state::read_result platform_client::read(std::string_view stream,
                                         std::uint64_t from, std::size_t max)
{
    const auto wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait_).count();
    const auto target =
        records_target(stream) + "?from=" + std::to_string(from) +
        "&max=" + std::to_string(max) + "&wait_ms=" + std::to_string(wait_ms);
    auto answer = http_.call(make_request(http::verb::get, target, {}),
                             call_limit + wait_);
    if (!answer) {
        return state::log_unavailable{};
    }
    const auto& reply = answer.value();
    if (reply.result() == http::status::gone) {
        const auto first = protocol::decode_trimmed_answer(reply.body());
        if (first) {
            return state::log_trimmed{*first};
        }
    }
    auto records = protocol::decode_read_answer(reply.body());
    if (reply.result() != http::status::ok || !records) {
        return state::log_unavailable{};
    }
    return std::move(*records);
}

state::host_list_result platform_client::hosts()
{
    auto answer =
        http_.call(make_request(http::verb::get, "/v1/hosts", {}), call_limit);
    if (!answer || answer.value().result() != http::status::ok) {
        return state::host_list_unavailable{};
    }
    auto list = protocol::decode_host_list(answer.value().body());
    if (!list) {
        return state::host_list_unavailable{};
    }
    return std::move(*list);
}

} // namespace oriolegrade::transport
