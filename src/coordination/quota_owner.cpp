// The buckets of an owner.
//
// Invariants at every moment t, with the limit (r, b) of a workspace, F(t) the
// sum of the delegated fractions and the slices that hosts may hold at t:
// - the rates of these slices and the rate at which the owner gains tokens add
//   up to at most r F(t);
// - their caps and the owner's level add up to at most b F(t).
// Slices end before the delegations behind them (backed_fraction), so that the
// first holds as well when a delegation is not renewed. Until the owner knows
// which of several slices a host holds, it counts the largest.

#include <oriolegrade/coordination/quota_owner.hpp>

#include <oriolegrade/coordination/duration_seconds.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace oriolegrade::coordination {

namespace {

/// Time for which computed sums over all hosts are used.
constexpr state::duration sum_age = std::chrono::milliseconds(100);
/// A host that has not asked for this time has no need.
constexpr state::duration borrower_memory = std::chrono::seconds(5);
/// While there is enough, the owner keeps the rest of the rate for hosts whose
/// requests come in bursts, or move to others. With 0.9 of the need lent
/// instead, 41 hosts that asked for 90% of a limit were refused 6% of it.
constexpr double lent_rate_part = 0.65;
/// Largest rate of a slice, in its host's need.
constexpr double most_per_need = 1.25;
/// Part of the burst that may be lent with slices, by need.
constexpr double lent_cap_part = 0.75;
constexpr double known_demand = 0.75;
/// With this need, in its fair rate, a host uses all of its slice.
constexpr double surely_used = 4;
/// Cap of such a slice: it goes on to gain while a token waits for a request.
constexpr double min_used_cap = 2;
/// With these needs, in the rate, a host that has just got what it asked for
/// counts as limited.
constexpr double far_over = 1.25;
/// Beyond the limit, hosts get slices with a rate where their parts of the
/// burst are as large as this. Slices with smaller caps, of all hosts, would
/// leave the owner no place for tokens that are not lent: 155 hosts that asked
/// for twice the limit got 56% of it.
constexpr double min_short_cap = 3;
/// Term of tokens, in the time in which the host sees as many requests.
constexpr double use_margin = 1.6;
/// More tokens than a host needs in this time would expire with it.
constexpr double spare_time_s = 0.8;
/// What is left of a rate below this is not lent; it may be rounding.
constexpr double min_lent_rate = 0.01;
/// With a smaller cap, a slice loses more than it saves in asks.
constexpr double min_slice_cap = 1.5;
/// With this part of the burst at hand, no host is refused for the needs of
/// others.
constexpr double ample_level = 0.1;
/// A host that comes to a workspace at its limit asks so often at this
/// distance: where requests have moved to it, the host that had them gives its
/// slice back after min_idle.
constexpr std::uint32_t quick_asks = 3;
constexpr state::duration quick_ask_gap = std::chrono::milliseconds(300);
/// Requests that are repeated at delegation_retry.
constexpr std::uint32_t quick_retries = 6;
/// Time between further ones, to hosts that are lost or have another owner.
constexpr state::duration silent_retry = std::chrono::seconds(5);
/// A bucket with this part of its cap is full; the rest is rounding.
constexpr double full_part = 1 - 1e-9;
/// Part of the allowance that a start may use at once. Two starts of all hosts
/// may fall into one window, and shares may count twice beside them.
constexpr double spare_part = 0.45;
constexpr state::duration sweep_period = std::chrono::seconds(1);

/// Cap at which a host with random arrivals rarely asks between replacements.
double comfortable_cap(double need)
{
    constexpr double deviations = 4;
    return 2 + deviations * std::sqrt(need);
}

/// Part of a rate that a slice uses, as its host's requests come at random and
/// its bucket is full at times.
double used_part(double cap)
{
    constexpr double half_at = 2;
    return cap / (cap + half_at);
}

/// @param per_demand the limit in relation to the needs of all hosts
double wanted_rate(double need, bool is_short, double fair_rate,
                   double per_demand, double cap)
{
    if (!is_short) {
        return need * std::min(most_per_need, lent_rate_part * per_demand) *
               used_part(cap);
    }
    // The more it is needed, the more of it is used.
    return need > surely_used * fair_rate
               ? fair_rate
               : std::min(need, fair_rate) *
                     used_part(cap * std::max(1.0, need / fair_rate));
}

} // namespace

