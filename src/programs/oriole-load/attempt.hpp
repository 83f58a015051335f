// One request over one connection, and the connections of a thread.

#ifndef ORIOLEGRADE_PROGRAMS_LOAD_ATTEMPT_HPP
#define ORIOLEGRADE_PROGRAMS_LOAD_ATTEMPT_HPP

#include "mix.hpp"

#include <oriolegrade/state/endpoint.hpp>
#include <oriolegrade/state/run_outcome.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolegrade::programs {

enum class attempt_end : std::uint8_t
{
    answered,
    /// No connection: no byte of the request was sent.
    not_connected,
    /// The connection ended before the whole answer.
    lost,
    timed_out,
};

struct attempt_result
{
    attempt_end end = attempt_end::lost;
    unsigned status = 0;
    std::optional<state::run_outcome> outcome;
    std::string token;
    /// The answer ended cleanly and is shorter than it should be, or the
    /// upstream received less than was sent.
    bool truncated = false;
    /// The answer belongs to another request.
    bool foreign = false;
    /// Time spent in the upstream, as it reported.
    std::chrono::microseconds upstream_time{0};
};

struct attempt_request
{
    const request_kind& kind;
    std::string id;
    std::string token;
    std::string key;
    bool wants_token = false;
    std::string workspace;
};

/// Keep-alive connections of one thread to one target.
class target_pool
{
public:
    struct connection
    {
        connection(boost::asio::io_context& ioc, std::size_t buffer_limit)
            : stream(ioc)
            , buffer(buffer_limit)
        {}
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
    };

    target_pool(boost::asio::io_context& ioc, state::endpoint target,
                std::size_t limit);

    /// Waits for an idle connection or opens one; null when that fails.
    std::unique_ptr<connection> take(std::chrono::milliseconds limit);
    /// Returns a connection; null when it is closed.
    void give_back(std::unique_ptr<connection> c);

    const state::endpoint& target() const
    {
        return target_;
    }

private:
    boost::asio::io_context& ioc_;
    const state::endpoint target_;
    const std::size_t limit_;
    std::size_t open_ = 0;
    std::vector<std::unique_ptr<connection>> idle_;
    boost::fibers::mutex mutex_;
    boost::fibers::condition_variable freed_;
};

/// Sends the request and checks its answer.
attempt_result attempt(target_pool& pool, const attempt_request& request,
                       std::chrono::milliseconds limit);

} // namespace oriolegrade::programs

namespace oriolegrade::state {

template <>
struct enum_names<programs::attempt_end>
{
    static constexpr std::array<std::string_view, 4> value{
        "answered", "not_connected", "lost", "timed_out"};
};

} // namespace oriolegrade::state

#endif
