// Counts how often each request id ran, so that duplicates can be proved.

#ifndef ORIOLEGRADE_PROGRAMS_RUN_COUNTS_HPP
#define ORIOLEGRADE_PROGRAMS_RUN_COUNTS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace oriolegrade::programs {

class run_counts
{
public:
    /// Bound of memory: about 200 bytes an id.
    static constexpr std::size_t max_ids = 2'000'000;

    void add(std::string_view id)
    {
        ++total_;
        const auto it = counts_.find(id);
        if (it != counts_.end()) {
            ++it->second;
            ++duplicates_;
        } else if (counts_.size() < max_ids) {
            counts_.emplace(id, 1);
        } else {
            ++uncounted_;
        }
    }

    std::uint64_t total() const
    {
        return total_;
    }
    /// Runs beyond the first of each id.
    std::uint64_t duplicates() const
    {
        return duplicates_;
    }
    /// Runs whose id is not kept because the bound was reached.
    std::uint64_t uncounted() const
    {
        return uncounted_;
    }
    const std::map<std::string, std::uint32_t, std::less<>>& counts() const
    {
        return counts_;
    }

private:
    std::map<std::string, std::uint32_t, std::less<>> counts_;
    std::uint64_t total_ = 0;
    std::uint64_t duplicates_ = 0;
    std::uint64_t uncounted_ = 0;
};

} // namespace oriolegrade::programs

#endif