double quota_owner::borrower::rate() const
{
    double out = 0;
    for (const auto& it : slices) {
        out = std::max(out, it.rate_per_s);
    }
    return out;
}

double quota_owner::borrower::cap() const
{
    double out = 0;
    for (const auto& it : slices) {
        out = std::max(out, it.cap);
    }
    return out;
}

void quota_owner::set_limits(
    std::unordered_map<std::string, state::quota_limit> limits,
    state::time_point now)
{
    for (auto& shard : shards_) {
        settle(shard, now);
        std::erase_if(shard.buckets, [&](const auto& it) {
            return !limits.contains(it.first);
        });
        for (auto& [name, it] : shard.buckets) {
            accrue(shard.fraction, it, limits_.at(name), now);
            accrue(shard.fraction, it, limits.at(name), now);
        }
    }
    limits_ = std::move(limits);
}

void quota_owner::set_hosts(std::vector<std::string> hosts)
{
    hosts_ = std::move(hosts);
    for (auto& shard : shards_) {
        std::erase_if(shard.requests, [&](const auto& it) {
            return std::find(hosts_.begin(), hosts_.end(), it.first) ==
                   hosts_.end();
        });
    }
}

void quota_owner::set_self(std::string host, state::time_point started)
{
    self_ = std::move(host);
    started_ = started;
}

void quota_owner::set_allowance(const state::quota_allowance& allowance,
                                state::duration window)
{
    allowance_ = allowance;
    window_ = window;
}

void quota_owner::ask(const std::string& host, const state::quota_ask& ask,
                      state::time_point now)
{
    auto& shard = shards_[quota_shard_of(ask.workspace)];
    settle(shard, now);
    const auto limit = limits_.find(ask.workspace);
    if (limit == limits_.end()) {
        // The host knows another version of the limits.
        grants_.push_back(
            {host,
             {ask.workspace, ask.number, {}, token_term, {}, limited_ask_gap}});
        return;
    }
    if (!shard.active) {
        shard.active = true;
        shard.active_since = now;
        shard.next_request = now;
    }
    shard.asked_at = now;
    // A host that asks takes this one for the owner, and answers.
    const auto request = shard.requests.find(host);
    if (request != shard.requests.end() && !shard.delegations.contains(host)) {
        auto& at = request->second.next_at;
        at = std::min(at, request->second.sent_at + delegation_retry);
        shard.next_request = std::min(shard.next_request, at);
    }
    auto& it = bucket_of(shard, ask.workspace, limit->second, now);
    auto& from = it.borrowers[host];
    if (ask.number <= from.last_number) {
        return;
    }
    from.last_number = ask.number;
    from.need_per_s = ask.gives_back ? 0 : ask.need_per_s;
    from.ask_gap = std::min(now - from.asked_at, 2 * limited_ask_gap);
    from.asked_at = now;
    const auto rate = from.rate();
    const auto cap = from.cap();
    double returned = 0;
    // The host takes no answer to an ask before this one.
    std::erase_if(from.slices, [&](const lent& slice) {
        if (slice.number == ask.applied && ask.holds) {
            return false;
        }
        returned += slice.number > ask.applied ? slice.added : 0;
        return true;
    });
    if (ask.gives_back) {
        returned += std::clamp(ask.level, 0.0, cap);
    }
    it.lent_rate -= rate - from.rate();
    it.lent_cap -= cap - from.cap();
    it.level += returned;
    accrue(shard.fraction, it, limit->second, now);
    if (!ask.gives_back) {
        shard.waiting.push_back({host, ask, now});
    }
}

