// Handling and composition of gossip messages.

#include <oriolegrade/coordination/membership.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

using state::gossip_kind;
using state::member_state;

namespace {

/// Estimated size of one message. With headers and names of usual length it
/// fits into one Ethernet frame.
constexpr std::size_t message_bytes = 1'300;
/// Bytes for pending updates, and for updates in a message that answers a
/// request for them.
constexpr std::size_t update_bytes = 600;
constexpr std::size_t requested_bytes = 1'100;
/// Encoded size of a member without its strings, and of one progress item.
constexpr std::size_t member_overhead = 56;
constexpr std::size_t progress_bytes = 6;

/// Maximum updates requested in one message; about four messages answer it.
constexpr std::size_t max_requested = 32;

/// How long a dead member is still included in the progress list.
constexpr state::duration dead_progress_retention = std::chrono::minutes(2);

/// Maximum relayed pings that await an ack.
constexpr std::size_t max_relays = 64;

std::size_t estimated_bytes(const state::member_info& it)
{
    return it.name.size() + it.data_centre.size() + member_overhead +
           it.incarnations.size() * sizeof(state::identifier);
}

} // namespace

std::vector<outgoing_gossip>
membership::receive(state::time_point now, const state::endpoint& from,
                    const state::gossip_message& message)
{
    outbox out;
    if (message.sender.name == self_.name) {
        // Another host has this name, or an own datagram was sent back.
        refute(message.sender);
        return out;
    }
    auto missing = merge_updates(message, now);
    send_requested_updates(from, message.wanted, out);
    switch (message.kind) {
    case gossip_kind::ping:
        handle_ping(from, message, std::move(missing), out);
        return out;
    case gossip_kind::ping_request:
        relay_ping(now, from, message, out);
        break;
    case gossip_kind::ack:
        handle_ack(message, out);
        break;
    case gossip_kind::news:
        break;
    }
    request_updates(from, std::move(missing), out);
    return out;
}

std::vector<std::uint32_t>
membership::merge_updates(const state::gossip_message& message,
                          state::time_point now)
{
    merge_update(message.sender, now);
    for (const auto& it : message.members) {
        merge_update(it, now);
    }
    const auto own = member_hash(self_);
    std::vector<std::uint32_t> missing;
    for (const auto& it : message.progress) {
        if (!table_.merge(it, now) && it.claim != own &&
            missing.size() < max_requested) {
            missing.push_back(it.claim);
        }
    }
    return missing;
}

void membership::merge_update(const state::member_info& update,
                              state::time_point now)
{
    if (update.name == self_.name) {
        refute(update);
    } else if (table_.merge(update, now)) {
        table_.find(update.name)->sends_left = sends_per_update();
    }
}

void membership::refute(const state::member_info& update)
{
    const bool wrong = update.incarnation == self_.incarnation &&
                       update.state != member_state::alive;
    if (wrong || update.incarnation > self_.incarnation) {
        self_.incarnation = update.incarnation + 1;
    }
}

void membership::handle_ping(const state::endpoint& from,
                             const state::gossip_message& message,
                             std::vector<std::uint32_t> wanted, outbox& out)
{
    auto ack = compose(gossip_kind::ack, message.sequence, message.sender.name);
    ack.wanted = std::move(wanted);
    out.push_back({from, std::move(ack)});
}

void membership::relay_ping(state::time_point now, const state::endpoint& from,
                            const state::gossip_message& message, outbox& out)
{
    if (relays_.size() == max_relays) {
        relays_.pop_front();
    }
    relays_.push_back({++sequence_, from, message.sequence, now});
    out.push_back({message.target,
                   compose(gossip_kind::ping, relays_.back().sequence, {})});
}

void membership::handle_ack(const state::gossip_message& message, outbox& out)
{
    if (probe_ && probe_->sequence == message.sequence) {
        probe_->answered = true;
        return;
    }
    const auto it =
        std::find_if(relays_.begin(), relays_.end(), [&](const relay& r) {
            return r.sequence == message.sequence;
        });
    if (it != relays_.end()) {
        out.push_back(
            {it->origin, compose(gossip_kind::ack, it->origin_sequence, {})});
        relays_.erase(it);
    }
}

