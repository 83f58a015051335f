// Way of a worker thread to the limits of workspaces.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_QUOTA_CLIENT_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_QUOTA_CLIENT_HPP

#include <oriolegrade/coordination/quota_wallet.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/gateway/quota_service.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <memory>
#include <string>
#include <string_view>

namespace oriolegrade::transport {

/// Gives the right to send requests of workspaces.
template <class Gate>
concept quota_gate = requires(Gate& gate, std::string_view workspace,
                              state::time_point limit)
{
    /// Right to the first send of a request. Blocks the calling fiber, at most
    /// until the limit; the verdict is never `wait`.
    {
        gate.admit(workspace, limit)
        } -> std::same_as<coordination::quota_decision>;
    /// Right to a further send of the request, without waiting.
    {
        gate.admit_extra(workspace)
        } -> std::same_as<bool>;
    /// Returns a right whose send did not run.
    gate.give_back(workspace);
};

/// Belongs to one worker thread.
class quota_client
{
public:
    quota_client(boost::asio::io_context& own, boost::asio::io_context& control,
                 coordination::quota_wallet& wallet, quota_service& service)
        : own_(own)
        , control_(control)
        , wallet_(wallet)
        , service_(service)
    {}

    coordination::quota_decision admit(std::string_view workspace,
                                       state::time_point limit)
    {
        const auto began = clock::now();
        state::duration waited{};
        for (;;) {
            const auto decision = wallet_.take(workspace, waited, clock::now());
            if (decision.verdict != coordination::quota_verdict::wait) {
                return decision;
            }
            wait_for_answer(std::string(workspace),
                            std::min<state::time_point>(
                                limit, began + coordination::max_quota_wait));
            const auto now = clock::now();
            waited = now >= limit ? coordination::max_quota_wait
                                  : std::max(now - began, shortest_wait);
        }
    }

    bool admit_extra(std::string_view workspace)
    {
        return wallet_.take_extra(workspace, clock::now());
    }

    void give_back(std::string_view workspace)
    {
        wallet_.give_back(workspace, clock::now());
    }

private:
    using clock = std::chrono::steady_clock;
    /// 0 names the first call of a request.
    static constexpr state::duration shortest_wait{1};

    /// Used by the worker's thread, also by its handlers.
    struct answer_wait
    {
        bool ended = false;
        fiber_signal signal;
    };

    void wait_for_answer(const std::string& workspace, state::time_point limit)
    {
        const auto wait = std::make_shared<answer_wait>();
        boost::asio::post(control_, [this, workspace, wait] {
            service_.wait(workspace, [this, wait] {
                boost::asio::post(own_, [wait] {
                    wait->ended = true;
                    wait->signal.notify();
                });
            });
        });
        wait->signal.wait_until(limit, [&wait] { return wait->ended; });
    }

    boost::asio::io_context& own_;
    boost::asio::io_context& control_;
    coordination::quota_wallet& wallet_;
    quota_service& service_;
};

static_assert(quota_gate<quota_client>);

} // namespace oriolegrade::transport

#endif
