// Simulates, in virtual time, hosts that share the limits of workspaces, beside
// a perfect limiter that sees every request at once.

#ifndef ORIOLEGRADE_TEST_FAKES_QUOTA_FLEET_HPP
#define ORIOLEGRADE_TEST_FAKES_QUOTA_FLEET_HPP

#include <oriolegrade/coordination/dispatcher_ranking.hpp>
#include <oriolegrade/coordination/quota_owner.hpp>
#include <oriolegrade/coordination/quota_share.hpp>
#include <oriolegrade/coordination/quota_wallet.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace oriolegrade::test {

class quota_fleet
{
public:
    using duration = state::duration;
    using time_point = state::time_point;

    /// Windows in which sends are counted.
    static constexpr std::array<duration, 4> windows{
        std::chrono::seconds(1), std::chrono::seconds(2),
        std::chrono::seconds(5), std::chrono::seconds(10)};
    /// Every 5 s.
    static constexpr std::size_t ticks_per_read = 100;
    static constexpr duration tick = std::chrono::milliseconds(50);

    struct workspace
    {
        state::quota_limit limit;
        /// Requests per second over all hosts.
        double demand = 0;
        /// Hosts that get the requests: all when empty.
        std::vector<std::size_t> hosts;
        /// With a time above 0, one of `hosts` after the other gets all.
        duration move_every{};
    };

    struct outcome
    {
        std::size_t requests = 0;
        std::size_t served = 0;
        /// Served by the perfect limiter.
        std::size_t owed = 0;
        /// Refused although the perfect limiter served it.
        std::size_t wrongly_refused = 0;
        /// Requests that waited for an answer of an owner, and the longest.
        std::size_t waited = 0;
        duration longest_wait{};
        /// Sends after which a window held too many.
        std::size_t over = 0;
        std::size_t asks = 0;
        std::size_t delegation_requests = 0;
        /// Seconds in which a host had a request of a workspace, and seconds of
        /// all hosts.
        std::size_t active_seconds = 0;
        double host_seconds = 0;
        /// Refusals without a time to return after.
        std::size_t no_retry_after = 0;

        double usable() const
        {
            return static_cast<double>(served) / static_cast<double>(owed);
        }
        double asks_per_active_second() const
        {
            return static_cast<double>(asks) /
                   static_cast<double>(active_seconds);
        }
        /// Requests for delegations per host and second, of all shards.
        double delegations_per_host_second() const
        {
            return static_cast<double>(delegation_requests) / host_seconds;
        }
    };

    quota_fleet(std::size_t hosts, std::vector<workspace> workspaces,
                std::uint64_t seed = 7)
        : random_(seed)
        , workspaces_(std::move(workspaces))
        , hosts_(hosts)
    {
        for (std::size_t n = 0; n < workspaces_.size(); ++n) {
            limits_.emplace(name_of(n), workspaces_[n].limit);
            books_.emplace_back();
            books_.back().level = workspaces_[n].limit.burst;
            numbers_.emplace(name_of(n), n);
        }
        for (std::size_t n = 0; n < hosts; ++n) {
            members_.push_back({host_name(n), "dc0", {}, 1000});
        }
        for (std::size_t n = 0; n < hosts; ++n) {
            start_host(n, now_ - std::chrono::hours(1));
        }
        for (std::size_t n = 0; n < workspaces_.size(); ++n) {
            schedule_arrival(n);
        }
        schedule(now_, [this] { on_tick(); });
    }

    /// Lets windows hold more than the limits, by the platform's rule, and
    /// counts only windows of its length. Call it before run().
    void set_allowance(const state::quota_allowance& allowance, duration window)
    {
        allowance_ = allowance;
        allowance_window_ = window;
        for (auto& it : limits_) {
            it.second =
                coordination::usable_limit(it.second, window, allowance);
        }
        for (auto& it : hosts_) {
            it.owner.set_allowance(allowance, window);
            it.owner.set_limits(limits_, now_);
            it.wallet->set_limits(limits_, now_);
        }
    }

    /// Share of messages between hosts that are lost.
    void set_lost_share(double share)
    {
        lost_share_ = share;
    }

    /// Messages pass between hosts of the same part. Hosts outside part 0 read
    /// no directory.
    void set_part(std::size_t host, std::uint32_t part)
    {
        hosts_[host].part = part;
    }

    /// The host serves nothing more; callers that reach it go unserved, and do
    /// not count.
    void lose(std::size_t host)
    {
        hosts_[host].is_up = false;
    }

    /// Starts a new process of the host.
    /// @param joined the directory did not name the host
    void restart(std::size_t host, bool joined = false)
    {
        start_host(host, now_, joined);
    }

