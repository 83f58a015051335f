// Levels are counted in millionths of a token, so that one atomic holds them.

#include <oriolegrade/coordination/quota_wallet.hpp>

#include <oriolegrade/coordination/duration_seconds.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace oriolegrade::coordination {

namespace {

constexpr std::int64_t token = 1'000'000;
/// Tokens that a host may owe for further sends.
constexpr std::int64_t most_owed = 3;
/// Time over which the need of a host is averaged.
constexpr double need_time_s = 2;
/// So many may wait by chance.
constexpr double usual_waiting = 3;
/// Least time over which the need is computed.
constexpr double min_known_s = 2;
/// Time in which several requests that wait for an ask have come, at most.
constexpr double wait_time_s = 0.1;
/// A workspace without requests for this time is forgotten.
constexpr state::duration forget_after = std::chrono::seconds(5);
/// Retry-After where no owner has answered.
constexpr state::duration no_owner_retry = std::chrono::seconds(1);
/// Asks after a failed one follow at this distance.
constexpr state::duration failed_ask_gap = std::chrono::milliseconds(50);

std::int64_t to_ticks(state::time_point it)
{
    return it.time_since_epoch().count();
}

} // namespace

struct quota_wallet::row
{
    /// Millionths of a token. Lowered by any thread, raised under the lock or
    /// by give_back(). Below 0 it is owed, whether a slice is held or not.
    std::atomic<std::int64_t> level{0};
    /// Levels count only before this time.
    std::atomic<std::int64_t> expires{0};
    /// Requests are refused until then.
    std::atomic<std::int64_t> refused_until{0};
    /// Requests since the last poll().
    std::atomic<std::uint32_t> requests{0};
    /// Tokens taken since the last poll().
    std::atomic<std::uint32_t> taken{0};

    // Guarded by slow_ from here on.
    std::string name;
    state::quota_limit limit;
    bool is_active = false;
    double rate_per_s = 0;
    double cap = 0;
    /// The level contains what the rate has brought until then.
    state::time_point accrued_at{};
    /// Requests that wait for an ask or its answer.
    std::uint32_t waiting = 0;
    /// Number of the last ask, and whether its answer is awaited.
    std::uint64_t number = 0;
    bool in_flight = false;
    /// Asks in a row without an answer.
    std::uint32_t timeouts = 0;
    state::time_point sent_at{};
    /// Number of the grant that the slice is from.
    std::uint64_t applied = 0;
    /// Requests may lead to an ask from then on. Until then they wait, or are
    /// refused when the last grant left some without a token.
    state::time_point ask_from{};
    bool is_dry = false;
    /// A token is expected within token_wait; requests wait for it.
    bool is_next_near = false;
    /// The slice is replaced then.
    state::time_point refresh_at = state::time_point::max();
    double need_per_s = 0;
    state::time_point active_since{};
    state::time_point polled_at{};
    state::time_point last_request{};
    state::time_point last_taken{};

    bool try_take(state::time_point now)
    {
        if (to_ticks(now) >= expires.load(std::memory_order_acquire)) {
            return false;
        }
        auto n = level.load(std::memory_order_relaxed);
        while (n >= token) {
            if (level.compare_exchange_weak(n, n - token,
                                            std::memory_order_acq_rel)) {
                taken.fetch_add(1, std::memory_order_relaxed);
                return true;
            }
        }
        return false;
    }

    /// Ends the slice, and returns the tokens that were left.
    double close(state::time_point now)
    {
        const bool alive = to_ticks(now) < expires.load();
        expires.store(0, std::memory_order_release);
        const auto left = static_cast<double>(level.exchange(0)) / token;
        rate_per_s = 0;
        cap = 0;
        return alive ? left : std::min(left, 0.0);
    }

    /// Tokens that are owed.
    std::uint32_t owed() const
    {
        const auto n = level.load();
        return n < 0 ? static_cast<std::uint32_t>((token - 1 - n) / token) : 0;
    }

