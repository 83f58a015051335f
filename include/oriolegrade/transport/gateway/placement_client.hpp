// Way of a worker thread to the dispatch router of the control thread.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_PLACEMENT_CLIENT_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_PLACEMENT_CLIENT_HPP

#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/gateway/dispatch_router.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <concepts>
#include <memory>
#include <optional>

namespace oriolegrade::transport {

/// A fiber's wait for the answer to a place request. Used by one thread, also
/// by its handlers, which must not wait for a lock.
class place_wait
{
public:
    /// Only the first answer counts.
    void set(const state::place_answer& answer)
    {
        if (!answer_) {
            answer_ = answer;
            arrived_.notify();
        }
    }

    /// Empty when there is no answer at the deadline.
    std::optional<state::place_answer> wait_until(state::time_point deadline)
    {
        arrived_.wait_until(deadline, [this] { return answer_.has_value(); });
        return answer_;
    }

private:
    std::optional<state::place_answer> answer_;
    fiber_signal arrived_;
};

/// Gives places at upstreams.
template <class Placement>
concept placement = requires(Placement& p, const state::place_request& request,
                             const state::send_report& report,
                             const std::shared_ptr<place_wait>& wait)
{
    /// Asks for a place; the number names it in report().
    {
        p.ask(request, wait)
        } -> std::same_as<std::uint64_t>;
    p.report(std::uint64_t{}, report);
};

/// Belongs to one worker thread.
class placement_client
{
public:
    /// @param numbers shared by all clients of the router
    placement_client(boost::asio::io_context& own,
                     boost::asio::io_context& control, dispatch_router& router,
                     std::atomic<std::uint64_t>& numbers)
        : own_(own)
        , control_(control)
        , router_(router)
        , numbers_(numbers)
    {}

    std::uint64_t ask(const state::place_request& request,
                      const std::shared_ptr<place_wait>& wait)
    {
        const auto number = numbers_.fetch_add(1, std::memory_order_relaxed);
        boost::asio::post(control_, [this, number, request, wait] {
            const bool asked = run_step("dispatch_ask", [&] {
                router_.ask(number, request,
                            [this, wait](const state::place_answer& it) {
                                answer(wait, it);
                            });
            });
            if (!asked) {
                // Nothing else would end the wait before its deadline. The
                // report of its end removes what the router has of it.
                run_step("dispatch_ask", [&] { answer(wait, fault_refusal); });
            }
        });
        return number;
    }

    void report(std::uint64_t number, const state::send_report& report)
    {
        boost::asio::post(control_, [this, number, report] {
            run_step("dispatch_report",
                     [&] { router_.report(number, report); });
        });
    }

private:
    static constexpr state::place_refusal fault_refusal{
        state::place_refusal_reason::overloaded, {}};

    void answer(const std::shared_ptr<place_wait>& wait,
                const state::place_answer& it)
    {
        boost::asio::post(own_, [wait, it] {
            if (!run_step("place_answer", [&] { wait->set(it); })) {
                wait->set(fault_refusal);
            }
        });
    }

    boost::asio::io_context& own_;
    boost::asio::io_context& control_;
    dispatch_router& router_;
    std::atomic<std::uint64_t>& numbers_;
};

} // namespace oriolegrade::transport

#endif
