// Delegation of a host's own share, one shard at a time.

#include <oriolegrade/coordination/quota_share.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

quota_share::quota_share(state::time_point started, bool joined)
    : owns_from_(started + (joined ? join_delay : delegation_term))
{
    for (auto& it : shards_) {
        it.delegated_until = owns_from_;
    }
}

void quota_share::set_hosts(std::size_t hosts, state::time_point read_at)
{
    read_at_ = std::max(read_at_, read_at);
    while (!hosts_.empty() && hosts_.back().second <= hosts) {
        hosts_.pop_back();
    }
    hosts_.emplace_back(read_at, hosts);
    while (hosts_.front().first + leave_delay < read_at) {
        hosts_.pop_front();
    }
}

double quota_share::fraction(state::time_point now) const
{
    if (now < owns_from_ || hosts_.empty() || hosts_.front().second == 0) {
        return 0;
    }
    const auto age = now - read_at_;
    if (age > leave_delay - delegation_term) {
        return 0;
    }
    const auto part = age > directory_fresh ? stale_share : 1.0;
    return part / static_cast<double>(hosts_.front().second);
}

state::quota_delegation
quota_share::delegate(const state::quota_delegation_request& request,
                      const std::string& owner, const std::string& preferred,
                      state::time_point now)
{
    state::quota_delegation out;
    out.shard = request.shard;
    out.number = request.number;
    out.answer = state::quota_answer::held_elsewhere;
    if (request.shard >= quota_shards) {
        return out;
    }
    auto& it = shards_[request.shard];
    if (request.term <= state::duration{}) {
        // An older one than the last request came late, and ends nothing.
        if (owner == it.owner && now < it.delegated_until &&
            request.number > it.number) {
            it.owner.clear();
            it.delegated_until = now - request.age;
        }
        return out;
    }
    if (owner != preferred) {
        return out;
    }
    const auto part = fraction(now);
    if (part <= 0) {
        out.answer = state::quota_answer::not_ready;
        out.free_in = std::max(state::duration{}, owns_from_ - now);
        return out;
    }
    if (now < it.delegated_until && owner != it.owner) {
        out.free_in = it.delegated_until - now;
        return out;
    }
    out.answer = state::quota_answer::given;
    out.fraction = part;
    out.age = std::max(state::duration{}, now - it.delegated_until);
    it.owner = owner;
    it.number = request.number;
    it.delegated_until = now + std::min(request.term, delegation_term);
    return out;
}

} // namespace oriolegrade::coordination
