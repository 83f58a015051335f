// Control endpoints of the upstream stand-in. No fault affects them.

#include "../common/query.hpp"
#include "upstream_server.hpp"

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/json.hpp>

namespace oriolegrade::programs {

namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::size_t control_body_limit = 4096;
constexpr std::uint64_t page_limit = 10'000;

} // namespace

// GET  /control            current faults
// POST /control            changes faults
// GET  /control/runs       totals; with `prefix=` also the ids that start with
//                          it, after id `after=`, at most `max=`
bool upstream_server::control(exchange& ex)
{
    // One byte more than allowed shows that the body is too long.
    std::string body(control_body_limit + 1, '\0');
    auto& message = ex.request.get();
    message.body().data = body.data();
    message.body().size = body.size();
    boost::system::error_code ec;
    if (!ex.request.is_done()) {
        http::async_read(ex.stream, ex.buffer, ex.request,
                         transport::fiber_yield(ec));
    }
    body.resize(body.size() - message.body().size);
    if (ec || body.size() > control_body_limit) {
        return false;
    }
    const auto path = protocol::path_of(ex.target);
    if (path == "/control/runs" && message.method() == http::verb::get) {
        return send_text(ex, http::status::ok, runs_json(ex.target),
                         "application/json");
    }
    if (path != "/control") {
        return send_text(ex, http::status::not_found, "no such control\n",
                         "text/plain");
    }
    if (message.method() == http::verb::post) {
        const auto error = apply_faults(body, faults_);
        if (!error.empty()) {
            return send_text(ex, http::status::bad_request, error + "\n",
                             "text/plain");
        }
        // Any change of the faults begins the quiet time anew.
        quiet_until_ =
            clock::now() + std::chrono::duration_cast<clock::duration>(
                               std::chrono::duration<double>(faults_.quiet_s));
    }
    return send_text(ex, http::status::ok, to_json(faults_),
                     "application/json");
}

std::string upstream_server::runs_json(std::string_view target) const
{
    json::object out{
        {"total", runs_.total()},         {"duplicates", runs_.duplicates()},
        {"uncounted", runs_.uncounted()}, {"shed", shed_count_},
        {"in_quiet", in_quiet_},          {"while_draining", while_draining_},
        {"connections", connections_}};
    const auto prefix = query_value(target, "prefix");
    if (!prefix) {
        return json::serialize(out);
    }
    const auto max =
        std::min(query_number(target, "max", page_limit), page_limit);
    const auto after = query_value(target, "after").value_or("");
    const auto& counts = runs_.counts();
    auto it = after > *prefix ? counts.upper_bound(after)
                              : counts.lower_bound(*prefix);
    json::object ids;
    while (it != counts.end() && it->first.starts_with(*prefix) &&
           ids.size() < max) {
        ids[it->first] = it->second;
        ++it;
    }
    out["more"] = it != counts.end() && it->first.starts_with(*prefix);
    out["ids"] = std::move(ids);
    return json::serialize(out);
}

} // namespace oriolegrade::programs