    /// Installs a slice after close().
    void open(const state::quota_slice& slice, state::time_point until,
              state::time_point now)
    {
        rate_per_s = slice.rate_per_s;
        cap = slice.cap;
        accrued_at = now;
        const auto tokens = std::min(slice.level, slice.cap);
        level.store(static_cast<std::int64_t>(tokens * token));
        expires.store(to_ticks(until), std::memory_order_release);
        refused_until.store(0);
    }
};

quota_wallet::quota_wallet()
    : rows_(std::make_shared<const table>())
{}

quota_wallet::~quota_wallet() = default;

quota_decision quota_wallet::take(std::string_view workspace,
                                  state::duration waited, state::time_point now)
{
    const auto rows = rows_.read();
    const auto found = rows->find(workspace);
    if (found == rows->end()) {
        return {};
    }
    auto& it = *found->second;
    if (waited == state::duration{}) {
        it.requests.fetch_add(1, std::memory_order_relaxed);
    }
    if (it.try_take(now)) {
        return {};
    }
    const auto until = it.refused_until.load(std::memory_order_relaxed);
    if (to_ticks(now) < until) {
        return {quota_verdict::refused, state::duration(until - to_ticks(now))};
    }
    return take_slowly(found->second, waited, now);
}

bool quota_wallet::take_extra(std::string_view workspace, state::time_point now)
{
    const auto rows = rows_.read();
    const auto found = rows->find(workspace);
    if (found == rows->end()) {
        return true;
    }
    const std::lock_guard lock(slow_);
    auto& it = *found->second;
    accrue(it, now);
    if (it.try_take(now)) {
        return true;
    }
    if ((it.is_dry && now < it.ask_from) || it.owed() >= most_owed) {
        return false;
    }
    if (to_ticks(now) >= it.expires.load()) {
        it.level.store(std::min<std::int64_t>(it.level.load(), 0));
    }
    it.level.fetch_sub(token);
    return true;
}

quota_decision quota_wallet::take_slowly(const std::shared_ptr<row>& found,
                                         state::duration waited,
                                         state::time_point now)
{
    const std::lock_guard lock(slow_);
    auto& it = *found;
    accrue(it, now);
    if (it.try_take(now)) {
        return {};
    }
    const bool may_ask =
        it.in_flight || !it.is_dry || it.is_next_near || now >= it.ask_from;
    if (may_ask && waited < max_quota_wait) {
        if (!it.is_active) {
            it.is_active = true;
            it.polled_at = now;
            it.active_since = now;
            it.need_per_s = 0;
            it.last_request = now;
            it.last_taken = now;
            active_.emplace(it.name, found);
        }
        ++it.waiting;
        if (!it.in_flight && now >= it.ask_from) {
            wanted_.store(true, std::memory_order_release);
        }
        return {quota_verdict::wait, {}};
    }
    auto retry = may_ask ? no_owner_retry : it.ask_from - now;
    if (it.rate_per_s > 0 && it.cap >= 1 && to_ticks(now) < it.expires.load()) {
        const auto left = static_cast<double>(it.level.load()) / token;
        retry = std::min(retry, from_seconds((1 - left) / it.rate_per_s) +
                                    state::duration(1));
    }
    if (!may_ask) {
        it.refused_until.store(to_ticks(now + retry));
    }
    return {quota_verdict::refused, retry};
}

void quota_wallet::accrue(row& it, state::time_point now)
{
    if (it.rate_per_s <= 0 || to_ticks(now) >= it.expires.load() ||
        now <= it.accrued_at) {
        return;
    }
    const auto gained = static_cast<std::int64_t>(
        it.rate_per_s * to_seconds(now - it.accrued_at) * token);
    it.accrued_at = now;
    const auto cap = static_cast<std::int64_t>(it.cap * token);
    auto n = it.level.load();
    while (n < cap &&
           !it.level.compare_exchange_weak(n, std::min(cap, n + gained))) {
    }
}

void quota_wallet::give_back(std::string_view workspace, state::time_point now)
{
    const auto rows = rows_.read();
    const auto found = rows->find(workspace);
    if (found == rows->end()) {
        return;
    }
    const std::lock_guard lock(slow_);
    auto& it = *found->second;
    const bool alive = to_ticks(now) < it.expires.load();
    if (!alive && it.owed() == 0) {
        return;
    }
    accrue(it, now);
    const auto cap = alive ? static_cast<std::int64_t>(it.cap * token) : 0;
    auto n = it.level.load();
    while (n < cap &&
           !it.level.compare_exchange_weak(n, std::min(cap, n + token))) {
    }
    it.refused_until.store(0);
}