    /// Everything at the host waits until the time.
    void freeze(std::size_t host, duration length)
    {
        hosts_[host].frozen_until = now_ + length;
    }

    /// The host knows only the members for which `known` is true.
    template <class Predicate>
    void set_view(std::size_t host, Predicate known)
    {
        std::vector<state::host_member> out;
        for (std::size_t n = 0; n < members_.size(); ++n) {
            if (known(n)) {
                out.push_back(members_[n]);
            }
        }
        hosts_[host].ranking.set_members(std::move(out));
    }

    void set_limit(std::size_t number, const state::quota_limit& limit)
    {
        workspaces_[number].limit = limit;
        limits_[name_of(number)] = limit;
        for (auto& it : hosts_) {
            it.wallet->set_limits(limits_, now_);
            it.owner.set_limits(limits_, now_);
        }
    }

    void set_demand(double demand)
    {
        for (auto& it : workspaces_) {
            it.demand = demand;
        }
    }

    /// Number of the host that all members take for the workspace's owner.
    std::size_t owner_of(std::size_t number)
    {
        const auto shard = coordination::quota_shard_of(name_of(number));
        coordination::dispatcher_ranking ranking;
        ranking.set_members(members_);
        const auto found =
            ranking.candidates(coordination::quota_shard_name(shard), 1, now_);
        return number_of(found.front().name);
    }

    /// Rows that hosts hold for active workspaces, and buckets of owners.
    std::size_t active_rows() const
    {
        std::size_t n = 0;
        for (const auto& it : hosts_) {
            n += it.wallet->active() + it.owner.active();
        }
        return n;
    }

    std::size_t hosts() const
    {
        return hosts_.size();
    }

    time_point now() const
    {
        return now_;
    }

    /// Runs on, and returns what happened in this time alone.
    outcome run(duration length)
    {
        out_ = {};
        const auto end = now_ + length;
        while (!events_.empty() && events_.top().at <= end) {
            auto it = events_.top();
            events_.pop();
            now_ = it.at;
            it.run();
        }
        now_ = end;
        out_.host_seconds = std::chrono::duration<double>(length).count() *
                            static_cast<double>(hosts_.size());
        return out_;
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };
    struct waiter
    {
        time_point since;
        bool is_owed;
    };
    struct host
    {
        bool is_up = true;
        std::uint32_t part = 0;
        std::uint32_t incarnation = 0;
        time_point frozen_until{};
        bool is_polled_soon = false;
        std::unique_ptr<coordination::quota_wallet> wallet;
        std::unique_ptr<coordination::quota_share> share;
        coordination::quota_owner owner;
        coordination::dispatcher_ranking ranking;
        std::map<std::size_t, std::vector<waiter>> waiters;
        std::map<std::string, std::string> asked_owners;
        std::unordered_map<std::size_t, std::int64_t> active_second;
    };
    /// The perfect limiter, and sends in each window.
    struct book
    {
        double level = 0;
        time_point at{};
        std::deque<time_point> sends;
        std::array<std::size_t, windows.size()> begins{};
        std::size_t dropped = 0;
    };

    static std::string name_of(std::size_t number)
    {
        return "w" + std::to_string(number);
    }
    static std::string host_name(std::size_t number)
    {
        return "h" + std::to_string(number);
    }
    std::string incarnation_name(std::size_t number) const
    {
        return coordination::quota_process_name(
            host_name(number), std::to_string(hosts_[number].incarnation));
    }
    std::vector<std::string> host_names() const
    {
        std::vector<std::string> out;
        for (std::size_t n = 0; n < hosts_.size(); ++n) {
            out.push_back(host_name(n));
        }
        return out;
    }
    static std::size_t number_of(const std::string& host)
    {
        return std::stoul(host.substr(1));
    }

    void start_host(std::size_t number, time_point started, bool joined = false)
    {
        auto& it = hosts_[number];
        ++it.incarnation;
        it.is_up = true;
        it.waiters.clear();
        it.asked_owners.clear();
        it.wallet = std::make_unique<coordination::quota_wallet>();
        it.wallet->set_limits(limits_, now_);
        it.share = std::make_unique<coordination::quota_share>(started, joined);
        it.share->set_hosts(hosts_.size(), now_);
        it.owner = {};
        it.owner.set_hosts(host_names());
        it.owner.set_self(host_name(number), started);
        it.owner.set_allowance(allowance_, allowance_window_);
        it.owner.set_settled_hosts(it.share->settled_hosts(now_));
        it.owner.set_limits(limits_, now_);
        it.ranking = {};
        it.ranking.set_members(members_);
    }

