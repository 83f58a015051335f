// Callers, hosts and upstreams of one service in virtual time, with a placement
// that decides where requests go. The same seed gives the same figures.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_DISPATCH_MODEL_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_DISPATCH_MODEL_HPP

#include "dispatch_outcome.hpp"
#include "dispatch_patterns.hpp"
#include "modelled_upstreams.hpp"
#include "placements.hpp"
#include "seeded_random.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace oriolegrade::bench {

struct dispatch_options
{
    load_pattern pattern = load_pattern::calm;
    std::size_t hosts = 41;
    std::size_t upstreams = 20;
    /// Time in which callers come; those of the first part are not counted.
    state::duration length = 25s;
    state::duration uncounted = 5s;
    /// When the surge, the release or the loss begins.
    state::duration change_at = 10s;
    /// Arrivals as a share of the capacity; that of the pattern when empty.
    std::optional<double> load = {};
    /// Workspaces that send alike, but for the first; 0 for none.
    std::size_t workspaces = 0;
    /// What the first workspace sends, in loads of another.
    double hot_factor = 1;
    /// The placement is told no workspaces.
    bool hides_workspaces = false;
    std::uint64_t seed = 1;
};

template <placement Placement>
class dispatch_model
{
public:
    explicit dispatch_model(const dispatch_options& options)
        : options_(options)
        , effects_(effects_of(options.pattern))
        , upstreams_(options.upstreams, effects_, options.seed)
        , placement_(upstreams_)
        , random_{options.seed}
        , placement_random_{options.seed + 1}
        , workspace_random_{options.seed + 2}
    {
        effects_.load = options.load.value_or(effects_.load);
        out_.workspaces.resize(options.workspaces);
    }

    dispatch_outcome run()
    {
        out_.spans.resize(static_cast<std::size_t>(
            (options_.length + drain_time) / span_length));
        placement_.registered(now_);
        schedule(start, event_kind::caller_arrives);
        schedule(start, event_kind::tick);
        plan_changes();
        const auto end = start + options_.length + drain_time;
        while (!events_.empty() && events_.top().at < end) {
            const auto it = events_.top();
            events_.pop();
            now_ = it.at;
            handle(it);
        }
        if (held_samples_ > 0) {
            out_.held_mean /= static_cast<double>(held_samples_);
        }
        return std::move(out_);
    }

private:
    enum class event_kind : std::uint8_t
    {
        caller_arrives,
        /// A caller sends its request, first or again.
        attempt,
        ask_arrives,
        answer_arrives,
        hedge_due,
        send_ends,
        caller_leaves,
        deadline,
        tick,
        replace_upstream,
        upstream_gone,
        register_read,
        hosts_end,
        hosts_start,
        dispatcher_ends,
    };

    struct event
    {
        state::time_point at;
        std::uint64_t order;
        event_kind kind;
        std::size_t index;

        bool operator<(const event& b) const
        {
            return std::pair(b.at, b.order) < std::pair(at, order);
        }
    };

    struct caller
    {
        const request_kind* kind;
        /// Time that an upstream needs, in nanoseconds.
        double work;
        std::size_t span;
        std::size_t host;
        /// One that does not exist while there are none.
        std::size_t workspace;
        bool counted;
        state::time_point arrived;
        state::time_point attempted;
        state::time_point started{};
        std::uint32_t eager_returns = 0;
        std::uint32_t sends = 0;
        bool finished = false;
        /// A send ended without a proof that the request did not run.
        bool may_have_run = false;
        std::vector<std::string> tried;
        /// Indices of asks and sends in progress.
        std::vector<std::size_t> asks;
        std::vector<std::size_t> active;
    };

    struct ask
    {
        std::size_t caller;
        state::send_kind kind;
        std::uint32_t epoch;
        bool decided = false;
        state::place_answer answer;
    };