bool quota_wallet::is_wanted() const
{
    return wanted_.load(std::memory_order_acquire);
}

void quota_wallet::set_limits(
    const std::unordered_map<std::string, state::quota_limit>& limits,
    state::time_point now)
{
    const auto known = rows_.read();
    auto rows = std::make_shared<table>();
    {
        const std::lock_guard lock(slow_);
        for (const auto& [name, limit] : limits) {
            const auto found = known->find(name);
            if (found == known->end()) {
                auto added = std::make_shared<row>();
                added->name = name;
                added->limit = limit;
                rows->emplace(name, std::move(added));
                continue;
            }
            auto& it = *found->second;
            const bool lower = limit.rate_per_s < it.limit.rate_per_s ||
                               limit.burst < it.limit.burst;
            if (lower && to_ticks(now) < it.expires.load()) {
                const auto until =
                    state::time_point(state::duration(it.expires.load()));
                accrue(it, now);
                const auto rate = it.rate_per_s * part_of(limit.rate_per_s,
                                                          it.limit.rate_per_s);
                const auto cap = it.cap * part_of(limit.burst, it.limit.burst);
                const auto left = it.close(now);
                it.open({rate, cap, left}, until, now);
            }
            it.limit = limit;
            rows->emplace(name, found->second);
        }
    }
    rows_.publish(std::move(rows));
    const std::lock_guard lock(slow_);
    std::erase_if(active_,
                  [&](const auto& it) { return !limits.contains(it.first); });
}

std::vector<state::quota_ask> quota_wallet::poll(state::time_point now)
{
    std::vector<state::quota_ask> out;
    const std::lock_guard lock(slow_);
    wanted_.store(false, std::memory_order_release);
    for (auto at = active_.begin(); at != active_.end();) {
        auto& it = *at->second;
        measure(it, now);
        if (it.in_flight && now - it.sent_at >= ask_timeout) {
            // One lost message does not mean that the owner has failed.
            it.in_flight = false;
            it.ask_from = now;
            it.is_dry = false;
            if (++it.timeouts >= 2) {
                fail(it, now);
            }
        }
        const bool alive = to_ticks(now) < it.expires.load();
        if (!it.in_flight && it.waiting == 0 && !alive &&
            now - it.last_request >= forget_after) {
            it.is_active = false;
            at = active_.erase(at);
            continue;
        }
        if (const auto ask = ask_due(it, alive, now)) {
            out.push_back(*ask);
        }
        ++at;
    }
    return out;
}

void quota_wallet::measure(row& it, state::time_point now)
{
    const auto requests = it.requests.exchange(0);
    if (requests > 0) {
        it.last_request = now;
    }
    if (it.taken.exchange(0) > 0) {
        it.last_taken = now;
    }
    const auto elapsed = to_seconds(now - it.polled_at);
    it.polled_at = now;
    const auto kept = std::exp(-elapsed / need_time_s);
    it.need_per_s = it.need_per_s * kept + requests / need_time_s;
}

std::optional<state::quota_ask> quota_wallet::ask_due(row& it, bool alive,
                                                      state::time_point now)
{
    if (it.in_flight) {
        return std::nullopt;
    }
    state::quota_ask out;
    const bool holds_rate = alive && it.rate_per_s > 0;
    const auto idle = std::max(
        min_idle, from_seconds(idle_gaps / std::max(it.need_per_s, 0.1)));
    if (holds_rate && it.waiting == 0 && now - it.last_request >= idle) {
        accrue(it, now);
        out.gives_back = true;
        const auto left = it.close(now);
        out.level = std::max(0.0, left);
        it.level.store(static_cast<std::int64_t>(std::min(0.0, left) * token));
        it.refresh_at = state::time_point::max();
    } else if (it.waiting > 0 && now >= it.ask_from) {
        out.waiting = it.waiting + it.owed();
    } else if (!holds_rate || now < it.refresh_at) {
        return std::nullopt;
    }
    out.workspace = it.name;
    out.number = ++it.number;
    out.applied = it.applied;
    out.holds = alive && !out.gives_back;
    out.need_per_s = needed(it, out.waiting, now);
    if (!out.gives_back) {
        accrue(it, now);
        const auto level = std::max<std::int64_t>(it.level.load(), 0);
        out.level = alive ? static_cast<double>(level) / token : 0.0;
        it.in_flight = true;
        it.sent_at = now;
    }
    return out;
}

