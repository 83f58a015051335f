// Ways to place requests, compared by the dispatch experiment: the dispatcher
// of this project, two that decide without knowledge of the load, and a perfect
// one that knows the state of every upstream.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_PLACEMENTS_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_PLACEMENTS_HPP

#include "modelled_upstreams.hpp"

#include <oriolegrade/coordination/dispatch_queue.hpp>
#include <oriolegrade/coordination/host_seed.hpp>
#include <oriolegrade/coordination/waiting_line.hpp>

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace oriolegrade::bench {

using placed = coordination::dispatch_queue::answer;

/// Decides where requests go. Numbers of requests are never reused.
template <class T>
concept placement = requires(T it, std::uint64_t number,
                             const state::place_request& request,
                             const state::send_report& report,
                             state::time_point now)
{
    /// One way between a host and the place of the decision.
    {
        T::trip
        } -> std::convertible_to<state::duration>;
    {
        it.ask(number, request, now)
        } -> std::same_as<std::optional<state::place_answer>>;
    it.report(number, report, now);
    {
        it.place_waiting(now)
        } -> std::same_as<std::vector<placed>>;
    {
        it.poll(now)
        } -> std::same_as<std::vector<placed>>;
    it.registered(now);
    it.start_anew(now);
};

/// The dispatch queue of this project.
class queue_placement
{
public:
    static constexpr std::string_view name = "dispatcher";
    static constexpr state::duration trip = 1ms;

    explicit queue_placement(const modelled_upstreams& upstreams)
        : upstreams_(upstreams)
        , queue_(options())
    {}

    std::optional<state::place_answer> ask(std::uint64_t number,
                                           const state::place_request& request,
                                           state::time_point now)
    {
        return queue_.request_place(number, request, now);
    }
    void report(std::uint64_t number, const state::send_report& report,
                state::time_point now)
    {
        if (report.unused) {
            queue_.take_back(number, now);
        } else {
            queue_.report(number, report, now);
        }
    }
    std::vector<placed> place_waiting(state::time_point now)
    {
        return queue_.place_waiting(now);
    }
    std::vector<placed> poll(state::time_point now)
    {
        return queue_.poll(now);
    }
    void registered(state::time_point now)
    {
        queue_.set_upstreams(upstreams_.registered(), now);
    }
    void start_anew(state::time_point now)
    {
        queue_ = coordination::dispatch_queue(options());
        registered(now);
        for (std::size_t n = 0; n < upstreams_.size(); ++n) {
            queue_.adopt(upstreams_.at(n).spec.id, upstreams_.at(n).running,
                         now);
        }
    }
    bool is_held(std::size_t n, state::time_point now) const
    {
        const auto* it = queue_.find(upstreams_.at(n).spec.id);
        return it != nullptr &&
               it->standing(now) == coordination::upstream_standing::held;
    }

private:
    static coordination::dispatch_options options()
    {
        // The users' budget of extra sends.
        return {{0.2, 72, 10s}, 400, coordination::host_seed("dispatcher")};
    }

    const modelled_upstreams& upstreams_;
    coordination::dispatch_queue queue_;
};

/// Common parts of placements without a line.
class line_free_placement
{
public:
    static constexpr state::duration trip{};

    line_free_placement(const modelled_upstreams& upstreams, std::uint64_t seed)
        : upstreams_(upstreams)
        , random_{seed}
    {}

    std::vector<placed> place_waiting(state::time_point /*now*/)
    {
        return {};
    }
    std::vector<placed> poll(state::time_point /*now*/)
    {
        return {};
    }
    void registered(state::time_point /*now*/)
    {
        list_ = upstreams_.registered();
        std::erase_if(list_, [](const auto& it) {
            return it.state != state::registration_state::ready;
        });
    }
    void start_anew(state::time_point now)
    {
        registered(now);
    }

protected:
    const state::registered_upstream&
    any_of(const std::vector<std::string>& tried)
    {
        // A request that was everywhere goes to some upstream again.
        constexpr int draws = 8;
        const auto* out = &list_[random_.next() % list_.size()];
        for (int n = 0;
             n < draws && std::count(tried.begin(), tried.end(), out->id) != 0;
             ++n) {
            out = &list_[random_.next() % list_.size()];
        }
        return *out;
    }
    static state::place place_at(const state::registered_upstream& it)
    {
        return {it.id, it.address, 1, std::nullopt, it.born};
    }

    const modelled_upstreams& upstreams_;

private:
    seeded_random random_;
    std::vector<state::registered_upstream> list_;
};

class random_placement : public line_free_placement
{
public:
    static constexpr std::string_view name = "random";

    explicit random_placement(const modelled_upstreams& upstreams)
        : line_free_placement(upstreams, 3)
    {}

    std::optional<state::place_answer> ask(std::uint64_t /*number*/,
                                           const state::place_request& request,
                                           state::time_point /*now*/)
    {
        return place_at(any_of(request.tried));
    }
    void report(std::uint64_t /*number*/, const state::send_report& /*report*/,
                state::time_point /*now*/)
    {}
};

/// The one with fewer requests in flight of two, counted over all hosts.
class two_choices_placement : public line_free_placement
{
public:
    static constexpr std::string_view name = "two choices";

    explicit two_choices_placement(const modelled_upstreams& upstreams)
        : line_free_placement(upstreams, 4)
    {}

    std::optional<state::place_answer> ask(std::uint64_t number,
                                           const state::place_request& request,
                                           state::time_point /*now*/)
    {
        const auto& a = any_of(request.tried);
        const auto& b = any_of(request.tried);
        const auto& it = in_flight_[b.id] < in_flight_[a.id] ? b : a;
        ++in_flight_[it.id];
        sent_to_[number] = it.id;
        return place_at(it);
    }
    void report(std::uint64_t number, const state::send_report& /*report*/,
                state::time_point /*now*/)
    {
        const auto found = sent_to_.find(number);
        if (found != sent_to_.end()) {
            --in_flight_[found->second];
            sent_to_.erase(found);
        }
    }
    void start_anew(state::time_point now)
    {
        in_flight_.clear();
        sent_to_.clear();
        registered(now);
    }

private:
    std::unordered_map<std::string, std::uint32_t> in_flight_;
    std::unordered_map<std::uint64_t, std::string> sent_to_;
};

/// Knows free slots and spells at any time, and needs no time to decide. It
/// cannot know which answers are lost.
class perfect_placement
{
public:
    static constexpr std::string_view name = "perfect";
    static constexpr state::duration trip{};

    explicit perfect_placement(const modelled_upstreams& upstreams)
        : upstreams_(upstreams)
    {}

    std::optional<state::place_answer> ask(std::uint64_t number,
                                           const state::place_request& request,
                                           state::time_point now)
    {
        line_.push(number, {request, now + request.time_left,
                            now + request.target_left});
        return std::nullopt;
    }
    void report(std::uint64_t number, const state::send_report& /*report*/,
                state::time_point /*now*/)
    {
        line_.remove(number);
    }
    /// One decision at a time, as the next one depends on its effect.
    std::vector<placed> place_waiting(state::time_point now)
    {
        std::vector<placed> out;
        const auto usual = [](const std::string& route) {
            return work(route);
        };
        const auto visit = [&](std::uint64_t number,
                               const coordination::waiting_request& it) {
            if (!out.empty()) {
                return coordination::visit_result::stop;
            }
            if (now + work(it.request.route) > it.deadline) {
                out.push_back(
                    {number, state::place_refusal{
                                 state::place_refusal_reason::overloaded, 1s}});
                return coordination::visit_result::remove;
            }
            const auto n = free_upstream(now);
            if (!n) {
                return coordination::visit_result::stop;
            }
            const auto& spec = upstreams_.at(*n).spec;
            out.push_back({number, state::place{spec.id, spec.address, 1,
                                                std::nullopt, spec.born}});
            return coordination::visit_result::remove;
        };
        line_.visit(coordination::line_part::in_time, now, usual, visit);
        line_.visit(coordination::line_part::late, now, usual, visit);
        return out;
    }
    std::vector<placed> poll(state::time_point now)
    {
        return place_waiting(now);
    }
    void registered(state::time_point /*now*/) {}
    void start_anew(state::time_point /*now*/)
    {
        line_ = {};
    }

private:
    static state::duration work(const std::string& route)
    {
        for (const auto& it : request_kinds) {
            if (it.name == route) {
                return it.work;
            }
        }
        return {};
    }
    std::optional<std::size_t> free_upstream(state::time_point now) const
    {
        std::optional<std::size_t> best;
        double best_slowness = 0;
        for (std::size_t n = 0; n < upstreams_.size(); ++n) {
            const auto& it = upstreams_.at(n);
            if (it.gone || !upstreams_.has_slot(n) ||
                it.spec.state != state::registration_state::ready ||
                upstreams_.in_spell(n, now)) {
                continue;
            }
            const auto slowness = upstreams_.slowness(n, now);
            if (!best || slowness < best_slowness) {
                best = n;
                best_slowness = slowness;
            }
        }
        return best;
    }

    const modelled_upstreams& upstreams_;
    coordination::waiting_line line_;
};

static_assert(placement<queue_placement>);
static_assert(placement<random_placement>);
static_assert(placement<two_choices_placement>);
static_assert(placement<perfect_placement>);

} // namespace oriolegrade::bench

#endif