    struct send
    {
        std::size_t caller;
        std::uint64_t number;
        std::size_t upstream;
        std::uint32_t epoch;
        state::time_point began;
        state::send_result result = state::send_result::answered;
        /// It takes a slot of the upstream.
        bool running = false;
        bool waiting = false;
        bool ended = false;
    };

    static constexpr state::time_point start{1000s};
    static constexpr state::duration drain_time = 8s;
    static constexpr state::duration tick_length = 25ms;
    static constexpr state::duration error_time = 3ms;
    static constexpr state::duration replace_every = 250ms;
    static constexpr state::duration drain_upstream = 2s;
    static constexpr state::duration register_lag = 500ms;
    static constexpr state::duration hosts_down = 500ms;
    /// Time after which a host asks the next dispatcher.
    static constexpr state::duration ask_again = 80ms;
    static constexpr std::uint32_t max_sends = 3;
    static constexpr std::uint32_t max_eager_returns = 3;

    void schedule(state::time_point at, event_kind kind, std::size_t index = 0)
    {
        events_.push({at, ++order_, kind, index});
    }
    double draw()
    {
        return coordination::uniform(placement_random_);
    }

    void plan_changes()
    {
        const auto at = start + options_.change_at;
        const auto replaced = static_cast<std::size_t>(
            effects_.replaced_share * static_cast<double>(options_.upstreams));
        for (std::size_t n = 0; n < replaced; ++n) {
            schedule(at + n * replace_every, event_kind::replace_upstream, n);
        }
        if (effects_.loses_hosts) {
            schedule(at, event_kind::hosts_end);
            schedule(at + hosts_down, event_kind::hosts_start);
        }
        if (effects_.loses_dispatcher) {
            schedule(at, event_kind::dispatcher_ends);
        }
    }

    void handle(const event& it)
    {
        switch (it.kind) {
        case event_kind::caller_arrives:
            return caller_arrives();
        case event_kind::attempt:
            return attempt(it.index);
        case event_kind::ask_arrives:
            return ask_arrives(it.index);
        case event_kind::answer_arrives:
            return answer_arrives(it.index);
        case event_kind::hedge_due:
            return hedge(it.index);
        case event_kind::send_ends:
            return send_ends(it.index);
        case event_kind::caller_leaves:
            return give_up(it.index, true);
        case event_kind::deadline:
            return give_up(it.index, false);
        case event_kind::tick:
            return tick();
        case event_kind::replace_upstream:
            return replace(it.index);
        case event_kind::upstream_gone:
            upstreams_.at(it.index).gone = true;
            return schedule(now_ + register_lag, event_kind::register_read);
        case event_kind::register_read:
            return placement_.registered(now_);
        case event_kind::hosts_end:
            return hosts_end();
        case event_kind::hosts_start:
            hosts_up_ = true;
            out_.hosts_ready = now_ - start;
            return placement_.start_anew(now_);
        case event_kind::dispatcher_ends:
            return dispatcher_ends();
        }
    }

    // Callers.

    double load() const
    {
        const auto at = now_ - start;
        const bool surge = at >= options_.change_at &&
                           at < options_.change_at + effects_.surge;
        return surge ? effects_.surge_load : effects_.load;
    }

    void caller_arrives()
    {
        if (now_ < start + options_.length) {
            const auto rate = load() * static_cast<double>(options_.upstreams) *
                              slots_per_upstream /
                              static_cast<double>(mean_work().count());
            schedule(now_ + random_.exponential(state::duration(
                                static_cast<std::int64_t>(1.0 / rate))),
                     event_kind::caller_arrives);
        }
        caller it{};
        it.kind = &request_kinds[coordination::uniform(random_) <
                                         request_kinds[0].share
                                     ? 0
                                     : 1];
        it.work = 0.5 * static_cast<double>(
                            it.kind->work.count() +
                            random_.exponential(it.kind->work).count());
        const bool leaves =
            coordination::uniform(random_) < effects_.leaving_share;
        it.span = static_cast<std::size_t>((now_ - start) / span_length);
        it.counted = now_ - start >= options_.uncounted;
        it.arrived = now_;
        if (coordination::uniform(random_) < effects_.eager_share) {
            it.eager_returns = max_eager_returns;
        }
        it.workspace = draw_workspace();
        const auto n = callers_.size();
        callers_.push_back(std::move(it));
        if (callers_[n].counted) {
            count(n, &kind_outcome::offered);
            ++out_.spans[callers_[n].span].offered;
        }
        if (leaves) {
            schedule(now_ + callers_[n].kind->target / 2,
                     event_kind::caller_leaves, n);
        }
        schedule(now_ + callers_[n].kind->time_limit, event_kind::deadline, n);
        attempt(n);
    }

