// From a caller's connection to the request runner.

#include <oriolegrade/transport/entry_worker.hpp>

#include <oriolegrade/transport/reply.hpp>

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>

namespace oriolegrade::transport {

namespace {

using state::reply_reason;

/// Targets for the load balancer's checks; no route can take them.
constexpr std::string_view status_prefix = "/.oriolegrade/";
constexpr std::string_view alive_target = "/.oriolegrade/healthz";
constexpr std::string_view ready_target = "/.oriolegrade/readyz";

std::optional<std::uint32_t> schema_of(const protocol::request_head& head)
{
    const auto text = head.fields.find(protocol::header_field::schema);
    if (!text) {
        return std::nullopt;
    }
    // No entry has the largest version, so a malformed one finds no service
    // instead of another version's.
    constexpr std::uint64_t none = std::numeric_limits<std::uint32_t>::max();
    const auto n = protocol::parse_number(*text).value_or(none);
    return static_cast<std::uint32_t>(std::min(n, none));
}

/// Whom the limits count a request for.
std::string limited_caller_of(const protocol::request_head& head,
                              caller_answer& answer)
{
    if (const auto name = head.fields.find(protocol::header_field::caller)) {
        return std::string(*name);
    }
    error_code ec;
    const auto peer = answer.peer(ec);
    return ec ? std::string() : peer.address().to_string();
}

state::time_point deadline_of(const protocol::request_head& head,
                              const state::route_spec& route,
                              state::time_point arrival)
{
    auto limit = route.deadline;
    const auto text = head.fields.find(protocol::header_field::deadline_ms);
    if (const auto n = text ? protocol::parse_number(*text) : std::nullopt) {
        const auto cap = std::chrono::duration_cast<std::chrono::milliseconds>(
            route.deadline);
        const auto ms = std::min<std::uint64_t>(
            *n, static_cast<std::uint64_t>(cap.count()));
        limit = std::min<state::duration>(limit, std::chrono::milliseconds(ms));
    }
    return arrival + limit;
}

/// Refuses a request before it was given to an upstream.
void refuse(const protocol::request_head& head, caller_answer& answer,
            reply_reason reason, protocol::http_fields fields = {})
{
    send_reply(answer, reason,
               state::reported_outcome(reason, attempt_history_of(head.fields)),
               std::move(fields));
}

void refuse_by_limit(const protocol::request_head& head, caller_answer& answer)
{
    protocol::http_fields fields;
    fields.add("Retry-After", "1");
    refuse(head, answer, reply_reason::limit, std::move(fields));
}

} // namespace

entry_worker::entry_worker(boost::asio::io_context& ioc, entry_shared& shared,
                           once_shared& once)
    : shared_(shared)
    , limits_(shared.options.caller)
    , runner_(ioc, shared)
    , once_path_(ioc, once, runner_)
    , forward_(ioc, shared, once, runner_, shared.options.forward_listen)
    , listener_(ioc, shared.options.caller_listen,
                shared.options.max_connections, [this](tcp_stream stream) {
                    const count_guard guard(shared_.caller_connections);
                    caller_session session(std::move(stream), *this, shared_);
                    session.run();
                })
{}

entry_worker::request_plan
entry_worker::prepare(const protocol::request_head& head,
                      const caller_request&) const
{
    request_plan plan;
    if (!shared_.configured || head.target.starts_with(status_prefix)) {
        return plan;
    }
    plan.configuration = shared_.configuration.read();
    plan.route = plan.configuration->find_route(head.method,
                                                protocol::path_of(head.target));
    plan.repeatable =
        plan.route && std::get<state::route_spec>(plan.route->body).request ==
                          state::request_class::idempotent;
    return plan;
}

void entry_worker::reply_status(std::string_view target, caller_answer& answer)
{
    const bool ready = shared_.configured && !shared_.stopping;
    protocol::answer_head head;
    if (target == alive_target || (target == ready_target && ready)) {
        head.status = 200;
    } else {
        head.status = target == ready_target ? 503 : 404;
    }
    head.framing.length = 0;
    error_code ec;
    answer.start(head, ec);
    answer.finish(ec);
}

void entry_worker::serve(request_plan& plan, const protocol::request_head& head,
                         caller_request& request, caller_answer& answer)
{
    if (head.target.starts_with(status_prefix)) {
        return reply_status(head.target, answer);
    }
    if (!plan.configuration) {
        return refuse(head, answer, reply_reason::not_ready);
    }
    if (const auto reason = request.refusal()) {
        return refuse(head, answer, *reason);
    }
    if (!plan.route) {
        return refuse(head, answer, reply_reason::no_route);
    }
    const auto& conf = plan.configuration;
    request_context context;
    context.route = plan.route;
    const auto& route = context.route_spec();
    context.service = conf->find_service(route.service, schema_of(head));
    if (!context.service) {
        return refuse(head, answer, reply_reason::no_service);
    }
    if (head.framing.length.value_or(0) > route.max_request_bytes) {
        return refuse(head, answer, reply_reason::too_large);
    }
    const auto place =
        shared_.limits.enter(*conf, head, limited_caller_of(head, answer),
                             std::chrono::steady_clock::now());
    if (!place) {
        return refuse_by_limit(head, answer);
    }
    request.set_body_limit(route.max_request_bytes);
    if (const auto name = head.fields.find(protocol::header_field::caller)) {
        context.caller = *name;
    }
    if (head.fields.find(protocol::header_field::token_request) == "1") {
        answer.add_field(protocol::header_field::token,
                         once_path_.offered_token(context));
    }
    context.deadline = deadline_of(head, route, request.arrival());
    context.head = head;
    plan.may_have_run = true;
    if (route.request == state::request_class::non_idempotent) {
        once_path_.serve(context, request, answer);
    } else {
        proxy_idempotent(context, request, answer);
    }
}

std::string_view entry_worker::request_id(const protocol::request_head& head)
{
    return protocol::own_dialect::request_id(head);
}

void entry_worker::fail(const request_plan& plan,
                        const protocol::request_head& head,
                        const caller_request& /*request*/,
                        caller_answer& answer)
{
    if (answer.started()) {
        return;
    }
    refuse(head, answer,
           plan.may_have_run ? reply_reason::internal_error
                             : reply_reason::internal_error_not_run);
}

void entry_worker::proxy_idempotent(const request_context& context,
                                    caller_request& request,
                                    caller_answer& answer)
{
    std::optional<caller_connection::cancel_guard> guard;
    const auto arm = [&](std::function<void()> cancel) {
        answer.on_cancel(std::move(cancel), guard);
    };
    const auto report = runner_.run(context, request, answer, arm);
    guard.reset();
    if (report.caller_error == boost::beast::http::error::body_limit &&
        !answer.started()) {
        const auto outcome = report.may_have_run ? state::run_outcome::unknown
                                                 : state::run_outcome::not_run;
        return send_reply(answer, reply_reason::too_large, outcome);
    }
    if (report.step == coordination::next_step::reply) {
        send_reply(answer, report.reason, report.outcome());
    }
}

} // namespace oriolegrade::transport
