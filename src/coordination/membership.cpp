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

/// Probes that fail in a row before a host blames itself. With half of the
/// fleet gone, 1 row in 16 is that long by chance.
constexpr unsigned own_fault_probes = 4;

/// Messages of one incarnation that get a number of their own.
constexpr unsigned sequence_bits = 20;

/// Periods in which a stopping host announces its end.
constexpr unsigned leave_announcements = 3;

/// Periods in which a host announces other news about itself.
constexpr unsigned claim_announcements = 2;

} // namespace

membership::membership(state::member_info self, membership_settings settings,
                       state::time_point now)
    : self_(std::move(self))
    , settings_(settings)
    , period_start_(now - settings.period)
    // Acks to an earlier life of this host must not match.
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
    // Others replace a claim only by one of a higher incarnation.
    ++self_.incarnation;
    announcements_left_ = std::max(announcements_left_, claim_announcements);
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
        const auto place = std::lower_bound(
            out.begin(), out.end(), self_.name,
            [](const state::member_info& it, const std::string& name) {
                return it.name < name;
            });
        out.insert(place, self_);
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

bool membership::suspects_itself() const
{
    return failed_probes_ >= own_fault_probes;
}

unsigned membership::sends_per_claim() const
{
    constexpr unsigned sends_per_digit = 3;
    const auto digits =
        std::ceil(std::log10(static_cast<double>(table_.known() + 2)));
    return sends_per_digit * std::max(1U, static_cast<unsigned>(digits));
}

state::duration membership::suspicion_time() const
{
    // A refutation needs time to spread, which grows with the logarithm of
    // the fleet.
    constexpr double periods_per_digit = 4;
    const auto digits =
        std::max(1.0, std::log10(static_cast<double>(table_.known() + 1)));
    return std::chrono::duration_cast<state::duration>(
        settings_.period * (periods_per_digit * digits));
}

state::time_point membership::next_deadline() const
{
    const auto end = period_start_ + settings_.period;
    if (probe_ && !probe_->answered && !probe_->asked_others) {
        return std::min(end, probe_->sent + settings_.ack_timeout);
    }
    return end;
}

membership::outbox membership::advance(state::time_point now,
                                       std::uint64_t random)
{
    outbox out;
    // After a pause of this process the acks of its probe may be waiting
    // unread, and refutations too.
    if (now - last_advance_ > 2 * settings_.period) {
        probe_.reset();
        restart_suspicions(now);
    }
    last_advance_ = now;
    if (now >= period_start_ + settings_.period) {
        finish_period(now);
        start_period(now, random, out);
    } else if (probe_ && !probe_->answered && !probe_->asked_others &&
               now >= probe_->sent + settings_.ack_timeout) {
        ask_others(random, out);
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
        const bool was_own_fault = suspects_itself();
        failed_probes_ = 0;
        if (was_own_fault) {
            restart_suspicions(now);
        }
        return;
    }
    auto* it = table_.find(done.name);
    if (!it || !it->heard || it->info.state == member_state::dead) {
        return;
    }
    ++failed_probes_;
    if (!suspects_itself() && it->info.state == member_state::alive) {
        table_.set_state(*it, member_state::suspect, now);
        it->sends_left = sends_per_claim();
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
    if (suspects_itself()) {
        return;
    }
    const auto limit = suspicion_time();
    for (auto& [name, it] : table_.all()) {
        if (it.info.state == member_state::suspect &&
            now - it.state_since >= limit) {
            table_.set_state(it, member_state::dead, now);
            it.sends_left = sends_per_claim();
        }
    }
}

void membership::start_period(state::time_point now, std::uint64_t random,
                              outbox& out)
{
    period_start_ = now;
    ++periods_;
    asks_left_ = settings_.wanted_messages;
    brings_left_ = settings_.wanted_messages;
    table_.forget(now - settings_.forget_after);
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
    if (announcements_left_ > 0 || has_news()) {
        tell_news(random, out);
    }
    announcements_left_ -= announcements_left_ > 0 ? 1 : 0;
}

bool membership::choose_target(std::uint64_t random, probe& next)
{
    const bool try_seed = !seeds_.empty() && table_.known() == 0 &&
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
        if (it.heard && it.info.state == member_state::alive) {
            out.push_back(&it);
        }
    }
    std::shuffle(out.begin(), out.end(), splitmix64(random));
    return out;
}

void membership::ask_others(std::uint64_t random, outbox& out)
{
    probe_->asked_others = true;
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

bool membership::has_news() const
{
    const auto& all = table_.all();
    return std::any_of(all.begin(), all.end(),
                       [](const auto& it) { return it.second.sends_left > 0; });
}

void membership::tell_news(std::uint64_t random, outbox& out)
{
    auto targets = shuffled_live(random);
    targets.resize(
        std::min<std::size_t>(targets.size(), settings_.news_fanout));
    for (const auto* it : targets) {
        out.push_back({it->info.gossip, compose(gossip_kind::news, 0, {})});
    }
}

} // namespace oriolegrade::coordination
