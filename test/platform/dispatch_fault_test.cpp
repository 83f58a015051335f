// Guards the way of a place request through the control thread against an
// exception in one step. One in a handler of the reactor ended the process; one
// behind a stream ended the stream, and with it the places of a whole host.

#include "fakes/dispatch_fleet.hpp"

#include <oriolegrade/transport/gateway/placement_client.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <stdexcept>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using boost::this_fiber::sleep_for;
using test::make_fleet;
using test::upstream_of;

void fail()
{
    throw std::runtime_error("made by a test");
}

state::place_request request_with(state::duration time_left)
{
    state::place_request out;
    out.service = "s";
    out.route = "r";
    out.time_left = time_left;
    out.target_left = time_left;
    return out;
}

/// A host that places alone, and a worker's way to it.
class lone_host : public ::testing::Test
{
protected:
    lone_host()
    {
        host.router.set_members({host.shared.options.self});
    }

    std::optional<state::place_answer> place(std::uint64_t& number)
    {
        const auto wait = std::make_shared<transport::place_wait>();
        number = places.ask(request_with(5s), wait);
        return wait->wait_until(std::chrono::steady_clock::now() + 200ms);
    }

    test::fake_host& host = make_fleet().entry();
    std::atomic<std::uint64_t> numbers = 1000;
    transport::placement_client places{
        test::fiber_context(), test::fiber_context(), host.router, numbers};
};

TEST_F(lone_host, fault_of_a_place_request_ends_the_process)
{
    std::uint64_t number = 0;
    host.own.age_faults = 1;
    const auto failed = place(number);
    ASSERT_TRUE(failed);
    EXPECT_EQ(upstream_of(failed), "");
    places.report(number, {state::send_result::cancelled, {}, {}});
    EXPECT_EQ(upstream_of(place(number)), "u-own");
    places.report(number, {state::send_result::answered, 10ms, {}});
    EXPECT_EQ(upstream_of(place(number)), "u-own");
    places.report(number, {state::send_result::answered, 10ms, {}});
    sleep_for(20ms);
}

// The request that gets the place of another one fails; the report of the other
// one came from a worker.
TEST_F(lone_host, fault_behind_a_report_ends_the_process)
{
    std::uint64_t number = 0;
    ASSERT_EQ(upstream_of(place(number)), "u-own");
    // Its target is earlier than that of the one behind it.
    auto failing = request_with(5s);
    failing.target_left = 500ms;
    host.router.ask(100, failing, [](const state::place_answer&) { fail(); });
    const auto waiting = host.ask();
    places.report(number, {state::send_result::answered, 10ms, {}});
    sleep_for(20ms);
    EXPECT_FALSE(*waiting);
    host.router.report(100, {state::send_result::cancelled, {}, {}});
    sleep_for(20ms);
    EXPECT_EQ(upstream_of(*waiting), "u-own");
    host.end(host.last);
}

// The queue forgets the requests that it has answered: one whose answer is lost
// waited to its deadline.
TEST_F(lone_host, fault_of_one_answer_loses_the_answers_behind_it)
{
    std::uint64_t number = 0;
    ASSERT_EQ(upstream_of(place(number)), "u-own");
    int refused = 0;
    for (std::uint64_t n = 1; n <= 6; ++n) {
        host.router.ask(n, request_with(5s),
                        [&refused, n](const state::place_answer&) {
                            if (n % 2 == 1) {
                                fail();
                            }
                            ++refused;
                        });
    }
    EXPECT_EQ(refused, 0);
    // Nothing is left that they could be sent to.
    host.own.registry.apply({state::registry_change_kind::removed, "u-own", {}},
                            {});
    transport::run_step("test", [this] { host.service.update(); });
    EXPECT_EQ(refused, 3);
    places.report(number, {state::send_result::answered, 10ms, {}});
    sleep_for(20ms);
}

// The next free slot went to the failed request, whose end nobody reported.
TEST_F(lone_host, fault_of_a_place_request_takes_a_slot_for_good)
{
    std::uint64_t number = 0;
    ASSERT_EQ(upstream_of(place(number)), "u-own");
    EXPECT_THROW(
        host.service.ask(request_with(5s), [](const auto&) { fail(); }),
        std::runtime_error);
    places.report(number, {state::send_result::answered, 10ms, {}});
    EXPECT_EQ(upstream_of(place(number)), "u-own");
    places.report(number, {state::send_result::answered, 10ms, {}});
    sleep_for(20ms);
}

/// A dispatcher, an entry with a request in flight at its only slot, and
/// another host.
class busy_dispatcher : public ::testing::Test
{
protected:
    busy_dispatcher()
    {
        EXPECT_EQ(upstream_of(f.entry().place()), "u-first");
    }
    ~busy_dispatcher() override
    {
        f.entry().router.on_rules = [](const auto&, const auto&) {
        };
        f.first().server->on_rules = f.entry().router.on_rules;
    }

    /// The slot is taken; if the dispatcher thinks it is free, it places.
    void expect_slot_taken()
    {
        const auto other = f.second().ask();
        sleep_for(70ms);
        EXPECT_FALSE(*other) << upstream_of(*other);
        f.entry().end(1);
        EXPECT_EQ(upstream_of(*other), "u-first");
    }

    test::fleet& f = make_fleet();
};

TEST_F(busy_dispatcher, fault_of_one_request_frees_the_places_of_its_host)
{
    f.first().own.age_faults = 1;
    EXPECT_EQ(upstream_of(f.entry().place()), "u-second");
    expect_slot_taken();
}

TEST_F(busy_dispatcher, fault_of_a_notice_of_an_entry_frees_its_places)
{
    f.first().server->on_rules = [](const auto&, const auto&) {
        fail();
    };
    f.entry().router.tell_rules_version(8);
    sleep_for(20ms);
    expect_slot_taken();
}

TEST_F(busy_dispatcher, fault_of_a_notice_at_the_entry_frees_its_places)
{
    f.entry().router.on_rules = [](const auto&, const auto&) {
        fail();
    };
    f.first().server->tell_rules_version(7);
    sleep_for(20ms);
    expect_slot_taken();
}

} // namespace