void quota_owner::answered(const std::string& host,
                           const state::quota_delegation& it,
                           state::time_point now)
{
    if (it.shard >= quota_shards) {
        return;
    }
    auto& shard = shards_[it.shard];
    settle(shard, now);
    const auto pending = shard.requests.find(host);
    if (pending == shard.requests.end() ||
        pending->second.number != it.number || !pending->second.is_open) {
        return;
    }
    auto& request = pending->second;
    request.is_open = false;
    settled_hosts_ = std::max(settled_hosts_, it.hosts);
    if (!it.holder.empty() && quota_host_of(it.holder) != self_) {
        shard.other_owner_until = std::max(
            shard.other_owner_until,
            now + std::clamp(it.free_in, state::duration{}, delegation_term));
    }
    const bool is_given = it.answer == state::quota_answer::given &&
                          it.fraction > 0 && it.fraction <= 1;
    const auto use = is_given && it.early && !shard.delegations.contains(host)
                         ? use_of(shard, request, it, now)
                         : early_use::proven;
    if (!is_given || use == early_use::none) {
        if (it.free_in > state::duration{}) {
            // It may be free sooner: by then more may be known of the hosts.
            request.next_at = now + std::min(it.free_in, delegation_refresh);
            shard.next_request = std::min(shard.next_request, request.next_at);
        }
        return;
    }
    request.failures = 0;
    request.next_at = request.sent_at + delegation_refresh;
    const auto until = request.sent_at + delegation_term;
    if (until <= now) {
        return;
    }
    const auto [at, is_new] = shard.delegations.try_emplace(host);
    auto& known = at->second;
    if (is_new || known.fraction != it.fraction) {
        for (auto& [name, active] : shard.buckets) {
            accrue(shard.fraction, active, limits_.at(name), now);
        }
        shard.fraction += it.fraction - known.fraction;
    }
    if (is_new) {
        // The owner has counted what was gained before held_until.
        known.since = std::max(now - it.age, request.held_until);
        known.early = it.early;
        known.unproven_until = use == early_use::unproven
                                   ? now - it.age + delegation_term
                                   : state::time_point{};
        for (auto& [name, active] : shard.buckets) {
            const auto& limit = limits_.at(name);
            active.level +=
                it.fraction * gained(limit, now - known.since, known.early);
            accrue(shard.fraction, active, limit, now);
        }
    }
    known.fraction = it.fraction;
    known.until = until;
    request.held_until = until;
    shard.earliest_end = std::min(shard.earliest_end, until);
    shard.backed_until = {};
}

void quota_owner::settle(shard_state& shard, state::time_point now)
{
    while (shard.earliest_end <= now) {
        const auto end = shard.earliest_end;
        for (auto& [name, it] : shard.buckets) {
            accrue(shard.fraction, it, limits_.at(name), end);
        }
        shard.fraction = 0;
        shard.earliest_end = state::time_point::max();
        std::erase_if(shard.delegations,
                      [&](const auto& it) { return it.second.until <= end; });
        for (const auto& [host, it] : shard.delegations) {
            shard.fraction += it.fraction;
            shard.earliest_end = std::min(shard.earliest_end, it.until);
        }
        for (auto& [name, it] : shard.buckets) {
            accrue(shard.fraction, it, limits_.at(name), end);
        }
    }
}

double quota_owner::backed_fraction(shard_state& shard, state::time_point now)
{
    if (now >= shard.backed_until) {
        shard.backed = 0;
        shard.backed_until = now + sum_age;
        const auto needed = shard.backed_until + slice_term;
        for (const auto& [host, it] : shard.delegations) {
            shard.backed += it.until >= needed ? it.fraction : 0;
        }
    }
    return shard.backed;
}

bool quota_owner::awaits_delegations(const shard_state& shard,
                                     state::time_point now) const
{
    return now - shard.active_since < first_delegations &&
           shard.delegations.size() < hosts_.size();
}

quota_owner::bucket& quota_owner::bucket_of(shard_state& shard,
                                            const std::string& workspace,
                                            const state::quota_limit& limit,
                                            state::time_point now)
{
    const auto [at, is_new] = shard.buckets.try_emplace(workspace);
    auto& it = at->second;
    if (is_new) {
        it.at = now;
        for (const auto& [host, from] : shard.delegations) {
            it.level +=
                from.fraction * gained(limit, now - from.since, from.early);
        }
    }
    drop_expired(it, now);
    accrue(shard.fraction, it, limit, now);
    return it;
}

void quota_owner::accrue(double fraction, bucket& it,
                         const state::quota_limit& limit, state::time_point now)
{
    const auto rate = limit.rate_per_s * fraction - it.lent_rate;
    if (now > it.at) {
        it.level += std::max(0.0, rate) * to_seconds(now - it.at);
        it.at = now;
    }
    const auto cap = limit.burst * fraction - it.lent_cap;
    it.level = std::min(it.level, std::max(0.0, cap));
}

