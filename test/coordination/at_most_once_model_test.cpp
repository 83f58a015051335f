// Model test of at-most-once execution: runs random schedules of several hosts
// with faults, repeatable by seed. Guards against requests that run twice,
// false not-run answers and replays that differ from the first answer, for any
// order of messages, pauses, crashes and hand-overs.

#include "fakes/fake_claim_log.hpp"

#include <oriolegrade/coordination/execution_decision.hpp>
#include <oriolegrade/coordination/incarnation_set.hpp>

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace {

using namespace oriolegrade;
using namespace std::chrono_literals;
using coordination::held_incarnation_ptr;
using state::run_outcome;

using writer_type =
    coordination::claim_writer<fakes::fake_claim_log, fakes::batch_index_codec>;

constexpr auto token_lifetime = 20s;
// Longer than any schedule, so that a key runs at most once per schedule.
constexpr std::uint64_t key_lifetime_ms = 3'600'000;

/// Logical request of a caller, identified by a token or a key.
struct request
{
    std::optional<state::token> token;
    state::digest256 key;
    state::identifier fingerprint;
    int runs = 0;
    int attempts_left = 8;
    bool reported_not_run = false;
    std::string answer;
};

struct host
{
    std::shared_ptr<coordination::incarnation_set> held;
    std::shared_ptr<writer_type> writer;
    bool stopping = false;
};

struct statistics
{
    std::array<std::uint64_t, 3> reported{};
    std::uint64_t runs = 0;
    std::uint64_t replays = 0;
    std::uint64_t imports = 0;
    std::uint64_t incomplete_reads = 0;
    std::uint64_t given_up = 0;
};

class schedule
{
public:
    schedule(unsigned seed, statistics& stats)
        : random_(seed)
        , stats_(stats)
    {
        log_.next_fault = [this] {
            return pick_append_fault();
        };
        for (auto& it : hosts_) {
            start_process(it);
        }
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            create_request(i);
        }
    }

    void run()
    {
        for (int step = 0; step < 400 && !::testing::Test::HasFailure();
             ++step) {
            now_ += chance(4) ? std::chrono::milliseconds(below(30'000))
                              : std::chrono::milliseconds(below(50));
            if (chance(30)) {
                inject_fault();
            }
            pump(hosts_[below(hosts_.size())]);
            if (!events_.empty()) {
                const auto at = below(events_.size());
                auto event = std::move(events_[at]);
                events_.erase(events_.begin() + static_cast<long>(at));
                event();
            }
        }
    }

private:
    using event = std::function<void()>;

    std::size_t below(std::size_t n)
    {
        return random_() % n;
    }

    bool chance(unsigned percent)
    {
        return below(100) < percent;
    }

    void post(event it)
    {
        events_.push_back(std::move(it));
    }

    /// Posts an event that is dropped if the host's process ends first.
    void post_on(const host& on, event it)
    {
        post([alive = std::weak_ptr(on.held), it = std::move(it)] {
            if (alive.lock()) {
                it();
            }
        });
    }

    fakes::claim_append_fault pick_append_fault()
    {
        if (log_down_) {
            return chance(50) ? fakes::claim_append_fault::refuse
                              : fakes::claim_append_fault::lose_request;
        }
        const auto n = below(10);
        return n < 5    ? fakes::claim_append_fault::none
               : n < 7  ? fakes::claim_append_fault::lose_answer
               : n == 7 ? fakes::claim_append_fault::delay
               : n == 8 ? fakes::claim_append_fault::lose_request
                        : fakes::claim_append_fault::refuse;
    }

    void start_process(host& it)
    {
        // Ids derive from the seed, so that schedules are reproducible.
        state::authority_state identity;
        identity.incarnation = {random_(), ++last_nonce_};
        it.held = std::make_shared<coordination::incarnation_set>(
            identity, now_, token_lifetime);
        coordination::claim_writer_limits limits;
        limits.checkpoint_interval = 10s;
        limits.append_gap = 40ms;
        it.writer = std::make_shared<writer_type>(
            log_, fakes::batch_index_codec(batches_), 0, limits);
        it.stopping = false;
    }

    void inject_fault()
    {
        auto& it = hosts_[below(hosts_.size())];
        switch (below(8)) {
        case 0:
            start_process(it);
            break;
        case 1:
            hand_over(it);
            if (chance(30)) {
                // The operator repeats the stop of the same process.
                hand_over(it);
            }
            break;
        case 2:
            log_down_ = !log_down_;
            log_.readable = !log_down_ || chance(50);
            break;
        case 3:
            log_.write_delayed();
            break;
        case 4:
            log_.trim_to(log_.end() - std::min<std::uint64_t>(log_.end(), 6));
            break;
        default:
            it.writer->maintain(now_);
            stats_.incomplete_reads += it.writer->complete() ? 0 : 1;
        }
    }

    void pump(host& it)
    {
        const auto keep = it.writer;
        keep->pump(now_);
        it.held->own()->used.purge(it.held->own()->authority.elapsed_ms(now_));
    }

    void hand_over(host& from)
    {
        auto& to = hosts_[below(hosts_.size())];
        if (&to == &from) {
            return;
        }
        from.stopping = true;
        for (auto& state : from.held->export_all(
                 to.held->own()->authority.incarnation(), now_)) {
            const auto import_state = [this, &to, state] {
                stats_.imports += to.held->import(state, now_) ==
                                          coordination::import_result::imported
                                      ? 1
                                      : 0;
            };
            // The message may be lost, late or duplicated.
            for (auto copies = below(3); copies > 0; --copies) {
                post(import_state);
            }
        }
    }

    void create_request(std::size_t i)
    {
        auto& it = requests_[i];
        it.fingerprint = {7, i + 1};
        it.answer = "answer " + std::to_string(i);
        if (i % 2 == 0) {
            it.token = hosts_[below(hosts_.size())].held->own()->authority.mint(
                binding_, now_);
        } else {
            it.key = state::key_digest("caller", "route", it.answer);
        }
        // Attempts overlap, as a caller repeats a request without an answer.
        post([this, &it] { attempt(it); });
        post([this, &it] { attempt(it); });
    }

    void attempt(request& it)
    {
        if (it.reported_not_run || it.attempts_left-- <= 0) {
            return;
        }
        auto& at = hosts_[below(hosts_.size())];
        coordination::execution_input in;
        in.request_class = state::request_class::non_idempotent;
        in.shutting_down = at.stopping;
        in.log_available = !log_down_;
        if (it.token) {
            in.token_field = coordination::field_presence::present;
            in.token_incarnation = it.token->incarnation;
            in.token_is_local = at.held->find(it.token->incarnation) != nullptr;
        } else {
            in.key_field = coordination::field_presence::present;
            in.key_holder = at.writer->winner(it.key);
            in.holder_is_local =
                in.key_holder && at.held->find(in.key_holder->incarnation);
        }
        handle_decision(at, it, coordination::decide_execution(in));
        post([this, &it] { attempt(it); });
    }

    template <class Decision>
    void handle_decision(host& at, request& it, const Decision& decision)
    {
        std::visit([&](const auto& chosen) { handle(at, it, chosen); },
                   decision);
    }

    void handle(host& at, request& it,
                const coordination::run_locally& decision)
    {
        start(at, it, decision.incarnation, decision.by_claim);
    }

    void handle(host& at, request& it, const coordination::forward_to& decision)
    {
        // Any process that holds the incarnation may receive the request.
        std::vector<host*> holders;
        for (auto& other : hosts_) {
            if (other.held->find(decision.incarnation)) {
                holders.push_back(&other);
            }
        }
        if (holders.empty() || chance(20)) {
            return handle(at, it,
                          coordination::forward_failed(holders.empty()));
        }
        auto& owner = *holders[below(holders.size())];
        post_on(owner, [this, &owner, &it, decision] {
            start(owner, it, decision.incarnation, decision.by_claim);
        });
    }

    void handle(host& at, request& it, const coordination::claim_key_first&)
    {
        const auto& own = at.held->own();
        const state::identifier nonce{random_(), ++last_nonce_};
        const state::claim claim{it.key, own->authority.incarnation(), nonce,
                                 key_lifetime_ms};
        const auto age = own->authority.elapsed_ms(now_);
        if (!own->used.reserve({state::request_id_kind::claim, nonce},
                               it.fingerprint, age + below(60'000), age)) {
            report_result(it, {run_outcome::unknown, nullptr});
            return;
        }
        const auto answered = std::make_shared<bool>(false);
        auto& writer_host = chance(50) ? at : hosts_[below(hosts_.size())];
        writer_host.writer->submit(
            claim, now_, [this, &at, &it, nonce, answered](const auto& got) {
                if (!chance(10)) {
                    post_on(at, [this, &at, &it, nonce, answered, got] {
                        handle_claim_answer(at, it, nonce, answered, got);
                    });
                }
            });
        // The wait for the claim writer may time out at any time.
        post_on(at, [this, &at, &it, nonce, answered] {
            handle_claim_answer(at, it, nonce, answered, {});
        });
    }

    void handle_claim_answer(host& at, request& it,
                             const state::identifier& nonce,
                             const std::shared_ptr<bool>& answered,
                             const coordination::claim_answer& got)
    {
        if (std::exchange(*answered, true)) {
            return;
        }
        stats_.given_up +=
            got.status == coordination::claim_status::unresolved ? 1 : 0;
        const auto& own = at.held->own();
        const auto id = own->authority.incarnation();
        const auto decision =
            coordination::resolve_claim(own->used, id, nonce, got);
        if (std::holds_alternative<coordination::run_after_claim>(decision)) {
            start(at, it, id, state::claim{it.key, id, nonce, 0});
            return;
        }
        handle_decision(at, it, decision);
    }

    void handle(host&, request& it,
                const coordination::refuse_request& decision)
    {
        report_result(it, {decision.outcome, nullptr});
    }

    template <class Other>
    void handle(host&, request&, const Other&)
    {
        ADD_FAILURE()
            << "decision that is invalid for a request with a token or key";
    }

    void start(host& at, request& it, const state::identifier& incarnation,
               const std::optional<state::claim>& by_claim)
    {
        const auto held = at.held->find(incarnation);
        if (!held) {
            report_result(it, {run_outcome::unknown, nullptr});
            return;
        }
        const auto id = by_claim
                            ? state::request_id{state::request_id_kind::claim,
                                                by_claim->nonce}
                            : state::request_id{state::request_id_kind::token,
                                                {0, it.token->sequence}};
        const auto check =
            by_claim ? coordination::token_check::valid
                     : held->authority.verify(*it.token, binding_, now_);
        if (check != coordination::token_check::valid) {
            EXPECT_EQ(check, coordination::token_check::expired);
            return report_result(it, {run_outcome::unknown, nullptr});
        }
        // The start may be delayed after the expiry check.
        post_on(at, [this, &at, &it, held, id, age = elapsed(held)] {
            try_start(at, it, held, id, age);
        });
    }

    std::uint64_t elapsed(const held_incarnation_ptr& held) const
    {
        return held->authority.elapsed_ms(now_);
    }

    void try_start(host& at, request& it, const held_incarnation_ptr& held,
                   const state::request_id& id, std::uint64_t age)
    {
        const auto got = held->used.try_start(
            id, it.fingerprint, it.token ? it.token->expires_ms : 0, age,
            [this, &it](const auto& result) { report_result(it, result); });
        if (const auto* replayed = std::get_if<coordination::replay>(&got)) {
            ++stats_.replays;
            report_result(it, replayed->result);
        } else if (const auto* refused =
                       std::get_if<coordination::start_refused>(&got)) {
            report_result(it, {refused->outcome, nullptr});
        } else if (std::holds_alternative<coordination::run_granted>(got)) {
            post_on(at, [this, &at, &it, held, id] { send(at, it, held, id); });
        }
    }

    void send(host& at, request& it, const held_incarnation_ptr& held,
              const state::request_id& id)
    {
        if (chance(25)) {
            held->used.abandon(id);
            report_result(it, {run_outcome::not_run, nullptr});
            return;
        }
        const auto ended = std::make_shared<bool>(false);
        const auto end = [this, &it, held, id,
                          ended](const state::run_result& result) {
            if (!std::exchange(*ended, true)) {
                held->used.finish(id, result);
                report_result(it, result);
            }
        };
        // The upstream runs the request even if the host fails.
        post([this, &at, &it, end] {
            ++it.runs;
            ++stats_.runs;
            EXPECT_EQ(it.runs, 1) << "request ran twice";
            EXPECT_FALSE(it.reported_not_run) << "ran after a not-run answer";
            const auto answer = std::make_shared<const state::stored_answer>(
                state::stored_answer{200, {}, it.answer});
            post_on(at, [end, answer] { end({run_outcome::ran, answer}); });
        });
        post_on(at, [end] { end({run_outcome::unknown, nullptr}); });
    }

    void report_result(request& it, const state::run_result& result)
    {
        if (chance(15)) {
            return;
        }
        ++stats_.reported[state::index_of(result.outcome)];
        if (result.outcome == run_outcome::not_run) {
            EXPECT_EQ(it.runs, 0) << "false not-run";
            it.reported_not_run = true;
        } else if (result.outcome == run_outcome::ran) {
            EXPECT_EQ(it.runs, 1);
            if (result.answer) {
                EXPECT_EQ(result.answer->body, it.answer);
            }
        }
    }

    std::mt19937_64 random_;
    statistics& stats_;
    state::time_point now_{std::chrono::hours(1)};
    fakes::fake_claim_log log_;
    std::vector<state::claim_batch> batches_;
    std::array<host, 3> hosts_;
    std::array<request, 6> requests_;
    std::vector<event> events_;
    state::identifier binding_ = state::token_binding("caller", "route");
    std::uint64_t last_nonce_ = 0;
    bool log_down_ = false;
};

// Schedules are single-threaded, and the thread sanitizer slows them down by a
// factor of 20.
#ifndef __has_feature
#define __has_feature(name) 0
#endif
constexpr unsigned default_runs = __has_feature(thread_sanitizer) ? 200 : 4000;

TEST(at_most_once_model, no_schedule_breaks_a_guarantee)
{
    const char* single_seed = std::getenv("ORIOLE_MODEL_SEED");
    const unsigned first =
        single_seed ? std::strtoul(single_seed, nullptr, 10) : 1;
    const unsigned count = single_seed ? 1 : default_runs;
    statistics stats;
    for (unsigned seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("ORIOLE_MODEL_SEED=" + std::to_string(seed));
        schedule(seed, stats).run();
        if (HasFailure()) {
            return;
        }
    }
    std::cout << "runs " << stats.runs << " replays " << stats.replays
              << " reported ran " << stats.reported[0] << " not-run "
              << stats.reported[1] << " unknown " << stats.reported[2]
              << " imports " << stats.imports << " unresolved claims "
              << stats.given_up << " incomplete reads "
              << stats.incomplete_reads << '\n';
    // Without these events the schedules would not cover the guarantees.
    EXPECT_TRUE(single_seed ||
                (stats.runs > 0 && stats.replays > 0 && stats.imports > 0 &&
                 stats.incomplete_reads > 0 && stats.given_up > 0 &&
                 stats.reported[1] > 0));
}

} // namespace