    std::size_t draw_workspace()
    {
        if (options_.workspaces == 0) {
            return 0;
        }
        const auto others = static_cast<double>(options_.workspaces - 1);
        const auto at = coordination::uniform(workspace_random_) *
                        (options_.hot_factor + others);
        return at < options_.hot_factor
                   ? 0
                   : 1 + static_cast<std::size_t>(at - options_.hot_factor);
    }

    void count(std::size_t n, std::size_t kind_outcome::*what)
    {
        const auto& it = callers_[n];
        if (!it.counted) {
            return;
        }
        ++(out_.kinds[static_cast<std::size_t>(it.kind -
                                               request_kinds.data())].*
           what);
        if (options_.workspaces > 0) {
            ++(out_.workspaces[it.workspace].*what);
        }
    }

    void attempt(std::size_t n)
    {
        auto& it = callers_[n];
        if (it.finished) {
            return;
        }
        if (!hosts_up_) {
            // Nobody listens: the caller tries again after a moment.
            return schedule(
                now_ + 100ms +
                    std::chrono::duration_cast<state::duration>(draw() * 500ms),
                event_kind::attempt, n);
        }
        it.attempted = now_;
        it.host = placement_random_.next() % options_.hosts;
        it.tried.clear();
        it.sends = 0;
        it.may_have_run = false;
        make_ask(n, state::send_kind::first);
    }

    void make_ask(std::size_t n, state::send_kind kind)
    {
        callers_[n].asks.push_back(asks_.size());
        schedule(now_ + Placement::trip, event_kind::ask_arrives, asks_.size());
        asks_.push_back({n, kind, epoch_, false, {}});
    }

    state::place_request request_of(const ask& from) const
    {
        const auto& it = callers_[from.caller];
        state::place_request out;
        out.service = "s";
        out.route = std::string(it.kind->name);
        if (options_.workspaces > 0 && !options_.hides_workspaces) {
            out.workspace = "workspace-" + std::to_string(it.workspace);
        }
        out.kind = from.kind;
        out.repeatable = it.kind->repeatable;
        out.rank = it.kind->rank;
        out.time_left = it.arrived + it.kind->time_limit - now_;
        out.target_left = it.arrived + it.kind->target - now_;
        out.host = "host-" + std::to_string(it.host);
        out.data_centre = "dc" + std::to_string(it.host % 4);
        out.tried = it.tried;
        return out;
    }

    void ask_arrives(std::size_t n)
    {
        if (asks_[n].epoch != epoch_ || callers_[asks_[n].caller].finished) {
            return;
        }
        if (auto answer = placement_.ask(n, request_of(asks_[n]), now_)) {
            decide(n, std::move(*answer));
        } else {
            place_waiting();
        }
    }

    void place_waiting()
    {
        for (auto list = placement_.place_waiting(now_); !list.empty();
             list = placement_.place_waiting(now_)) {
            for (auto& it : list) {
                decide(it.number, std::move(it.decision));
            }
        }
    }

    void decide(std::size_t n, state::place_answer answer)
    {
        asks_[n].decided = true;
        asks_[n].answer = std::move(answer);
        if (Placement::trip == state::duration{}) {
            answer_arrives(n);
        } else {
            schedule(now_ + Placement::trip, event_kind::answer_arrives, n);
        }
    }