void quota_owner::drop_expired(bucket& it, state::time_point now)
{
    while (!it.ends.empty() && it.ends.top().first <= now) {
        const auto found = it.borrowers.find(it.ends.top().second);
        it.ends.pop();
        if (found == it.borrowers.end()) {
            continue;
        }
        auto& from = found->second;
        const auto rate = from.rate();
        const auto cap = from.cap();
        std::erase_if(from.slices,
                      [&](const lent& slice) { return slice.expires <= now; });
        it.lent_rate -= rate - from.rate();
        it.lent_cap -= cap - from.cap();
    }
}

void quota_owner::update_fair_rate(bucket& it, double rate,
                                   state::time_point now)
{
    it.fair_at = now;
    it.demand = 0;
    // Removes the drift of the sums as well.
    it.lent_rate = 0;
    it.lent_cap = 0;
    std::vector<double> needs;
    std::erase_if(it.borrowers, [&](const auto& from) {
        return from.second.slices.empty() &&
               now - from.second.asked_at >= borrower_memory;
    });
    for (const auto& [host, from] : it.borrowers) {
        it.lent_rate += from.rate();
        it.lent_cap += from.cap();
        if (now - from.asked_at < borrower_memory) {
            needs.push_back(from.need_per_s);
            it.demand += from.need_per_s;
        }
    }
    std::sort(needs.begin(), needs.end());
    it.fair_rate = rate;
    auto left = rate;
    for (std::size_t n = 0; n < needs.size(); ++n) {
        const auto part = left / static_cast<double>(needs.size() - n);
        if (needs[n] >= part) {
            it.fair_rate = part;
            break;
        }
        left -= needs[n];
    }
}

std::optional<state::quota_grant> quota_owner::decide(shard_state& shard,
                                                      const waiting_ask& asked,
                                                      state::time_point now)
{
    const auto& ask = asked.ask;
    const auto found = limits_.find(ask.workspace);
    if (found == limits_.end()) {
        return state::quota_grant{ask.workspace, ask.number, {},
                                  token_term,    {},         limited_ask_gap};
    }
    const auto& limit = found->second;
    auto& it = bucket_of(shard, ask.workspace, limit, now);
    auto& from = it.borrowers[asked.host];
    const auto backed = backed_fraction(shard, now);
    const auto rate = limit.rate_per_s * backed;
    const auto burst = limit.burst * backed;
    if (now - it.fair_at >= sum_age) {
        update_fair_rate(it, rate, now);
    }
    const auto held = std::max(0.0, ask.level);
    const double waiting = ask.waiting;
    if (held + it.level < waiting && awaits_delegations(shard, now)) {
        return std::nullopt;
    }
    const auto free_rate = std::max(0.0, rate - (it.lent_rate - from.rate()));
    const auto free_cap = std::max(0.0, burst - (it.lent_cap - from.cap()));
    const bool is_short = it.demand > rate &&
                          it.level < std::max(waiting, burst * ample_level) &&
                          !awaits_delegations(shard, now);
    const bool is_far_over = is_short && it.demand > rate * far_over;

    state::quota_grant out{ask.workspace, ask.number, {},
                           slice_term,    limit,      {}};
    const auto demand = std::max(it.demand, ask.need_per_s);
    // Needs that are not known yet count as a part of the rate.
    const auto part = lent_cap_part * burst * ask.need_per_s /
                      std::max(demand, rate * known_demand);
    const auto most = is_short ? free_cap : free_cap / 2;
    const auto cap = std::min(
        free_cap,
        std::max(is_short ? min_used_cap : waiting,
                 std::min({part, most, comfortable_cap(ask.need_per_s)})));
    const auto wanted =
        wanted_rate(ask.need_per_s, is_short, it.fair_rate, rate / demand, cap);
    const bool is_used = ask.need_per_s > surely_used * it.fair_rate;
    const auto least_cap = !is_short ? min_slice_cap
                           : is_used ? min_used_cap
                                     : min_short_cap;
    const auto fair_cap =
        is_short ? burst * std::min(1.0, it.fair_rate / rate) : part;
    if (ask.need_per_s >= min_slice_rate && fair_cap >= least_cap &&
        free_rate >= min_lent_rate && cap >= 1) {
        out.slice.rate_per_s = std::min(wanted, free_rate);
        out.slice.cap = cap;
        out.slice.level = std::min(it.level, cap - std::min(held, cap));
    }
    if (out.slice.rate_per_s <= 0) {
        // Beyond the limit a host gets what its part gains between two asks,
        // and uses it by the time at which it would see as many requests.
        const auto due =
            is_far_over ? it.fair_rate * to_seconds(from.ask_gap) + from.owed
                        : 0.0;
        const auto most = waiting + std::floor(ask.need_per_s * spare_time_s);
        const auto tokens = std::floor(
            std::min({free_cap, held + it.level,
                      std::max({waiting, held, std::min(due, most)})}));
        from.owed = std::clamp(due - tokens, 0.0, 1.0);
        out.term = token_term;
        if (tokens > waiting) {
            const auto need = std::max(ask.need_per_s, min_slice_rate);
            out.term = std::clamp(from_seconds(use_margin * tokens / need),
                                  token_term, slice_term);
        }
        out.slice = {0, tokens, std::max(0.0, tokens - held)};
    }
    it.level -= out.slice.level;
    const bool is_satisfied = held + out.slice.level >= waiting;
    if (is_far_over || (is_short && !is_satisfied)) {
        const bool is_behind =
            !is_satisfied || out.slice.rate_per_s < it.fair_rate / 2;
        const bool is_new = is_behind && ++from.short_asks <= quick_asks;
        out.retry_after = is_new ? quick_ask_gap : limited_ask_gap;
    } else if (!is_satisfied && it.level < 1) {
        const auto gain = limit.rate_per_s * shard.fraction - it.lent_rate;
        const auto next = gain > 0
                              ? from_seconds(std::max(0.0, 1 - it.level) / gain)
                              : limited_ask_gap;
        out.retry_after = std::clamp(next, min_ask_gap, limited_ask_gap);
    } else {
        from.short_asks = 0;
    }
    if (out.slice.cap > 0) {
        it.lent_rate -= from.rate();
        it.lent_cap -= from.cap();
        from.slices.push_back({ask.number, out.slice.rate_per_s, out.slice.cap,
                               out.slice.level, now + out.term});
        it.lent_rate += from.rate();
        it.lent_cap += from.cap();
        it.ends.emplace(now + out.term, asked.host);
    }
    accrue(shard.fraction, it, limit, now);
    return out;
}

