// Test fixture with a dispatch queue, for tests of its rules.

#ifndef ORIOLEGRADE_TEST_FAKES_QUEUE_FIXTURE_HPP
#define ORIOLEGRADE_TEST_FAKES_QUEUE_FIXTURE_HPP

#include <oriolegrade/coordination/dispatch_queue.hpp>

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace oriolegrade::test {

using namespace std::chrono_literals;
using coordination::dispatch_queue;
using state::send_kind;
using state::send_result;

constexpr state::time_point start{1000s};
constexpr std::uint32_t slots = 2;

/// A queue whose upstreams have two slots each, with a budget that is never
/// exhausted.
class queue_fixture : public ::testing::Test
{
protected:
    queue_fixture()
        : queue({{1.0, 100, 10s}, 50})
    {}

    void set_upstreams(int n, const std::string& data_centre = "dc1")
    {
        for (int i = 0; i < n; ++i) {
            state::registered_upstream it;
            it.id = data_centre + "-" + std::to_string(list.size());
            it.service = "s";
            it.address = {0x0a000001 + static_cast<std::uint32_t>(list.size()),
                          80};
            it.data_centre = data_centre;
            it.slots = slots;
            list.push_back(it);
        }
        queue.set_upstreams(list, now);
    }

    state::place_request request(send_kind kind = send_kind::first) const
    {
        state::place_request out;
        out.service = "s";
        out.route = "r";
        out.kind = kind;
        out.host = "h1";
        out.data_centre = "dc1";
        out.time_left = 4s;
        out.target_left = 1s;
        return out;
    }

    /// Requests a place.
    /// @return id of the upstream; empty when the request was queued or refused
    std::string ask(const state::place_request& what)
    {
        const auto number = ++last;
        const auto answer = queue.request_place(number, what, now);
        if (!answer) {
            return {};
        }
        if (const auto* away = std::get_if<state::place_refusal>(&*answer)) {
            refusal = *away;
            return {};
        }
        return std::get<state::place>(*answer).upstream;
    }

    void end(dispatch_queue::request_id number,
             send_result how = send_result::answered,
             state::duration took = 100ms)
    {
        queue.report(number, {how, took, {}}, now);
    }

    /// Makes an upstream fail once.
    void fail(const std::string& upstream)
    {
        auto what = request();
        for (const auto& it : list) {
            if (it.id != upstream) {
                what.tried.push_back(it.id);
            }
        }
        what.time_left = 100ms;
        ASSERT_EQ(ask(what), upstream);
        end(last, send_result::server_error, 1ms);
    }

    state::time_point now = start;
    std::vector<state::registered_upstream> list;
    dispatch_queue queue;
    dispatch_queue::request_id last = 0;
    std::optional<state::place_refusal> refusal;
};

} // namespace oriolegrade::test

#endif
