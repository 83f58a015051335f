// Dispatch and answers of the administration API.

#include <oriolegrade/transport/admin_api.hpp>

#include <oriolegrade/protocol/admin_json.hpp>
#include <oriolegrade/protocol/base64.hpp>
#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/protocol/record_json.hpp>
#include <oriolegrade/transport/beast_view.hpp>

#include <openssl/crypto.h>

#include <algorithm>

namespace oriolegrade::transport {

namespace http = boost::beast::http;

namespace {

using coordination::publish_outcome;

/// Compares without telling by its duration where the texts differ.
bool same_secret(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

/// Worst result first: a caller must not take part of a file for all.
unsigned status_of(const std::vector<protocol::record_result>& results)
{
    const auto any = [&](publish_outcome outcome) {
        return std::any_of(results.begin(), results.end(), [&](const auto& it) {
            return it.published->outcome == outcome;
        });
    };
    if (any(publish_outcome::unresolved)) {
        return 202;
    }
    if (any(publish_outcome::not_published)) {
        return 503;
    }
    return any(publish_outcome::refused) ? 409 : 200;
}

/// Kind and name that the end of a path gives.
struct path_name
{
    std::string_view kind;
    std::string_view name;
};

/// Parts of a path `prefix` + `kind/name`; empty for any other.
std::optional<path_name> named_below(std::string_view path,
                                     std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return std::nullopt;
    }
    const auto rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    return path_name{rest.substr(0, slash), rest.substr(slash + 1)};
}

} // namespace

admin_api::admin_api(agent_configuration& configuration,
                     const agent_membership& membership, const agent_push& push,
                     const agent_health& health, agent_audit& audit,
                     const protocol::agent_settings& settings)
    : configuration_(configuration)
    , membership_(membership)
    , push_(push)
    , health_(health)
    , audit_(audit)
    , settings_(settings)
{}

http_answer admin_api::serve(const http_request& request)
{
    const auto path = protocol::path_of(to_view(request.target()));
    if (path == "/healthz") {
        return text_answer(200, "ok\n");
    }
    if (path == "/readyz") {
        const bool ready = configuration_.ready();
        return text_answer(ready ? 200 : 503, ready ? "ready\n" : "starting\n");
    }
    if (path == "/metrics") {
        return metrics();
    }
    const auto operator_name = authenticate(request);
    if (!operator_name) {
        audit_.add_denied(std::string(path), "listener=admin");
        auto answer = json_answer(
            401, protocol::encode_error("operator name or secret is wrong"));
        answer.set(http::field::www_authenticate, "Basic");
        return answer;
    }
    return serve_operator(request, path, *operator_name);
}

http_answer admin_api::serve_operator(const http_request& request,
                                      std::string_view path,
                                      const std::string& operator_name)
{
    if (request.method() != http::verb::post) {
        return serve_query(to_view(request.target()), path);
    }
    if (path == "/v1/records") {
        return publish(request.body(), operator_name);
    }
    if (path == "/v1/validate") {
        return validate(request.body());
    }
    return json_answer(404, protocol::encode_error("no such resource"));
}

http_answer admin_api::serve_query(std::string_view target,
                                   std::string_view path) const
{
    constexpr std::string_view changes = "/v1/changes/";
    if (path == "/v1/records") {
        return list_records();
    }
    if (path == "/v1/services") {
        return list_upstreams();
    }
    if (path == "/v1/hosts") {
        return list_hosts();
    }
    if (path == "/v1/audit") {
        return list_audit(target);
    }
    if (path.starts_with(changes)) {
        return show_change(path.substr(changes.size()));
    }
    if (const auto name = named_below(path, "/v1/records/")) {
        return show_records(name->kind, name->name);
    }
    if (const auto name = named_below(path, "/v1/history/")) {
        return show_history(name->kind, name->name);
    }
    return json_answer(404, protocol::encode_error("no such resource"));
}

http_answer admin_api::publish(const std::string& body,
                               const std::string& operator_name)
{
    auto records = protocol::decode_record_file(body);
    if (!records) {
        audit_invalid(records.error(), operator_name);
        return json_answer(400, protocol::encode_findings(records.error()));
    }
    std::vector<protocol::record_result> results;
    for (auto& it : records.value()) {
        if (!it.change_id) {
            it.change_id = state::random_identifier();
        }
        it.operator_name = operator_name;
        results.push_back({it.key, it.change_id, configuration_.publish(it)});
        audit_result(results.back(), operator_name);
    }
    return json_answer(status_of(results), protocol::encode_results(results));
}

http_answer admin_api::validate(const std::string& body)
{
    const auto records = protocol::decode_record_file(body);
    if (!records) {
        return json_answer(400, protocol::encode_findings(records.error()));
    }
    std::vector<protocol::record_result> results;
    for (const auto& it : records.value()) {
        results.push_back({it.key, it.change_id, std::nullopt});
    }
    return json_answer(200, protocol::encode_results(results));
}

http_answer admin_api::list_upstreams() const
{
    return json_answer(200, protocol::encode_upstreams(
                                *configuration_.current(), health_.verdicts()));
}

http_answer admin_api::list_records() const
{
    std::vector<state::entry_ptr> entries;
    configuration_.current()->for_each(
        [&](const state::entry_ptr& it) { entries.push_back(it); });
    return json_answer(200, protocol::encode_entry_list(std::move(entries)));
}

http_answer admin_api::show_records(std::string_view kind,
                                    std::string_view name) const
{
    const auto wanted = state::enum_from_name<state::record_kind>(kind);
    std::vector<state::entry_ptr> entries;
    configuration_.current()->for_each([&](const state::entry_ptr& it) {
        if (wanted == it->key.kind && it->key.name == name) {
            entries.push_back(it);
        }
    });
    if (entries.empty()) {
        return json_answer(404, protocol::encode_error("no such entry"));
    }
    return json_answer(200, protocol::encode_entries(std::move(entries)));
}

http_answer admin_api::show_change(std::string_view text) const
{
    const auto id = state::identifier_from_string(text);
    if (!id) {
        return json_answer(
            400, protocol::encode_error("a change id has 32 hex digits"));
    }
    const auto status =
        configuration_.changes().status(*id, membership_.members().progress());
    if (!status) {
        return json_answer(404, protocol::encode_error("no such change"));
    }
    return json_answer(200, protocol::encode_change(*status));
}

std::optional<std::string>
admin_api::authenticate(const http_request& request) const
{
    constexpr std::string_view scheme = "Basic ";
    const auto field = to_view(request[http::field::authorization]);
    if (!field.starts_with(scheme)) {
        return std::nullopt;
    }
    const auto pair = protocol::decode_base64(field.substr(scheme.size()));
    const auto colon = pair ? pair->find(':') : std::string::npos;
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string name = pair->substr(0, colon);
    const std::string secret = pair->substr(colon + 1);
    for (const auto& it : settings_.operators) {
        if (it.name == name && same_secret(it.secret, secret)) {
            return name;
        }
    }
    return std::nullopt;
}

} // namespace oriolegrade::transport
