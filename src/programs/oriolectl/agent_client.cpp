// Requests with an operator's credentials.

#include "agent_client.hpp"

#include <oriolegrade/protocol/base64.hpp>

#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace oriolegrade::programs {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds call_limit{30};

} // namespace

agent_client::agent_client(boost::asio::io_context& ioc,
                           const state::endpoint& agent,
                           std::string operator_name, std::string secret)
    : http_(ioc, agent)
    , authorization_("Basic " + protocol::encode_base64(
                                    std::move(operator_name) + ":" + secret))
{}

std::optional<agent_answer> agent_client::get(const std::string& target)
{
    return call(transport::make_request(http::verb::get, target, {}));
}

std::optional<agent_answer> agent_client::post(const std::string& target,
                                               std::string body)
{
    return call(
        transport::make_request(http::verb::post, target, std::move(body)));
}

std::optional<agent_answer> agent_client::call(transport::http_request request)
{
    request.set(http::field::authorization, authorization_);
    const auto answer = http_.call(std::move(request), call_limit);
    if (!answer) {
        std::cerr << "no answer from the agent: " << answer.error().ec.message()
                  << '\n';
        return std::nullopt;
    }
    agent_answer result;
    result.status = answer.value().result_int();
    boost::system::error_code ec;
    result.body = boost::json::parse(answer.value().body(), ec);
    if (ec) {
        result.body = nullptr;
    }
    return result;
}

} // namespace oriolegrade::programs
