// Cost of the decisions of a dispatch queue in processor time, while the
// service is full and a line of constant length waits.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_DECISION_COST_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_DECISION_COST_HPP

#include "dispatch_outcome.hpp"
#include "seeded_random.hpp"

#include <oriolegrade/coordination/dispatch_queue.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

namespace oriolegrade::bench {

struct cost_options
{
    std::size_t upstreams = 106;
    /// Requests that wait.
    std::size_t line = 2000;
    /// Workspaces of the requests; 0: they name none. The first sends twenty
    /// times as much as another.
    std::size_t workspaces = 0;
    std::uint64_t seed = 1;
};

/// Tenth percentile over batches, which other work of the machine disturbs
/// least.
struct decision_cost
{
    double arrival_ns = 0;
    /// An answer, and the placement of the request that gets its slot.
    double answer_ns = 0;
    /// A call of poll().
    double round_us = 0;
};

class cost_model
{
public:
    explicit cost_model(const cost_options& options)
        : options_(options)
        , queue_({{0.2, 72, 10s}, 400, 1})
        , random_{options.seed}
    {
        std::vector<state::registered_upstream> list;
        for (std::size_t n = 0; n < options.upstreams; ++n) {
            state::registered_upstream it;
            it.id = "upstream-" + std::to_string(n);
            it.service = "s";
            it.data_centre = "dc" + std::to_string(n % 4);
            it.slots = slots_per_upstream;
            it.address = {0x7f000001, static_cast<std::uint16_t>(1000 + n)};
            list.push_back(std::move(it));
        }
        queue_.set_upstreams(list, now_);
        for (std::size_t n = 0; n < options.workspaces; ++n) {
            workspaces_.push_back("workspace-" + std::to_string(n));
        }
    }

    decision_cost run()
    {
        const auto slots = options_.upstreams * slots_per_upstream;
        const auto gap = service_time / static_cast<std::int64_t>(slots);
        arrive(slots + options_.line);
        std::vector<double> arrivals;
        std::vector<double> answers;
        std::vector<double> rounds;
        const auto began = clock::now();
        auto next_round = now_;
        while (clock::now() - began < measured_time ||
               rounds.size() < least_rounds) {
            now_ += gap * static_cast<std::int64_t>(batch);
            if (now_ >= next_round) {
                next_round = now_ + round_length;
                rounds.push_back(time([&] { keep(queue_.poll(now_)); }) / 1e3);
            }
            answers.push_back(time([&] { answer(batch); }) / batch);
            prepare(batch);
            arrivals.push_back(time([&] { ask(); }) / batch);
        }
        return {percentile(std::move(arrivals), undisturbed),
                percentile(std::move(answers), undisturbed),
                percentile(std::move(rounds), undisturbed)};
    }

    /// Requests that wait; the same as at the start if nothing was refused.
    std::size_t waiting() const
    {
        return queue_.waiting();
    }

private:
    using clock = std::chrono::steady_clock;

    static constexpr state::duration service_time = 100ms;
    static constexpr state::duration round_length = 25ms;
    /// Decisions that are timed together: the clock costs little against them,
    /// and the line stays near its length.
    static constexpr std::size_t batch = 16;
    static constexpr std::size_t least_rounds = 20;
    static constexpr double undisturbed = 0.1;
    static constexpr auto measured_time = 300ms;

    template <class Work>
    static double time(Work work)
    {
        const auto began = clock::now();
        work();
        return std::chrono::duration<double, std::nano>(clock::now() - began)
            .count();
    }

    state::place_request next_request()
    {
        state::place_request out;
        out.service = "s";
        out.route = "r";
        out.host = "host-1";
        out.data_centre = "dc1";
        // No request is refused or late, whatever the length of the line.
        out.time_left = 1h;
        out.target_left = 1h;
        if (!workspaces_.empty()) {
            const auto of = workspaces_.size() + 19;
            const auto n = random_.next() % of;
            out.workspace = workspaces_[n < 20 ? 0 : n - 19];
        }
        return out;
    }

    void prepare(std::size_t n)
    {
        requests_.clear();
        for (; n > 0; --n) {
            requests_.push_back(next_request());
        }
    }
    void ask()
    {
        for (const auto& it : requests_) {
            if (const auto got = queue_.request_place(++last_, it, now_)) {
                keep(last_, *got);
            }
        }
    }
    void arrive(std::size_t n)
    {
        prepare(n);
        ask();
    }

    void answer(std::size_t n)
    {
        for (; n > 0 && !sent_.empty(); --n) {
            const auto number = sent_.front();
            sent_.pop_front();
            queue_.report(
                number, {state::send_result::answered, service_time, {}}, now_);
            keep(queue_.place_waiting(now_));
        }
    }

    void keep(std::uint64_t number, const state::place_answer& got)
    {
        if (std::holds_alternative<state::place>(got)) {
            sent_.push_back(number);
        }
    }
    void keep(const std::vector<coordination::dispatch_queue::answer>& list)
    {
        for (const auto& it : list) {
            keep(it.number, it.decision);
        }
    }

    cost_options options_;
    coordination::dispatch_queue queue_;
    seeded_random random_;
    state::time_point now_{1000s};
    std::vector<std::string> workspaces_;
    std::vector<state::place_request> requests_;
    std::uint64_t last_ = 0;
    /// Requests at upstreams, the oldest first.
    std::deque<std::uint64_t> sent_;
};

inline decision_cost measure_cost(const cost_options& options)
{
    return cost_model(options).run();
}

} // namespace oriolegrade::bench

#endif
