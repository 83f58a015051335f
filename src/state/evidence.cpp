// Evidence counters and buffer.

#include <oriolegrade/state/evidence.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace oriolegrade::state {

std::uint64_t evidence_counts::non_shed() const
{
    std::uint64_t n = 0;
    for (const auto value : values) {
        n += value;
    }
    return n - (*this)[evidence_kind::shed];
}

void evidence_counts::add(const evidence_counts& other)
{
    for (std::size_t n = 0; n < values.size(); ++n) {
        const auto room = std::numeric_limits<std::uint32_t>::max() - values[n];
        values[n] += std::min(room, other.values[n]);
    }
}

bool evidence_counts::empty() const
{
    return *this == evidence_counts();
}

void evidence_buffer::add(const endpoint& upstream, request_class request,
                          evidence_kind kind)
{
    for (auto& it : items_) {
        if (it.upstream == upstream && it.request == request) {
            ++it.counts[kind];
            return;
        }
    }
    if (items_.size() == max_evidence_items) {
        ++dropped_;
        return;
    }
    items_.push_back({upstream, request, {}});
    ++items_.back().counts[kind];
}

std::vector<evidence_item> evidence_buffer::take()
{
    return std::exchange(items_, {});
}

} // namespace oriolegrade::state
