// Rules for applying claims, releases and checkpoints.

#include <oriolegrade/coordination/claim_table.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

claim_table::claim_table(const claim_table_limits& limits)
    : limits_(limits)
{}

void claim_table::apply(std::uint64_t offset, const state::claim_batch& batch,
                        state::time_point now, const nonce_observer& on_nonce)
{
    if (offset < next_offset_) {
        return;
    }
    next_offset_ = offset + 1;
    if (complete_) {
        evaluate(batch, now);
    } else {
        buffer_record(offset, batch, now);
    }
    if (batch.checkpoint) {
        last_checkpoint_ = std::max(last_checkpoint_, batch.checkpoint->offset);
    }
    if (on_nonce) {
        for (const auto& it : batch.claims) {
            on_nonce(it.nonce);
        }
    }
}

void claim_table::evaluate(const state::claim_batch& batch,
                           state::time_point now)
{
    for (const auto& it : batch.releases) {
        const auto found = held_.find(it.key);
        if (found != held_.end() && found->second.claim.nonce == it.nonce) {
            held_.erase(found);
        }
    }
    // A table without gaps already holds every renewed claim.
    for (const auto& it : batch.claims) {
        if (!held_.contains(it.key)) {
            insert_claim(it, now);
        }
    }
}

void claim_table::insert_claim(const state::claim& claim, state::time_point now)
{
    const auto max_lifetime_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            limits_.max_lifetime)
            .count();
    const auto lifetime = std::min(claim.lifetime_ms,
                                   static_cast<std::uint64_t>(max_lifetime_ms));
    held_.insert_or_assign(
        claim.key,
        held_claim{claim, now + std::chrono::milliseconds(lifetime)});
}

void claim_table::buffer_record(std::uint64_t offset,
                                const state::claim_batch& batch,
                                state::time_point now)
{
    buffer_.push_back({offset, batch, now});
    if (batch.checkpoint && batch.checkpoint->offset >= gap_end_ &&
        batch.checkpoint->offset <= offset) {
        replay_from(batch.checkpoint->offset);
    } else if (buffer_.size() > limits_.max_buffered_records) {
        buffer_.clear();
        gap_end_ = next_offset_;
        gap_detected_at_ = now;
    }
}

void claim_table::replay_from(std::uint64_t checkpoint)
{
    held_.clear();
    // Only renewals of this checkpoint describe the state at its offset.
    // Renewals of an older one may name claims that were released since.
    for (const auto& record : buffer_) {
        if (record.offset < checkpoint) {
            continue;
        }
        for (const auto& it : record.batch.renewals) {
            if (it.as_of == checkpoint) {
                insert_claim(it.what, record.read_at);
            }
        }
    }
    complete_ = true;
    for (const auto& record : buffer_) {
        if (record.offset >= checkpoint) {
            evaluate(record.batch, record.read_at);
        }
    }
    buffer_.clear();
    buffer_.shrink_to_fit();
}

void claim_table::skip_to(std::uint64_t first_offset, state::time_point now)
{
    if (first_offset <= next_offset_) {
        return;
    }
    next_offset_ = first_offset;
    held_.clear();
    buffer_.clear();
    complete_ = false;
    gap_end_ = first_offset;
    gap_detected_at_ = now;
}

void claim_table::skip_undecodable(std::uint64_t offset)
{
    next_offset_ = std::max(next_offset_, offset + 1);
}

void claim_table::expire_gap(state::time_point now)
{
    if (!complete_ && now - gap_detected_at_ >= limits_.max_lifetime) {
        replay_from(gap_end_);
    }
}

std::optional<state::claim>
claim_table::winner(const state::digest256& key) const
{
    const auto found = held_.find(key);
    if (!complete_ || found == held_.end()) {
        return std::nullopt;
    }
    return found->second.claim;
}

std::vector<state::claim_release>
claim_table::expired(state::time_point now) const
{
    std::vector<state::claim_release> out;
    for (const auto& [key, it] : held_) {
        if (complete_ && it.expires <= now) {
            out.push_back({key, it.claim.nonce});
        }
    }
    return out;
}

std::vector<state::claim_renewal>
claim_table::renewals(state::time_point now) const
{
    std::vector<state::claim_renewal> out;
    if (!complete_) {
        return out;
    }
    out.reserve(held_.size());
    for (const auto& [key, it] : held_) {
        auto claim = it.claim;
        const auto left = std::max(it.expires - now, state::duration{0});
        claim.lifetime_ms = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(left)
                .count());
        out.push_back({claim, next_offset_});
    }
    return out;
}

} // namespace oriolegrade::coordination
