// Reads run counts page by page and looks for contradictions.

#include "run_audit.hpp"

#include <oriolegrade/transport/fiber_yield.hpp>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <unordered_map>

namespace oriolegrade::programs {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using transport::fiber_yield;
using namespace std::chrono_literals;
using run_table = std::unordered_map<std::string, std::uint64_t>;

constexpr std::size_t page_body_limit = 4 * 1024 * 1024;
constexpr std::size_t listed_ids = 20;

std::optional<json::value> get_json(boost::beast::tcp_stream& stream,
                                    const std::string& target)
{
    http::request<http::empty_body> request{http::verb::get, target, 11};
    request.set(http::field::host, "stand-in");
    boost::system::error_code ec;
    stream.expires_after(10s);
    http::async_write(stream, request, fiber_yield(ec));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(page_body_limit);
    if (!ec) {
        http::async_read(stream, buffer, parser, fiber_yield(ec));
    }
    if (ec || parser.get().result() != http::status::ok) {
        return std::nullopt;
    }
    auto value = json::parse(parser.get().body(), ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return value;
}

bool read_pages(boost::beast::tcp_stream& stream, const std::string& prefix,
                run_table& runs)
{
    std::string after;
    while (true) {
        std::string target = "/control/runs?prefix=";
        target.append(prefix).append("&after=").append(after);
        const auto page = get_json(stream, target);
        const auto* ids =
            page ? page->get_object().if_contains("ids") : nullptr;
        if (ids == nullptr || !ids->is_object()) {
            return false;
        }
        for (const auto& pair : ids->get_object()) {
            after.assign(pair.key().data(), pair.key().size());
            runs[after] += pair.value().to_number<std::uint64_t>();
        }
        if (!page->at("more").as_bool()) {
            return page->at("uncounted").to_number<std::uint64_t>() == 0;
        }
    }
}

bool read_wishes(boost::beast::tcp_stream& stream, audit_result& out)
{
    const auto page = get_json(stream, "/control/runs");
    const auto add = [&page](const char* key, std::uint64_t& sum) {
        const auto* n = page ? page->get_object().if_contains(key) : nullptr;
        if (n == nullptr || !n->is_number()) {
            return false;
        }
        sum += n->to_number<std::uint64_t>();
        return true;
    };
    return add("in_quiet", out.in_quiet) &&
           add("while_draining", out.while_draining);
}

bool read_runs(asio::io_context& ioc, const state::endpoint& upstream,
               const std::string& run_id, run_table& runs, audit_result& out)
{
    boost::beast::tcp_stream stream(ioc);
    boost::system::error_code ec;
    stream.expires_after(5s);
    stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::address_v4(upstream.address),
                                upstream.port),
        fiber_yield(ec));
    return !ec && read_pages(stream, "once-" + run_id + "-", runs) &&
           read_pages(stream, "idem-" + run_id + "-", runs) &&
           read_wishes(stream, out);
}

void list_id(std::vector<std::string>& list, const std::string& id)
{
    if (list.size() < listed_ids) {
        list.push_back(id);
    }
}

} // namespace

audit_result audit_runs(asio::io_context& ioc,
                        const std::vector<state::endpoint>& upstreams,
                        const std::string& run_id, const tally_counts& counts)
{
    audit_result out;
    run_table runs;
    for (const auto& it : upstreams) {
        if (!read_runs(ioc, it, run_id, runs, out)) {
            out.unreadable.push_back(it);
        }
    }
    for (const auto& [id, n] : runs) {
        if (!id.starts_with("once-")) {
            continue;
        }
        out.once_runs += n;
        if (n > 1) {
            out.duplicates += n - 1;
            list_id(out.duplicate_ids, id);
        }
    }
    for (const auto& it : counts.not_run) {
        if (runs.contains(it.id)) {
            ++out.false_not_run;
            out.false_not_run_after_unknown += it.after_unknown ? 1 : 0;
            list_id(out.false_not_run_ids, it.id);
        }
    }
    for (const auto& id : counts.once_ok) {
        out.ok_never_run += runs.contains(id) ? 0 : 1;
    }
    return out;
}

} // namespace oriolegrade::programs
