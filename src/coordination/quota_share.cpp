// Delegation of a host's own share, one shard at a time.

#include <oriolegrade/coordination/quota_share.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

quota_share::quota_share(state::time_point started, bool joined)
    : started_(started)
    , joined_(joined)
    , owns_from_(started + (joined ? join_delay : delegation_term))
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
    if (hosts_.front().second > counted_) {
        risen_at_ = read_at;
    }
    counted_ = hosts_.front().second;
}

double quota_share::fraction(state::time_point now) const
{
    return now < owns_from_ ? 0 : part(now, 0);
}

double quota_share::part(state::time_point now, std::uint32_t least_hosts) const
{
    if (hosts_.empty() || hosts_.front().second == 0) {
        return 0;
    }
    const auto age = now - read_at_;
    if (age > leave_delay - delegation_term) {
        return 0;
    }
    const auto share = age > directory_fresh ? stale_share : 1.0;
    return share / static_cast<double>(std::max<std::size_t>(
                       hosts_.front().second, least_hosts));
}

std::uint32_t quota_share::settled_hosts(state::time_point now) const
{
    return now - risen_at_ >= join_delay ? static_cast<std::uint32_t>(counted_)
                                         : 0;
}

state::time_point quota_share::empty_at(state::time_point now) const
{
    const auto settled_at = started_ + delegation_term;
    if (now < settled_at) {
        return started_;
    }
    return now < owns_from_ ? settled_at : owns_from_;
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
        out.holder = now < it.delegated_until ? it.owner : std::string{};
        return out;
    }
    const bool early = now < started_ + delegation_term;
    // Where the others have counted as many hosts for long, they have left room
    // for one that joins again.
    const bool has_room =
        !hosts_.empty() && hosts_.front().second <= request.hosts;
    const bool may_delegate =
        now >= owns_from_ || (request.accepts_early && (!joined_ || has_room));
    const auto share =
        may_delegate ? part(now, joined_ ? request.hosts : 0) : 0;
    if (share <= 0) {
        out.answer = state::quota_answer::not_ready;
        out.free_in = std::max(state::duration{}, owns_from_ - now);
        return out;
    }
    if (it.was_delegated && now < it.delegated_until && owner != it.owner) {
        out.free_in = it.delegated_until - now;
        out.holder = it.owner;
        return out;
    }
    out.answer = state::quota_answer::given;
    out.fraction = share;
    out.early = early;
    out.hosts = settled_hosts(now);
    const auto since = it.was_delegated ? it.delegated_until : empty_at(now);
    out.age = std::max(state::duration{}, now - since);
    it.was_delegated = true;
    it.owner = owner;
    it.number = request.number;
    it.delegated_until = now + std::min(request.term, delegation_term);
    return out;
}

} // namespace oriolegrade::coordination
