// Dispatch and answers of the administration API.

#include <oriolegrade/transport/admin_api.hpp>

#include <oriolegrade/protocol/admin_json.hpp>
#include <oriolegrade/protocol/base64.hpp>
#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/protocol/record_json.hpp>

#include <openssl/crypto.h>

#include <algorithm>

namespace oriolegrade::transport {

namespace http = boost::beast::http;

namespace {

using coordination::publish_outcome;

std::string_view to_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

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

} // namespace

admin_api::admin_api(agent_configuration& configuration,
                     const protocol::agent_settings& settings)
    : configuration_(configuration)
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
    constexpr std::string_view records = "/v1/records";
    constexpr std::string_view changes = "/v1/changes/";
    const bool post = request.method() == http::verb::post;
    if (post && path == records) {
        return publish(request.body(), operator_name);
    }
    if (post && path == "/v1/validate") {
        return validate(request.body());
    }
    if (!post && path == records) {
        return list_records();
    }
    if (!post && path.starts_with("/v1/records/")) {
        const auto rest = path.substr(records.size() + 1);
        const auto slash = rest.find('/');
        if (slash != std::string_view::npos) {
            return show_records(rest.substr(0, slash), rest.substr(slash + 1));
        }
    }
    if (!post && path.starts_with(changes)) {
        return show_change(path.substr(changes.size()));
    }
    return json_answer(404, protocol::encode_error("no such resource"));
}

http_answer admin_api::publish(const std::string& body,
                               const std::string& operator_name)
{
    auto records = protocol::decode_record_file(body);
    if (!records) {
        return json_answer(400, protocol::encode_findings(records.error()));
    }
    std::vector<protocol::record_result> results;
    for (auto& it : records.value()) {
        if (!it.change_id) {
            it.change_id = state::random_identifier();
        }
        it.operator_name = operator_name;
        results.push_back({it.key, it.change_id, configuration_.publish(it)});
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
    const auto status = configuration_.changes().status(
        *id, {{settings_.name, configuration_.current()->next_offset()}});
    if (!status) {
        return json_answer(404, protocol::encode_error("no such change"));
    }
    return json_answer(200, protocol::encode_change(*status));
}

http_answer admin_api::metrics() const
{
    const auto& conf = *configuration_.current();
    std::string text;
    const auto gauge = [&](std::string_view name, std::uint64_t value) {
        text.append("# TYPE ").append(name).append(" gauge\n");
        text.append(name)
            .append(" ")
            .append(std::to_string(value))
            .append("\n");
    };
    gauge("oriole_configuration_next_offset", conf.next_offset());
    gauge("oriole_configuration_entries", conf.size());
    gauge("oriole_configuration_skipped_records",
          configuration_.skipped().size());
    gauge("oriole_log_available", configuration_.log_available() ? 1 : 0);
    return text_answer(200, std::move(text));
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
