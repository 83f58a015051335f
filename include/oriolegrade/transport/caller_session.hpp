// The requests of one caller's connection: read ahead, run side by side where
// that is allowed, and answered in the order in which they came.
//
// One fiber at a time reads requests. The fiber that has read a request runs
// it; when more bytes arrive meanwhile, another fiber reads on. A connection on
// which nothing is sent ahead needs a single fiber.

#ifndef ORIOLEGRADE_TRANSPORT_CALLER_SESSION_HPP
#define ORIOLEGRADE_TRANSPORT_CALLER_SESSION_HPP

#include <oriolegrade/coordination/read_ahead.hpp>
#include <oriolegrade/transport/caller_connection.hpp>
#include <oriolegrade/transport/caller_shared.hpp>
#include <oriolegrade/transport/caller_stream.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/reply.hpp>
#include <oriolegrade/transport/request_fault.hpp>
#include <oriolegrade/transport/request_runner.hpp>

#include <concepts>
#include <exception>
#include <optional>
#include <string_view>
#include <utility>

namespace oriolegrade::transport {

/// Routes and serves the requests of a session.
template <class Front>
concept caller_front = requires(Front& f, protocol::request_head head,
                                caller_request& request, caller_answer& answer,
                                typename Front::request_plan& plan)
{
    {
        f.io_limits()
        } -> std::convertible_to<caller_io_limits>;
    /// Looks up what the request needs, before it may start. This and serve()
    /// may change the head.
    {
        f.prepare(head, request)
        } -> std::same_as<typename Front::request_plan>;
    /// It may run beside others when it has no body.
    {
        plan.repeatable
        } -> std::convertible_to<bool>;
    f.serve(plan, head, request, answer);
    /// The request will not be served: an answer before it closed the
    /// connection, or its caller left.
    f.drop(plan, answer);
    /// For the log.
    {
        f.request_id(head)
        } -> std::convertible_to<std::string_view>;
    /// An exception left one of prepare(), serve() and drop(); after prepare()
    /// the plan is empty. Answers, unless an answer has begun: the connection
    /// is reset when that one is incomplete.
    f.fail(plan, head, request, answer);
};

/// @tparam Front a caller_front; may be incomplete where the session is named
template <class Front>
class caller_session
{
public:
    caller_session(tcp_stream stream, Front& front, caller_shared& shared)
        : front_(front)
        , shared_(shared)
        , connection_(std::move(stream), shared.read_ahead, shared.memory,
                      shared.stopping, [this] { on_input(); })
    {
        static_assert(caller_front<Front>);
    }

    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /// Serves requests until the connection ends.
    void run()
    {
        connection_.input().start();
        read_loop();
        // Other fibers may have taken over.
        ended_.wait([this] { return connection_.ended(); });
        fibers_.join();
        std::optional<count_guard> guard;
        if (linger_) {
            guard.emplace(shared_.requests_in_flight);
        }
        connection_.close(linger_);
    }

    void close_if_idle()
    {
        connection_.close_if_idle();
    }

private:
    using run_order = coordination::run_order;
    using position = caller_connection::position;

    /// A request that was read.
    struct incoming_request
    {
        protocol::request_head head;
        std::optional<typename Front::request_plan> plan = {};
        /// The exception that ended it.
        std::exception_ptr fault = {};
    };

    /// In the reactor: a fiber goes on to read when no other does.
    void on_input()
    {
        if (!connection_.input().bytes().empty() && take_reading()) {
            spawn_reader();
        }
    }

    /// True when the caller of this function reads from now on.
    bool take_reading()
    {
        if (reading_ || !connection_.may_read()) {
            return false;
        }
        // The last fiber in progress waits for the next request.
        if (!protocol::begins_request(connection_.input().bytes()) &&
            connection_.unanswered() > 0) {
            return false;
        }
        reading_ = true;
        return true;
    }

    void spawn_reader()
    {
        give_up_after(caught([this] {
            fibers_.spawn([this] {
                read_loop();
                ended_.notify();
            });
        }));
    }

    /// Ends the connection after an exception outside of a request: what has
    /// been read and written is not known.
    void give_up_after(const std::exception_ptr& fault)
    {
        if (fault) {
            log_request_fault({}, fault);
            connection_.reset();
            ended_.notify();
        }
    }

