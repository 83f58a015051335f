// In-memory append-only streams of the platform stand-in, with limited
// retention.

#ifndef ORIOLEGRADE_PROGRAMS_LOG_STORE_HPP
#define ORIOLEGRADE_PROGRAMS_LOG_STORE_HPP

#include <oriolegrade/state/log_type.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace oriolegrade::programs {

/// All streams of one platform.
class log_store
{
public:
    /// @param retention records kept per stream; older ones are trimmed
    explicit log_store(std::size_t retention)
        : retention_(retention)
    {}

    std::uint64_t append(std::string_view stream, std::string bytes);

    /// Never returns state::log_unavailable.
    state::read_result read(std::string_view stream, std::uint64_t from,
                            std::size_t max) const;

    std::uint64_t first_offset(std::string_view stream) const;

    /// Appends to all streams since the start.
    std::uint64_t appends() const
    {
        return appends_;
    }

private:
    struct stream_state
    {
        std::deque<std::string> records;
        /// Offset of records.front().
        std::uint64_t first = 0;
    };

    std::map<std::string, stream_state, std::less<>> streams_;
    std::size_t retention_;
    std::uint64_t appends_ = 0;
};

} // namespace oriolegrade::programs

#endif