    void answer_arrives(std::size_t n)
    {
        const auto it = asks_[n];
        if (it.epoch != epoch_) {
            return;
        }
        std::erase(callers_[it.caller].asks, n);
        if (const auto* place = std::get_if<state::place>(&it.answer)) {
            if (callers_[it.caller].finished) {
                state::send_report report;
                report.unused = true;
                placement_.report(n, report, now_);
                return place_waiting();
            }
            return begin_send(n, it, *place);
        }
        if (!callers_[it.caller].finished &&
            it.kind != state::send_kind::hedge) {
            refused(it.caller, std::get<state::place_refusal>(it.answer));
        }
    }

    void refused(std::size_t n, const state::place_refusal& refusal)
    {
        auto& it = callers_[n];
        if (it.may_have_run) {
            return finish(n, &kind_outcome::failed);
        }
        if (it.counted) {
            out_.refusals_ms.push_back(to_ms(now_ - it.attempted));
        }
        const bool eager = it.eager_returns > 0;
        it.eager_returns -= eager ? 1 : 0;
        const auto back = now_ + (eager ? 10ms : refusal.retry_after);
        if (back + it.kind->work > it.arrived + it.kind->time_limit) {
            return finish(n, &kind_outcome::refused);
        }
        const auto span =
            static_cast<std::size_t>((back - start) / span_length);
        if (span < out_.spans.size()) {
            ++out_.spans[span].returned;
        }
        schedule(back, event_kind::attempt, n);
    }

    void finish(std::size_t n, std::size_t kind_outcome::*what)
    {
        auto& it = callers_[n];
        it.finished = true;
        count(n, what);
        for (const auto number : std::exchange(it.asks, {})) {
            if (!asks_[number].decided) {
                placement_.report(
                    number, {state::send_result::cancelled, {}, {}}, now_);
            }
        }
        for (const auto number : std::exchange(it.active, {})) {
            cancel(number, state::send_result::cancelled);
        }
        place_waiting();
    }

    void give_up(std::size_t n, bool leaves)
    {
        auto& it = callers_[n];
        if (it.finished) {
            return;
        }
        if (!leaves) {
            for (const auto number : std::exchange(it.active, {})) {
                cancel(number, state::send_result::expired);
            }
        }
        finish(n, leaves ? &kind_outcome::left : &kind_outcome::failed);
    }

    // Sends.

    void begin_send(std::size_t number, const ask& from,
                    const state::place& place)
    {
        auto& it = callers_[from.caller];
        const auto n = sends_.size();
        const auto to = upstreams_.index_of(place.upstream);
        sends_.push_back({from.caller, number, to, epoch_, now_});
        it.active.push_back(n);
        it.tried.push_back(place.upstream);
        ++it.sends;
        const bool failing = upstreams_.in_spell(to, now_);
        if (!it.kind->repeatable) {
            ++out_.single_sends;
            out_.single_sends_to_failing += failing ? 1 : 0;
        }
        if (place.hedge_after) {
            schedule(now_ + *place.hedge_after, event_kind::hedge_due, n);
        }
        auto& upstream = upstreams_.at(to);
        auto& sent = sends_.back();
        if (upstream.gone) {
            return end_soon(n, state::send_result::unreachable);
        }
        if (failing && draw() < modelled_upstreams::spell_failure_rate) {
            return end_soon(n, effects_.spell_result);
        }
        if (upstreams_.has_slot(to)) {
            return start_work(n);
        }
        if (upstream.waiting.size() >= modelled_upstreams::backlog) {
            return end_soon(n, state::send_result::refused);
        }
        sent.waiting = true;
        upstream.waiting.push_back(n);
    }

    void end_soon(std::size_t n, state::send_result result)
    {
        sends_[n].result = result;
        schedule(now_ + error_time, event_kind::send_ends, n);
    }

