// Request body that keeps its first bytes, so that a retry can send them
// again.

#ifndef ORIOLEGRADE_TRANSPORT_REPLAY_BODY_HPP
#define ORIOLEGRADE_TRANSPORT_REPLAY_BODY_HPP

#include <oriolegrade/coordination/memory_budget.hpp>
#include <oriolegrade/transport/body_stream.hpp>

#include <boost/asio/error.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <string>

namespace oriolegrade::transport {

/// Bytes of a request body that are kept for a retry, and read before an
/// upstream is chosen, so that a slow caller holds no upstream slot while it
/// sends a small body.
inline constexpr std::size_t replay_limit_bytes = 64 * 1024;

/// A body waits this long for memory of its host. Callers that stop short of
/// the end of their bodies lose them after the progress limit, mostly 3 s; a
/// longer wait would only add those of others.
inline constexpr std::chrono::milliseconds memory_wait{500};
inline constexpr std::chrono::milliseconds memory_wait_step{50};

template <body_source Source>
class replay_body
{
public:
    /// @param memory what the kept bytes are taken from
    replay_body(Source& source, std::size_t limit,
                coordination::memory_budget& memory)
        : source_(source)
        , limit_(limit)
        , memory_(memory)
    {}

    /// Tells the length of the body, for one whose head announces it. Memory
    /// for all that is kept of it is then taken in one step: bodies that hold a
    /// part and wait for more keep each other from their ends.
    void expect(std::uint64_t bytes)
    {
        expected_ = bytes;
    }

    /// Reads from the source until its end or the limit.
    /// @param ec boost::asio::error::no_memory when the host has no room for
    ///        the bytes
    void fill(error_code& ec)
    {
        while (!ended_ && kept_.size() < limit_ && !ec) {
            const auto old = kept_.size();
            const auto size = std::min(old + step_at(old), limit_);
            if (!reserve(size)) {
                ec = boost::asio::error::no_memory;
                return;
            }
            kept_.resize(size);
            const auto n = source_.read_some(std::span(kept_).subspan(old), ec);
            kept_.resize(old + n);
            ended_ = n == 0 && !ec;
        }
    }

    /// Reads kept bytes first, then from the source.
    std::size_t read_some(std::span<char> buf, error_code& ec)
    {
        if (position_ < kept_.size()) {
            const auto n = std::min(buf.size(), kept_.size() - position_);
            std::memcpy(buf.data(), kept_.data() + position_, n);
            position_ += n;
            return n;
        }
        if (ended_) {
            return 0;
        }
        const auto n = source_.read_some(buf, ec);
        ended_ = n == 0 && !ec;
        overrun_ = overrun_ || n > 0;
        return n;
    }

    /// Starts again at the first byte. Only valid while replayable().
    void rewind()
    {
        position_ = 0;
    }

    /// True while every byte that was read is kept.
    bool replayable() const
    {
        return !overrun_;
    }

    bool ended() const
    {
        return ended_;
    }

    /// Kept bytes; the whole body once ended() and replayable().
    const std::string& kept() const
    {
        return kept_;
    }

private:
    static constexpr std::size_t read_step_bytes = 8 * 1024;

    /// Bytes of the next read: what fits into the memory at hand, so that a
    /// small body asks for none, also at its end.
    std::size_t step_at(std::size_t size) const
    {
        const auto at_hand = std::max(kept_.capacity(), read_step_bytes);
        return size < at_hand ? std::min(read_step_bytes, at_hand - size)
                              : read_step_bytes;
    }

    bool is_abandoned() const
    {
        if constexpr (requires { source_.is_abandoned(); }) {
            return source_.is_abandoned();
        } else {
            return false;
        }
    }

    /// Waits for memory for the bytes, but for the first ones, which are part
    /// of a connection's own memory.
    bool reserve(std::size_t bytes)
    {
        if (bytes <= std::max(kept_.capacity(), read_step_bytes)) {
            return true;
        }
        const auto capacity = capacity_for(bytes);
        const auto until = std::chrono::steady_clock::now() + memory_wait;
        while (!memory_.grow_to(capacity)) {
            if (std::chrono::steady_clock::now() >= until || is_abandoned()) {
                return false;
            }
            boost::this_fiber::sleep_for(memory_wait_step);
        }
        kept_.reserve(capacity);
        return true;
    }

    /// Memory to take for the bytes: what the body needs, or as the string
    /// grows.
    std::size_t capacity_for(std::size_t bytes) const
    {
        if (expected_ >= bytes) {
            // One more than the body, for the read that finds its end.
            return static_cast<std::size_t>(
                std::min<std::uint64_t>(expected_ + 1, limit_));
        }
        return std::max(bytes, 2 * kept_.capacity());
    }

    Source& source_;
    const std::size_t limit_;
    /// Length of the body; 0 while it is not known.
    std::uint64_t expected_ = 0;
    coordination::memory_share memory_;
    std::string kept_;
    /// Next kept byte to read; at most kept_.size().
    std::size_t position_ = 0;
    bool ended_ = false;
    /// Bytes beyond the kept ones were read and are lost for a retry.
    bool overrun_ = false;
};

} // namespace oriolegrade::transport

#endif
