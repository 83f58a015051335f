// Administration API of an agent: HTTP/JSON for named operators.

#ifndef ORIOLEGRADE_TRANSPORT_ADMIN_API_HPP
#define ORIOLEGRADE_TRANSPORT_ADMIN_API_HPP

#include <oriolegrade/protocol/admin_json.hpp>
#include <oriolegrade/protocol/settings.hpp>
#include <oriolegrade/transport/agent_audit.hpp>
#include <oriolegrade/transport/agent_configuration.hpp>
#include <oriolegrade/transport/agent_health.hpp>
#include <oriolegrade/transport/agent_membership.hpp>
#include <oriolegrade/transport/agent_push.hpp>
#include <oriolegrade/transport/http_server.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::transport {

/// Answers the requests of one agent's administration listener.
class admin_api
{
public:
    admin_api(agent_configuration& configuration,
              const agent_membership& membership, const agent_push& push,
              const agent_health& health, agent_audit& audit,
              const protocol::agent_settings& settings);

    http_answer serve(const http_request& request);

private:
    http_answer serve_operator(const http_request& request,
                               std::string_view path,
                               const std::string& operator_name);
    http_answer serve_query(std::string_view target,
                            std::string_view path) const;
    http_answer publish(const std::string& body,
                        const std::string& operator_name);
    http_answer validate(const std::string& body);
    http_answer list_records() const;
    http_answer show_records(std::string_view kind,
                             std::string_view name) const;
    http_answer show_history(std::string_view kind,
                             std::string_view name) const;
    http_answer show_change(std::string_view id) const;
    http_answer list_hosts() const;
    http_answer list_upstreams() const;
    http_answer list_audit(std::string_view target) const;
    http_answer metrics() const;
    void audit_result(const protocol::record_result& result,
                      const std::string& operator_name);
    void audit_invalid(const state::findings& findings,
                       const std::string& operator_name);

    /// Name of the operator whose credentials the request carries.
    std::optional<std::string> authenticate(const http_request& request) const;

    agent_configuration& configuration_;
    const agent_membership& membership_;
    const agent_push& push_;
    const agent_health& health_;
    agent_audit& audit_;
    const protocol::agent_settings& settings_;
};

} // namespace oriolegrade::transport

#endif