    void start_work(std::size_t n)
    {
        auto& it = sends_[n];
        auto& from = callers_[it.caller];
        it.waiting = false;
        it.running = true;
        ++upstreams_.at(it.upstream).running;
        if (from.started == state::time_point{}) {
            from.started = now_;
        }
        const auto work = from.work * upstreams_.slowness(it.upstream, now_);
        if (draw() < effects_.lost_answer_share) {
            it.result = state::send_result::lost;
        }
        schedule(now_ + state::duration(static_cast<std::int64_t>(work)),
                 event_kind::send_ends, n);
    }

    void free_slot(std::size_t n)
    {
        auto& it = sends_[n];
        if (!std::exchange(it.running, false)) {
            return;
        }
        auto& upstream = upstreams_.at(it.upstream);
        --upstream.running;
        while (!upstream.waiting.empty() && upstreams_.has_slot(it.upstream)) {
            const auto next = upstream.waiting.front();
            upstream.waiting.pop_front();
            if (sends_[next].waiting) {
                start_work(next);
            }
        }
    }

    /// The host closes the connection, and the upstream ends the work.
    void cancel(std::size_t n, state::send_result result)
    {
        if (std::exchange(sends_[n].ended, true)) {
            return;
        }
        sends_[n].waiting = false;
        free_slot(n);
        report(n, result);
    }

    void report(std::size_t n, state::send_result result)
    {
        const auto& it = sends_[n];
        if (it.epoch != epoch_) {
            return;
        }
        state::send_report what{result, now_ - it.began, {}};
        if (result == state::send_result::answered) {
            // The load counts the request that is answered.
            const auto& upstream = upstreams_.at(it.upstream);
            what.load = state::occupancy_report{
                upstream.running + 1,
                static_cast<std::uint32_t>(upstream.waiting.size()),
                upstream.spec.slots};
        }
        placement_.report(it.number, what, now_);
    }

    void send_ends(std::size_t n)
    {
        if (std::exchange(sends_[n].ended, true)) {
            return;
        }
        free_slot(n);
        const auto it = sends_[n];
        report(n, it.result);
        std::erase(callers_[it.caller].active, n);
        if (!callers_[it.caller].finished && it.epoch == epoch_) {
            judge(it);
        }
        place_waiting();
    }

    static bool never_ran(state::send_result result)
    {
        return result == state::send_result::refused ||
               result == state::send_result::unreachable ||
               result == state::send_result::misdirected;
    }

    void judge(const send& it)
    {
        auto& from = callers_[it.caller];
        if (it.result == state::send_result::answered) {
            if (from.counted) {
                ++out_.spans[from.span].served;
                out_.served_work +=
                    state::duration(static_cast<std::int64_t>(from.work));
                out_.waits_ms.push_back(to_ms(from.started - from.arrived));
            }
            return finish(it.caller, now_ <= from.arrived + from.kind->target
                                         ? &kind_outcome::in_target
                                         : &kind_outcome::late);
        }
        from.may_have_run = from.may_have_run || !never_ran(it.result);
        if (!from.active.empty()) {
            return;
        }
        const bool may_repeat = never_ran(it.result) || from.kind->repeatable;
        if (may_repeat && from.sends < max_sends) {
            return make_ask(it.caller, state::send_kind::repeat);
        }
        if (from.may_have_run) {
            return finish(it.caller, &kind_outcome::failed);
        }
        refused(it.caller, {state::place_refusal_reason::overloaded, 1s});
    }

    void hedge(std::size_t n)
    {
        const auto& it = sends_[n];
        if (!it.ended && it.epoch == epoch_ && !callers_[it.caller].finished &&
            callers_[it.caller].sends < max_sends) {
            make_ask(it.caller, state::send_kind::hedge);
        }
    }

    // Changes.

    void replace(std::size_t n)
    {
        upstreams_.at(n).spec.state = state::registration_state::draining;
        upstreams_.add(now_, modelled_upstreams::warm_up);
        schedule(now_ + register_lag, event_kind::register_read);
        schedule(now_ + drain_upstream, event_kind::upstream_gone, n);
    }

