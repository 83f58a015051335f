// Periods and probes of the membership protocol.

#include <oriolegrade/coordination/membership.hpp>

#include "splitmix64.hpp"

#include <oriolegrade/state/peer_directory.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace oriolegrade::coordination {

using state::gossip_kind;
using state::member_state;

namespace {

/// Consecutive failed probes after which a host considers itself isolated.
/// With half of the fleet down, 1 run in 16 is that long by chance.
constexpr unsigned isolation_probes = 4;

/// Bits of the sequence number that count the messages of one incarnation.
constexpr unsigned sequence_bits = 20;

/// Periods in which a stopping host announces that it is leaving.
constexpr unsigned leave_announcements = 3;

/// Periods in which a host announces other changes of itself.
constexpr unsigned update_announcements = 2;

} // namespace

membership::membership(state::member_info self, membership_settings settings,
                       state::time_point now)
    : self_(std::move(self))
    , settings_(settings)
    , period_start_(now - settings.period)
    // Acks to an earlier run of this host must not match.
    , sequence_(self_.incarnation << sequence_bits)
    , last_advance_(now)
{
    assert(!self_.name.empty());
    self_.state = member_state::alive;
}

void membership::set_host_list(const state::host_list& list,
                               state::time_point now)
{
    table_.merge(list, self_.name, now);
}

void membership::set_seeds(std::vector<state::endpoint> seeds)
{
    std::erase(seeds, self_.gossip);
    seeds_ = std::move(seeds);
}

void membership::set_next_offset(std::uint64_t next_offset)
{
    assert(next_offset >= self_.next_offset);
    self_.next_offset = next_offset;
}

void membership::set_incarnations(std::vector<state::identifier> incarnations)
{
    assert(incarnations.size() <= state::max_held_incarnations);
    if (incarnations == self_.incarnations) {
        return;
    }
    self_.incarnations = std::move(incarnations);
    // Other hosts accept the change only with a higher incarnation.
    ++self_.incarnation;
    announcements_left_ = std::max(announcements_left_, update_announcements);
}

void membership::leave()
{
    if (!self_.leaving) {
        self_.leaving = true;
        ++self_.incarnation;
        announcements_left_ = leave_announcements;
    }
}

std::vector<state::member_info> membership::live() const
{
    std::vector<state::member_info> out;
    for (const auto& [name, it] : table_.all()) {
        if (it.is_live()) {
            out.push_back(it.info);
        }
    }
    if (!self_.leaving) {
        const auto position = std::lower_bound(
            out.begin(), out.end(), self_.name,
            [](const state::member_info& it, const std::string& name) {
                return it.name < name;
            });
        out.insert(position, self_);
    }
    return out;
}

std::vector<host_progress> membership::progress() const
{
    std::vector<host_progress> out;
    for (auto& it : live()) {
        out.push_back({std::move(it.name), it.next_offset});
    }
    return out;
}

bool membership::is_isolated() const
{
    return failed_probes_ >= isolation_probes;
}

unsigned membership::sends_per_update() const
{
    constexpr unsigned sends_per_digit = 3;
    const auto digits =
        std::ceil(std::log10(static_cast<double>(table_.active_count() + 2)));
    return sends_per_digit * std::max(1U, static_cast<unsigned>(digits));
}

state::duration membership::suspicion_timeout() const
{
    // The time that a refutation needs to spread grows with the logarithm of
    // the fleet size.
    constexpr double periods_per_digit = 4;
    const auto digits = std::max(
        1.0, std::log10(static_cast<double>(table_.active_count() + 1)));
    return std::chrono::duration_cast<state::duration>(
        settings_.period * (periods_per_digit * digits));
}

state::time_point membership::next_deadline() const
{
    const auto end = period_start_ + settings_.period;
    if (probe_ && !probe_->answered && !probe_->ping_requests_sent) {
        return std::min(end, probe_->sent + settings_.ack_timeout);
    }
    return end;
}

membership::outbox membership::advance(state::time_point now,
                                       std::uint64_t random)
{
    outbox out;
    // After a pause of this process, acks of its probe and refutations may
    // still be waiting unread.
    if (now - last_advance_ > 2 * settings_.period) {
        probe_.reset();
        restart_suspicions(now);
    }
    last_advance_ = now;
    if (now >= period_start_ + settings_.period) {
        finish_period(now);
        start_period(now, random, out);
    } else if (probe_ && !probe_->answered && !probe_->ping_requests_sent &&
               now >= probe_->sent + settings_.ack_timeout) {
        send_ping_requests(random, out);
    }
    expire_suspects(now);
    return out;
}