    /// Lets another fiber read while this one runs a request.
    void release_reading()
    {
        reading_ = false;
        on_input();
    }

    void read_loop()
    {
        give_up_after(caught([this] { read_requests(); }));
    }

    void read_requests()
    {
        do {
            serve_next();
        } while (take_reading());
        // Without a request in progress nobody is left to end the connection.
        if (!reading_ && connection_.unanswered() == 0) {
            connection_.end();
        }
    }

    void serve_next()
    {
        const auto limits = front_.io_limits();
        caller_request request(connection_, limits);
        error_code ec;
        connection_.set_idle(connection_.unanswered() == 0);
        request.wait_for_request(ec);
        connection_.set_idle(false);
        if (ec) {
            connection_.end();
        }
        if (connection_.is_abandoned()) {
            reading_ = false;
            return;
        }
        const count_guard guard(shared_.requests_in_flight);
        incoming_request in{request.read_head(ec)};
        if (ec) {
            reject(request, limits, ec);
            reading_ = false;
            return;
        }
        in.fault =
            caught([&] { in.plan.emplace(front_.prepare(in.head, request)); });
        if (in.fault) {
            in.plan.emplace();
        }
        const auto order = in.plan->repeatable && !in.head.has_body()
                               ? run_order::concurrent
                               : run_order::exclusive;
        serve_read(in, request, limits,
                   connection_.add(order, !request.keep_alive()), order);
    }

    void serve_read(incoming_request& in, caller_request& request,
                    const caller_io_limits& limits, position at,
                    run_order order)
    {
        coordination::held_share held(shared_.held);
        const bool first = connection_.is_first(at);
        linger_ = linger_ || !first;
        caller_answer answer(connection_, at, request, limits, held);
        const bool memory = !first && order == run_order::concurrent &&
                            held.take(hold_back_bytes);
        if (!connection_.may_start(at, order, memory)) {
            answer.await_turn();
        }
        if (order == run_order::concurrent) {
            release_reading();
        }
        run_request(in, request, answer);
        finish(at, request, answer);
        if (order == run_order::exclusive) {
            reading_ = false;
        }
    }

    /// Serves or drops a request. No exception of it goes further.
    void run_request(incoming_request& in, caller_request& request,
                     caller_answer& answer)
    {
        if (!in.fault) {
            in.fault = caught([&] {
                if (answer.is_abandoned()) {
                    front_.drop(*in.plan, answer);
                } else {
                    front_.serve(*in.plan, in.head, request, answer);
                }
            });
        }
        if (in.fault) {
            const auto id = front_.request_id(in.head);
            log_request_fault(id, in.fault);
            // May fail for the same reason, for example lack of memory.
            log_request_fault(id, caught([&] {
                                  front_.fail(*in.plan, in.head, request,
                                              answer);
                              }));
        }
    }

    /// Goes on after an answer, or ends the connection.
    void finish(position at, const caller_request& request,
                const caller_answer& answer)
    {
        if (!connection_.await_turn(at)) {
            return;
        }
        if (!answer.finished() && answer.shows_its_end()) {
            // A reset would destroy answers before this one that the caller has
            // not received.
            linger_ = true;
            connection_.end();
        } else if (!answer.finished()) {
            connection_.reset();
        } else if (!answer.keeps_connection()) {
            linger_ = linger_ || !request.done() ||
                      !connection_.input().bytes().empty();
            connection_.end();
        }
        connection_.answered(at);
    }

    /// Bytes that are no request: a clear answer in its turn, then the end.
    void reject(const caller_request& request, const caller_io_limits& limits,
                const error_code& ec)
    {
        const auto at = connection_.add(run_order::exclusive, true);
        coordination::held_share held(shared_.held);
        caller_answer answer(connection_, at, request, limits, held);
        if (!answer.await_turn()) {
            return;
        }
        if (const auto reason = request.reply_for(ec)) {
            linger_ = true;
            send_reply(answer, *reason);
        }
        connection_.end();
        connection_.answered(at);
    }

    Front& front_;
    caller_shared& shared_;
    caller_connection connection_;
    /// A fiber reads the next request, or runs one that nothing may be read
    /// behind.
    bool reading_ = true;
    /// Unread bytes may be on their way when the connection ends.
    bool linger_ = false;
    fiber_signal ended_;
    fiber_group fibers_;
};

} // namespace oriolegrade::transport

#endif