void membership::request_updates(const state::endpoint& from,
                                 std::vector<std::uint32_t> wanted, outbox& out)
{
    if (wanted.empty() || update_requests_left_ == 0) {
        return;
    }
    --update_requests_left_;
    state::gossip_message message;
    message.kind = gossip_kind::news;
    message.sender = self_;
    message.wanted = std::move(wanted);
    out.push_back({from, std::move(message)});
}

void membership::send_requested_updates(
    const state::endpoint& to, const std::vector<std::uint32_t>& wanted,
    outbox& out)
{
    auto next = wanted.begin();
    while (next != wanted.end() && update_replies_left_ > 0) {
        --update_replies_left_;
        state::gossip_message message;
        message.kind = gossip_kind::news;
        message.sender = self_;
        std::size_t bytes = 0;
        for (; next != wanted.end() && bytes < requested_bytes; ++next) {
            if (const auto* it = table_.find_by_hash(*next)) {
                bytes += estimated_bytes(it->info);
                message.members.push_back(it->info);
            }
        }
        out.push_back({to, std::move(message)});
    }
}

state::gossip_message membership::compose(gossip_kind kind,
                                          std::uint64_t sequence,
                                          const std::string& about)
{
    state::gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = self_;
    add_progress(message, add_updates(message, about));
    return message;
}

std::size_t membership::add_updates(state::gossip_message& message,
                                    const std::string& about)
{
    std::size_t bytes = estimated_bytes(self_);
    const auto add = [&](const member& it) {
        bytes += estimated_bytes(it.info);
        message.members.push_back(it.info);
    };
    // An update about the receiver goes first, so that it can refute it.
    const auto* receiver = table_.find(about);
    if (receiver && receiver->has_gossip &&
        receiver->info.state != member_state::alive) {
        add(*receiver);
    }
    std::vector<member*> updates;
    for (auto& [name, it] : table_.all()) {
        if (it.sends_left > 0 && &it != receiver) {
            updates.push_back(&it);
        }
    }
    std::stable_sort(updates.begin(), updates.end(),
                     [](const member* a, const member* b) {
                         return a->sends_left > b->sends_left;
                     });
    for (auto* it : updates) {
        if (bytes >= update_bytes) {
            break;
        }
        --it->sends_left;
        add(*it);
    }
    return message_bytes - std::min(bytes, message_bytes);
}

void membership::add_progress(state::gossip_message& message, std::size_t bytes)
{
    std::vector<const member*> all;
    for (const auto& [name, it] : table_.all()) {
        const bool dead = it.info.state == member_state::dead;
        if (it.has_gossip && (!dead || last_advance_ - it.state_since <
                                           dead_progress_retention)) {
            all.push_back(&it);
        }
    }
    const auto count = std::min(all.size(), bytes / progress_bytes);
    const auto add = [&](const member& it) {
        message.progress.push_back({member_hash(it.info), it.info.next_offset});
    };
    // Half of the list is recent progress; the other half rotates through the
    // members, for hosts that missed an update.
    const auto recent = std::min(all.size(), (count + 1) / 2);
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(recent);
    std::partial_sort(all.begin(), end, all.end(),
                      [](const member* a, const member* b) {
                          return a->progress_since > b->progress_since;
                      });
    std::for_each(all.begin(), end, [&](const member* it) { add(*it); });
    std::sort(end, all.end(), [](const member* a, const member* b) {
        return a->info.name < b->info.name;
    });
    const auto rest = all.end() - end;
    auto it = std::upper_bound(end, all.end(), progress_cursor_,
                               [](const std::string& name, const member* m) {
                                   return name < m->info.name;
                               });
    for (std::size_t n = recent; n < count && rest > 0; ++n, ++it) {
        if (it == all.end()) {
            it = end;
        }
        add(**it);
        progress_cursor_ = (*it)->info.name;
    }
}

} // namespace oriolegrade::coordination
