// Calls of oriolectl to the administration API.

#ifndef ORIOLEGRADE_PROGRAMS_AGENT_CLIENT_HPP
#define ORIOLEGRADE_PROGRAMS_AGENT_CLIENT_HPP

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/transport/http_client.hpp>

#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace oriolegrade::programs {

struct agent_answer
{
    unsigned status = 0;
    /// Null when the body is no JSON.
    boost::json::value body;
};

/// Client of one agent with an operator's credentials.
class agent_client
{
public:
    agent_client(boost::asio::io_context& ioc, const state::endpoint& agent,
                 std::string operator_name, std::string secret);

    /// Empty when no answer arrived; the reason is printed.
    std::optional<agent_answer> get(const std::string& target);
    std::optional<agent_answer> post(const std::string& target,
                                     std::string body);

private:
    std::optional<agent_answer> call(transport::http_request request);

    transport::http_client http_;
    std::string authorization_;
};

} // namespace oriolegrade::programs

#endif