std::vector<quota_to_host<state::quota_grant>>
quota_owner::take_grants(state::time_point now)
{
    for (auto& shard : shards_) {
        if (shard.waiting.empty()) {
            continue;
        }
        settle(shard, now);
        std::vector<waiting_ask> undecided;
        for (auto& it : shard.waiting) {
            if (const auto grant = decide(shard, it, now)) {
                grants_.push_back({it.host, *grant});
            } else {
                undecided.push_back(std::move(it));
            }
        }
        shard.waiting = std::move(undecided);
    }
    return std::exchange(grants_, {});
}

std::vector<quota_to_host<state::quota_delegation_request>>
quota_owner::take_requests(state::time_point now)
{
    std::vector<quota_to_host<state::quota_delegation_request>> out;
    for (std::uint32_t n = 0; n < quota_shards; ++n) {
        auto& shard = shards_[n];
        settle(shard, now);
        sweep(shard, now);
        if (!shard.active) {
            continue;
        }
        if (now - shard.asked_at >= shard_idle) {
            release(n, out, now);
            continue;
        }
        if (now < shard.next_request) {
            continue;
        }
        shard.next_request = now + delegation_refresh;
        for (const auto& host : hosts_) {
            auto& it = shard.requests[host];
            if (now >= it.next_at) {
                const bool is_quick = ++it.failures <= quick_retries;
                it.number = ++last_number_;
                it.sent_at = now;
                it.next_at = now + (is_quick ? delegation_retry : silent_retry);
                it.is_open = true;
                out.push_back({host,
                               {n,
                                it.number,
                                delegation_term,
                                {},
                                settled_hosts_,
                                true}});
            }
            shard.next_request = std::min(shard.next_request, it.next_at);
        }
    }
    return out;
}

