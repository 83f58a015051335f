// Streams of the platform stand-in.

#include "log_store.hpp"

namespace oriolegrade::programs {

std::uint64_t log_store::append(std::string_view stream, std::string bytes)
{
    auto& s = streams_[std::string(stream)];
    const auto offset = s.first + s.records.size();
    s.records.push_back(std::move(bytes));
    if (s.records.size() > retention_) {
        s.records.pop_front();
        ++s.first;
    }
    ++appends_;
    return offset;
}

state::read_result log_store::read(std::string_view stream, std::uint64_t from,
                                   std::size_t max) const
{
    state::log_records result;
    result.next_offset = from;
    const auto it = streams_.find(stream);
    if (it == streams_.end()) {
        return result;
    }
    const auto& s = it->second;
    if (from < s.first) {
        return state::log_trimmed{s.first};
    }
    const auto end = s.first + s.records.size();
    while (result.next_offset < end && result.records.size() < max) {
        const auto n = result.next_offset++;
        result.records.push_back({n, s.records[n - s.first]});
    }
    return result;
}

std::uint64_t log_store::first_offset(std::string_view stream) const
{
    const auto it = streams_.find(stream);
    return it == streams_.end() ? 0 : it->second.first;
}

} // namespace oriolegrade::programs