    /// Callers whose requests were in progress come back within a second.
    void hosts_end()
    {
        ++epoch_;
        hosts_up_ = false;
        for (std::size_t n = 0; n < callers_.size(); ++n) {
            auto& it = callers_[n];
            if (it.finished) {
                continue;
            }
            const bool in_progress = !it.asks.empty() || !it.active.empty();
            for (const auto number : std::exchange(it.active, {})) {
                // The connection has ended, and the upstream ends the work.
                sends_[number].ended = true;
                sends_[number].waiting = false;
                free_slot(number);
            }
            it.asks.clear();
            if (in_progress) {
                schedule(now_ + std::chrono::duration_cast<state::duration>(
                                    draw() * 1s),
                         event_kind::attempt, n);
            }
        }
    }

    /// Requests in flight go on; those that wait are asked for again.
    void dispatcher_ends()
    {
        placement_.start_anew(now_);
        for (std::size_t n = 0; n < callers_.size(); ++n) {
            for (const auto number : std::exchange(callers_[n].asks, {})) {
                const auto kind = asks_[number].kind;
                asks_[number].epoch = ~std::uint32_t{};
                if (kind == state::send_kind::hedge) {
                    continue;
                }
                callers_[n].asks.push_back(asks_.size());
                schedule(now_ + ask_again, event_kind::ask_arrives,
                         asks_.size());
                asks_.push_back({n, kind, epoch_, false, {}});
            }
        }
    }

    void tick()
    {
        schedule(now_ + tick_length, event_kind::tick);
        if (!hosts_up_) {
            return;
        }
        for (auto& it : placement_.poll(now_)) {
            decide(it.number, std::move(it.decision));
        }
        place_waiting();
        if constexpr (requires { placement_.is_held(0, now_); }) {
            if (now_ - start >= options_.uncounted &&
                now_ - start < options_.length) {
                sample_holds();
            }
        }
    }

    void sample_holds()
    {
        std::size_t sound = 0;
        std::size_t held = 0;
        in_spell_since_.resize(upstreams_.size());
        for (std::size_t n = 0; n < upstreams_.size(); ++n) {
            const bool is_held = placement_.is_held(n, now_);
            if (upstreams_.is_sound(n, now_) && !upstreams_.is_slow(n)) {
                ++sound;
                held += is_held ? 1 : 0;
            }
            note_spell(n, is_held);
        }
        const auto share = static_cast<double>(held) /
                           static_cast<double>(std::max<std::size_t>(sound, 1));
        out_.held_mean += share;
        out_.held_max = std::max(out_.held_max, share);
        ++held_samples_;
    }

    void note_spell(std::size_t n, bool is_held)
    {
        auto& since = in_spell_since_[n];
        if (!upstreams_.in_spell(n, now_)) {
            since = {};
            return;
        }
        if (since == state::time_point{}) {
            since = now_;
        }
        if (is_held && since != state::time_point::max()) {
            out_.detections_ms.push_back(to_ms(now_ - since));
            since = state::time_point::max();
        }
    }

    dispatch_options options_;
    pattern_effects effects_;
    modelled_upstreams upstreams_;
    Placement placement_;
    /// Arrivals and what each caller needs: the same for every placement.
    seeded_random random_;
    /// What depends on the placement.
    seeded_random placement_random_;
    /// Apart from the others, so that workspaces change no arrival.
    seeded_random workspace_random_;
    state::time_point now_ = start;
    std::uint64_t order_ = 0;
    /// Counts losses of all hosts; asks and sends of an earlier one are dead.
    std::uint32_t epoch_ = 0;
    bool hosts_up_ = true;
    std::size_t held_samples_ = 0;
    std::priority_queue<event> events_;
    std::vector<caller> callers_;
    std::vector<ask> asks_;
    std::vector<send> sends_;
    /// Since when an upstream is in its spell; max() once it was held.
    std::vector<state::time_point> in_spell_since_;
    dispatch_outcome out_;
};

} // namespace oriolegrade::bench

#endif