double quota_wallet::needed(const row& it, std::uint32_t waiting,
                            state::time_point now)
{
    // Before need_time_s has passed, the average contains less than all.
    const auto known_s =
        std::max(to_seconds(now - it.active_since), min_known_s);
    const auto known = 1 - std::exp(-known_s / need_time_s);
    if (waiting == 0) {
        return it.need_per_s / known;
    }
    // The request that leads to an ask says nothing of how often others come.
    const auto others =
        std::max(0.0, static_cast<double>(waiting) - usual_waiting);
    return std::max(others / wait_time_s,
                    (it.need_per_s - 1 / need_time_s) / known);
}

void quota_wallet::granted(const state::quota_grant& grant,
                           state::time_point now)
{
    const std::lock_guard lock(slow_);
    const auto found = active_.find(grant.workspace);
    if (found == active_.end()) {
        return;
    }
    auto& it = *found->second;
    if (!it.in_flight || grant.number != it.number) {
        return;
    }
    it.in_flight = false;
    it.timeouts = 0;
    it.waiting = 0;
    accrue(it, now);
    auto slice = grant.slice;
    slice.rate_per_s *= part_of(it.limit.rate_per_s, grant.basis.rate_per_s);
    const auto part = part_of(it.limit.burst, grant.basis.burst);
    slice.cap *= part;
    slice.level *= part;
    const auto left = std::min(it.close(now), slice.cap);
    slice.level += left;
    const auto until = it.sent_at + grant.term;
    it.open(slice, until, now);
    it.applied = grant.number;
    it.refresh_at =
        slice.rate_per_s > 0 ? now + ask_refresh : state::time_point::max();
    it.is_dry = grant.retry_after > state::duration{};
    it.is_next_near = grant.retry_after <= token_wait;
    it.ask_from = now + std::max(grant.retry_after, min_ask_gap);
}

void quota_wallet::ask_failed(const std::string& workspace,
                              state::time_point now)
{
    const std::lock_guard lock(slow_);
    const auto found = active_.find(workspace);
    if (found != active_.end() && found->second->in_flight) {
        fail(*found->second, now);
    }
}

void quota_wallet::fail(row& it, state::time_point now)
{
    it.in_flight = false;
    it.timeouts = 0;
    it.waiting = 0;
    it.is_dry = false;
    it.ask_from = now + failed_ask_gap;
    if (it.refresh_at != state::time_point::max()) {
        it.refresh_at = now + failed_ask_gap;
    }
    failed_.push_back(it.name);
}

std::vector<std::string> quota_wallet::take_failed()
{
    const std::lock_guard lock(slow_);
    return std::exchange(failed_, {});
}

bool quota_wallet::awaits(const std::string& workspace) const
{
    const std::lock_guard lock(slow_);
    const auto found = active_.find(workspace);
    return found != active_.end() && found->second->waiting > 0;
}

state::quota_holdings quota_wallet::holdings(state::time_point now) const
{
    const std::lock_guard lock(slow_);
    state::quota_holdings out;
    for (const auto& [name, it] : active_) {
        if (to_ticks(now) < it->expires.load()) {
            out.rate_per_s += it->rate_per_s;
            out.cap += it->cap;
        }
    }
    return out;
}

std::size_t quota_wallet::active() const
{
    const std::lock_guard lock(slow_);
    return active_.size();
}

double quota_wallet::part_of(double known, double basis)
{
    return known < basis ? known / basis : 1;
}

} // namespace oriolegrade::coordination
