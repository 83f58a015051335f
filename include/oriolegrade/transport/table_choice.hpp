// Choice of upstreams for one request from the service's pick table, and what
// the answers teach about load.

#ifndef ORIOLEGRADE_TRANSPORT_TABLE_CHOICE_HPP
#define ORIOLEGRADE_TRANSPORT_TABLE_CHOICE_HPP

#include <oriolegrade/coordination/picker.hpp>
#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/attempt_result.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/transport/connection_lease.hpp>
#include <oriolegrade/transport/service_table.hpp>
#include <oriolegrade/transport/thread_evidence.hpp>
#include <oriolegrade/transport/wait_lines.hpp>

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace oriolegrade::transport {

/// Random numbers of one worker thread.
class thread_random
{
public:
    std::uint64_t next()
    {
        return engine_();
    }

private:
    std::mt19937_64 engine_{std::random_device()()};
};

/// What the choices of one worker thread share.
struct thread_choices
{
    thread_random random;
    std::shared_ptr<thread_evidence> evidence;
    wait_lines lines;
};

/// Chooses by two choices. Counts the attempt in flight until ended().
class table_choice
{
public:
    /// @param table may be null: no upstream is known
    table_choice(service_table_ptr table, const state::route_spec& route,
                 state::time_point deadline, thread_choices& thread);
    /// Choice for a second attempt beside the first: not where the first has
    /// been, and not counted as a request of its own.
    table_choice(const table_choice& first, const state::route_spec& route);
    ~table_choice();

    table_choice(const table_choice&) = delete;
    table_choice& operator=(const table_choice&) = delete;

    /// Waits for room when all upstreams are at their limits.
    std::optional<chosen_upstream> next();

    /// Reply when next() found none for the first attempt.
    state::reply_reason refusal() const
    {
        return refusal_;
    }

    /// True when another upstream and the retry budget are left. Takes one
    /// token of the budget.
    bool may_retry();

    void ended(state::attempt_result result, const protocol::answer_head* head,
               state::duration took);

    /// Arms a second attempt after the latency of the route's class that few
    /// answers exceed.
    void on_hedge(const std::function<void(state::duration)>& arm) const;
    /// Takes the right to a second attempt from the retry budget.
    bool may_hedge();

private:
    coordination::pick_result pick();
    /// Picks and counts in; empty with refusal_ set when there is no room.
    std::optional<chosen_upstream> try_next();
    void begin(const coordination::pick_choice& picked);
    void take_report(const protocol::answer_head& head, state::time_point now);

    service_table_ptr table_;
    const state::route_spec& route_;
    state::time_point deadline_;
    thread_choices& thread_;
    attempt_record record_;
    std::vector<state::endpoint> tried_;
    /// Candidate of the attempt in progress.
    std::optional<coordination::pick_choice> current_;
    state::attempt_result last_result_ = state::attempt_result::answered;
    state::reply_reason refusal_ = state::reply_reason::no_upstream;
};

/// Slots in use of a load report, `in use/slots`; empty when malformed.
std::optional<std::uint32_t> slots_in_use(std::string_view report);

} // namespace oriolegrade::transport

#endif