void quota_owner::release(
    std::uint32_t number,
    std::vector<quota_to_host<state::quota_delegation_request>>& requests,
    state::time_point now)
{
    auto& shard = shards_[number];
    shard.active = false;
    shard.requests.clear();
    auto age = state::duration::max();
    for (auto& [name, it] : shard.buckets) {
        const auto& limit = limits_.at(name);
        drop_expired(it, now);
        accrue(shard.fraction, it, limit, now);
        if (std::any_of(
                it.borrowers.begin(), it.borrowers.end(),
                [](const auto& from) { return !from.second.slices.empty(); })) {
            // What is lent may be spent yet; the delegations expire.
            return;
        }
        const auto rate = limit.rate_per_s * shard.fraction;
        if (it.level < limit.burst * shard.fraction * full_part) {
            age = std::min(age, rate > 0 ? from_seconds(it.level / rate)
                                         : state::duration{});
        }
    }
    for (const auto& [host, it] : shard.delegations) {
        requests.push_back(
            {host,
             {number, ++last_number_, {}, std::min(age, now - it.since)}});
    }
    shard.delegations.clear();
    shard.buckets.clear();
    shard.fraction = 0;
    shard.backed_until = {};
    shard.earliest_end = state::time_point::max();
}

quota_owner::early_use quota_owner::use_of(const shard_state& shard,
                                           const pending_request& request,
                                           const state::quota_delegation& it,
                                           state::time_point now) const
{
    // A share has one holder at a time. The earlier process ended before the
    // delegation to this owner did, so it had no time for another one.
    if (now - it.age <= request.held_until) {
        return early_use::proven;
    }
    const bool has_allowance = allowance_.overshoot > 0 || allowance_.slack > 0;
    if (self_.empty() || !has_allowance || now < shard.other_owner_until) {
        return early_use::none;
    }
    if (now - started_ < young_owner) {
        return early_use::unproven;
    }
    // What counts twice for a term must fit into the overshoot.
    const auto most = allowance_.overshoot * to_seconds(window_) /
                      to_seconds(delegation_term);
    auto sum = it.fraction;
    for (const auto& [host, known] : shard.delegations) {
        sum += now < known.unproven_until ? known.fraction : 0;
    }
    return sum <= most ? early_use::unproven : early_use::none;
}

double quota_owner::spare_burst(const state::quota_limit& limit) const
{
    return spare_part *
           (allowance_.slack +
            allowance_.overshoot *
                (limit.rate_per_s * to_seconds(window_) + limit.burst));
}

double quota_owner::gained(const state::quota_limit& limit, state::duration age,
                           bool early) const
{
    return std::min(limit.burst, limit.rate_per_s * to_seconds(age) +
                                     (early ? spare_burst(limit) : 0));
}

bool quota_owner::is_awaited(const shard_state& shard,
                             const std::string& workspace)
{
    return std::any_of(
        shard.waiting.begin(), shard.waiting.end(),
        [&](const auto& it) { return it.ask.workspace == workspace; });
}

void quota_owner::sweep(shard_state& shard, state::time_point now)
{
    if (now - shard.swept_at < sweep_period) {
        return;
    }
    shard.swept_at = now;
    for (auto at = shard.buckets.begin(); at != shard.buckets.end();) {
        auto& [name, it] = *at;
        const auto& limit = limits_.at(name);
        drop_expired(it, now);
        accrue(shard.fraction, it, limit, now);
        const bool is_lent = std::any_of(
            it.borrowers.begin(), it.borrowers.end(),
            [](const auto& from) { return !from.second.slices.empty(); });
        // Without state, the level follows from the shares and is the same.
        const bool is_full =
            it.level >= limit.burst * shard.fraction * full_part;
        if (is_full && !is_lent && !is_awaited(shard, name)) {
            at = shard.buckets.erase(at);
        } else {
            ++at;
        }
    }
}

std::size_t quota_owner::active() const
{
    std::size_t n = 0;
    for (const auto& shard : shards_) {
        n += shard.buckets.size();
    }
    return n;
}

state::quota_holdings quota_owner::lent_slices() const
{
    state::quota_holdings out;
    for (const auto& shard : shards_) {
        for (const auto& [name, it] : shard.buckets) {
            out.rate_per_s += it.lent_rate;
            out.cap += it.lent_cap;
        }
    }
    return out;
}

double quota_owner::delegated() const
{
    double out = 0;
    for (const auto& it : shards_) {
        out += it.fraction;
    }
    return out;
}

bool quota_owner::holds_shares() const
{
    return std::any_of(shards_.begin(), shards_.end(),
                       [](const auto& it) { return it.active; });
}

} // namespace oriolegrade::coordination