    void schedule(time_point at, std::function<void()> run)
    {
        events_.push({at, ++last_event_, std::move(run)});
    }

    /// Runs at the host, later when it is frozen, or never when the process is
    /// gone by then.
    void schedule_at(std::size_t number, time_point at,
                     std::function<void()> run)
    {
        schedule(at, [this, number, incarnation = hosts_[number].incarnation,
                      run = std::move(run)] {
            const auto& it = hosts_[number];
            if (!it.is_up || it.incarnation != incarnation) {
                return;
            }
            if (now_ < it.frozen_until) {
                schedule_at(number, it.frozen_until, run);
                return;
            }
            run();
        });
    }

    /// @return false when the message does not arrive
    bool send(std::size_t from, const std::string& to,
              std::function<void(std::size_t)> run)
    {
        const auto number = number_of(to);
        const auto& it = hosts_[number];
        const bool is_lost = from != number && uniform_(random_) < lost_share_;
        // A request for a share goes to whichever process the host runs.
        const bool is_gone =
            to != host_name(number) && to != incarnation_name(number);
        if (!it.is_up || it.part != hosts_[from].part || is_lost || is_gone) {
            return false;
        }
        const auto delay =
            from == number ? std::chrono::microseconds(50)
                           : std::chrono::microseconds(500 + random_() % 9500);
        schedule_at(number, now_ + delay,
                    [number, run = std::move(run)] { run(number); });
        return true;
    }

    std::string preferred(std::size_t from, std::uint32_t shard)
    {
        constexpr std::size_t candidates = 3;
        const auto found = hosts_[from].ranking.candidates(
            coordination::quota_shard_name(shard), candidates, now_);
        return incarnation_name(found.empty() ? from
                                              : number_of(found.front().name));
    }

    void on_tick()
    {
        const bool reads_directory = ++ticks_ % ticks_per_read == 0;
        for (std::size_t n = 0; n < hosts_.size(); ++n) {
            auto& it = hosts_[n];
            if (!it.is_up || now_ < it.frozen_until) {
                continue;
            }
            if (it.part == 0 && reads_directory) {
                it.share->set_hosts(hosts_.size(), now_);
                it.owner.set_settled_hosts(it.share->settled_hosts(now_));
            }
            for (const auto& name : it.ranking.take_probes(now_)) {
                const auto to = number_of(name);
                if (hosts_[to].is_up && hosts_[to].part == it.part &&
                    now_ >= hosts_[to].frozen_until) {
                    it.ranking.answered(name);
                } else {
                    it.ranking.failed(name, now_);
                }
            }
            poll(n);
            flush_owner(n);
        }
        schedule(now_ + tick, [this] { on_tick(); });
    }

    void poll(std::size_t number)
    {
        auto& it = hosts_[number];
        const auto asks = it.wallet->poll(now_);
        for (const auto& name : it.wallet->take_failed()) {
            const auto owner = it.asked_owners[name];
            if (owner != incarnation_name(number)) {
                it.ranking.failed(host_name(number_of(owner)), now_);
            }
            retake(number, numbers_.at(name));
        }
        for (const auto& ask : asks) {
            ++out_.asks;
            const auto owner =
                preferred(number, coordination::quota_shard_of(ask.workspace));
            it.asked_owners[ask.workspace] = owner;
            send(number, owner,
                 [this, ask, from = incarnation_name(number)](std::size_t to) {
                     hosts_[to].owner.ask(from, ask, now_);
                     flush_owner(to);
                 });
        }
    }

    void flush_owner(std::size_t number)
    {
        auto& it = hosts_[number];
        for (auto& request : it.owner.take_requests(now_)) {
            ++out_.delegation_requests;
            send(number, request.host,
                 [this, what = request.message,
                  from = incarnation_name(number)](std::size_t to) {
                     answer_request(to, from, what);
                 });
        }
        for (auto& grant : it.owner.take_grants(now_)) {
            send(number, grant.host,
                 [this, what = grant.message](std::size_t to) {
                     hosts_[to].wallet->granted(what, now_);
                     retake(to, numbers_.at(what.workspace));
                 });
        }
    }

    void answer_request(std::size_t number, const std::string& owner,
                        const state::quota_delegation_request& what)
    {
        auto& it = hosts_[number];
        const auto answer = it.share->delegate(
            what, owner, preferred(number, what.shard), now_);
        send(number, owner,
             [this, answer, from = host_name(number)](std::size_t to) {
                 hosts_[to].owner.answered(from, answer, now_);
                 flush_owner(to);
             });
    }