void membership::finish_period(state::time_point now)
{
    if (!probe_) {
        return;
    }
    const auto done = *probe_;
    probe_.reset();
    if (done.answered) {
        const bool was_isolated = is_isolated();
        failed_probes_ = 0;
        if (was_isolated) {
            restart_suspicions(now);
        }
        return;
    }
    auto* it = table_.find(done.name);
    if (!it || !it->has_gossip || it->info.state == member_state::dead) {
        return;
    }
    ++failed_probes_;
    if (!is_isolated() && it->info.state == member_state::alive) {
        table_.set_state(*it, member_state::suspect, now);
        it->sends_left = sends_per_update();
    }
}

void membership::restart_suspicions(state::time_point now)
{
    for (auto& [name, it] : table_.all()) {
        if (it.info.state == member_state::suspect) {
            it.state_since = now;
        }
    }
}

void membership::expire_suspects(state::time_point now)
{
    if (is_isolated()) {
        return;
    }
    const auto limit = suspicion_timeout();
    for (auto& [name, it] : table_.all()) {
        if (it.info.state == member_state::suspect &&
            now - it.state_since >= limit) {
            table_.set_state(it, member_state::dead, now);
            it.sends_left = sends_per_update();
        }
    }
}

void membership::start_period(state::time_point now, std::uint64_t random,
                              outbox& out)
{
    period_start_ = now;
    ++periods_;
    update_requests_left_ = settings_.max_update_messages;
    update_replies_left_ = settings_.max_update_messages;
    table_.remove_dead(now - settings_.dead_retention);
    while (!relays_.empty() &&
           relays_.front().sent < now - 2 * settings_.period) {
        relays_.pop_front();
    }
    probe next;
    if (choose_target(random, next)) {
        next.sequence = ++sequence_;
        next.sent = now;
        out.push_back({next.target,
                       compose(gossip_kind::ping, next.sequence, next.name)});
        probe_ = std::move(next);
    }
    if (periods_ % settings_.reconnect_periods == 0) {
        reconnect(random, out);
    }
    if (announcements_left_ > 0 || has_pending_updates()) {
        send_updates(random, out);
    }
    announcements_left_ -= announcements_left_ > 0 ? 1 : 0;
}

bool membership::choose_target(std::uint64_t random, probe& next)
{
    const bool try_seed = !seeds_.empty() && table_.active_count() == 0 &&
                          (periods_ % 2 == 1 || table_.all().empty());
    if (try_seed) {
        next.target = seeds_[random % seeds_.size()];
        return true;
    }
    if (round_.empty()) {
        for (const auto& [name, it] : table_.all()) {
            if (it.info.state != member_state::dead) {
                round_.push_back(name);
            }
        }
        std::shuffle(round_.begin(), round_.end(), splitmix64(random));
    }
    while (!round_.empty()) {
        const auto* it = table_.find(round_.back());
        next.name = std::move(round_.back());
        round_.pop_back();
        if (it && it->info.state != member_state::dead) {
            next.target = it->info.gossip;
            return true;
        }
    }
    return false;
}

std::vector<const member*> membership::shuffled_live(std::uint64_t random) const
{
    std::vector<const member*> out;
    for (const auto& [name, it] : table_.all()) {
        if (it.has_gossip && it.info.state == member_state::alive) {
            out.push_back(&it);
        }
    }
    std::shuffle(out.begin(), out.end(), splitmix64(random));
    return out;
}

void membership::send_ping_requests(std::uint64_t random, outbox& out)
{
    probe_->ping_requests_sent = true;
    unsigned asked = 0;
    for (const auto* it : shuffled_live(random)) {
        if (asked == settings_.indirect_probes) {
            break;
        }
        if (it->info.gossip == probe_->target) {
            continue;
        }
        auto message =
            compose(gossip_kind::ping_request, probe_->sequence, probe_->name);
        message.target = probe_->target;
        out.push_back({it->info.gossip, std::move(message)});
        ++asked;
    }
}

void membership::reconnect(std::uint64_t random, outbox& out)
{
    std::vector<const member*> dead;
    for (const auto& [name, it] : table_.all()) {
        if (it.info.state == member_state::dead) {
            dead.push_back(&it);
        }
    }
    if (dead.empty()) {
        return;
    }
    const auto& it = *dead[random % dead.size()];
    out.push_back({it.info.gossip,
                   compose(gossip_kind::ping, ++sequence_, it.info.name)});
}

bool membership::has_pending_updates() const
{
    const auto& all = table_.all();
    return std::any_of(all.begin(), all.end(),
                       [](const auto& it) { return it.second.sends_left > 0; });
}

void membership::send_updates(std::uint64_t random, outbox& out)
{
    auto targets = shuffled_live(random);
    targets.resize(
        std::min<std::size_t>(targets.size(), settings_.update_fanout));
    for (const auto* it : targets) {
        out.push_back({it->info.gossip, compose(gossip_kind::news, 0, {})});
    }
}

} // namespace oriolegrade::coordination