    void schedule_arrival(std::size_t number)
    {
        const auto demand = workspaces_[number].demand;
        if (demand <= 0) {
            return;
        }
        std::exponential_distribution<double> gap(demand);
        const auto after = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(random_)));
        schedule(now_ + after, [this, number] {
            arrive(number);
            schedule_arrival(number);
        });
    }

    std::size_t host_for(const workspace& it)
    {
        if (it.hosts.empty()) {
            return random_() % hosts_.size();
        }
        if (it.move_every > duration{}) {
            const auto n = static_cast<std::size_t>(now_.time_since_epoch() /
                                                    it.move_every);
            return it.hosts[n % it.hosts.size()];
        }
        return it.hosts[random_() % it.hosts.size()];
    }

    void arrive(std::size_t number)
    {
        const auto to = host_for(workspaces_[number]);
        auto& it = hosts_[to];
        if (!it.is_up) {
            return;
        }
        ++out_.requests;
        const bool is_owed = take_perfectly(number);
        out_.owed += is_owed ? 1 : 0;
        const auto second = now_.time_since_epoch() / std::chrono::seconds(1);
        if (std::exchange(it.active_second[number], second) != second) {
            ++out_.active_seconds;
        }
        schedule_at(to, now_, [this, to, number, is_owed] {
            take(to, number, {now_, is_owed});
        });
    }

    bool take_perfectly(std::size_t number)
    {
        auto& it = books_[number];
        const auto& limit = workspaces_[number].limit;
        it.level = std::min(
            limit.burst,
            it.level + limit.rate_per_s *
                           std::chrono::duration<double>(now_ - it.at).count());
        it.at = now_;
        if (it.level < 1) {
            return false;
        }
        --it.level;
        return true;
    }

    void take(std::size_t to, std::size_t number, const waiter& who)
    {
        auto& it = hosts_[to];
        const auto waited = now_ - who.since;
        const auto what = it.wallet->take(name_of(number), waited, now_);
        out_.longest_wait = std::max(out_.longest_wait, waited);
        if (what.verdict == coordination::quota_verdict::passed) {
            ++out_.served;
            count_send(number);
        } else if (what.verdict == coordination::quota_verdict::refused) {
            out_.wrongly_refused += who.is_owed ? 1 : 0;
            out_.no_retry_after += what.retry_after > duration{} ? 0 : 1;
        } else {
            out_.waited += waited == duration{} ? 1 : 0;
            it.waiters[number].push_back(who);
            if (it.wallet->is_wanted() && !it.is_polled_soon) {
                it.is_polled_soon = true;
                schedule_at(to, now_, [this, to] {
                    hosts_[to].is_polled_soon = false;
                    poll(to);
                });
            }
        }
    }

    void retake(std::size_t to, std::size_t number)
    {
        auto waiters = std::exchange(hosts_[to].waiters[number], {});
        hosts_[to].waiters.erase(number);
        for (const auto& it : waiters) {
            take(to, number, it);
        }
    }

    void count_send(std::size_t number)
    {
        auto& it = books_[number];
        const auto& limit = workspaces_[number].limit;
        it.sends.push_back(now_);
        bool is_over = false;
        for (std::size_t n = 0; n < windows.size(); ++n) {
            auto& begin = it.begins[n];
            while (it.sends[begin - it.dropped] + windows[n] <= now_) {
                ++begin;
            }
            const auto sends =
                static_cast<double>(it.sends.size() + it.dropped - begin);
            const auto window_s =
                std::chrono::duration<double>(windows[n]).count();
            const auto most = limit.rate_per_s * window_s + limit.burst;
            if (allowance_window_ == duration{}) {
                is_over |= sends > most + 1e-6;
            } else if (windows[n] == allowance_window_) {
                is_over |= sends > most * (1 + allowance_.overshoot) +
                                       allowance_.slack + 1e-6;
            }
        }
        out_.over += is_over ? 1 : 0;
        while (it.dropped < it.begins.back()) {
            it.sends.pop_front();
            ++it.dropped;
        }
    }

    time_point now_{std::chrono::hours(10)};
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> uniform_;
    double lost_share_ = 0;
    std::uint64_t last_event_ = 0;
    std::size_t ticks_ = 0;
    std::vector<workspace> workspaces_;
    std::unordered_map<std::string, state::quota_limit> limits_;
    std::unordered_map<std::string, std::size_t> numbers_;
    std::vector<book> books_;
    std::vector<state::host_member> members_;
    state::quota_allowance allowance_;
    duration allowance_window_{};
    std::vector<host> hosts_;
    std::priority_queue<event> events_;
    outcome out_;
};

} // namespace oriolegrade::test

#endif
