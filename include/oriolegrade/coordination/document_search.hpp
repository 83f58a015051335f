// Where a host gets a document that it knows to be newer than its own: from a
// host that told of it, from any host, and at last from the store.
//
// Load pattern: a document of some 500 KB changes before hundreds of hosts with
// links of 10 Mbit/s, and all hear of it in the same moment. The host that has
// it first sends it to a few at a time and turns the others away, each host
// that has it helps further ones, and the reads of the store stay free for the
// register. A host that asked the store at once took part in 200 MB of reads of
// a store that gives 80 MB/s.

#ifndef ORIOLEGRADE_COORDINATION_DOCUMENT_SEARCH_HPP
#define ORIOLEGRADE_COORDINATION_DOCUMENT_SEARCH_HPP

#include <oriolegrade/state/enum_names.hpp>
#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <string_view>

namespace oriolegrade::coordination {

enum class document_place : std::uint8_t
{
    /// The host that told of the version.
    teller,
    any_host,
    store,
};

/// Time from the first word of a version until a host that does not read for
/// others asks the store. Hosts that help each other need half of it.
inline constexpr state::duration store_patience =
    std::chrono::milliseconds(800);
/// The same for a host that reads for others.
inline constexpr state::duration reader_store_patience =
    std::chrono::milliseconds(100);
/// Mean pause after the first attempt that brought nothing, and the longest.
inline constexpr state::duration first_search_pause =
    std::chrono::milliseconds(30);
inline constexpr state::duration last_search_pause =
    std::chrono::milliseconds(60);
/// Documents that a host with a link of unknown width sends at one time, and
/// the fewest and most of any host. More of them share the link, and none
/// arrives earlier.
inline constexpr unsigned usual_document_transfers = 4;
inline constexpr unsigned most_document_transfers = 32;
/// Width of the link of a receiver, below which one more fits in.
inline constexpr double receiver_mbps = 10;

/// Documents that a host sends at one time.
/// @param link_mbps width of its link; 0 when unknown
constexpr unsigned document_transfers(double link_mbps)
{
    return static_cast<unsigned>(std::clamp<double>(link_mbps / receiver_mbps,
                                                    usual_document_transfers,
                                                    most_document_transfers));
}

/// Longest mean pause once the store is asked too, whose calls are priced.
inline constexpr state::duration last_store_pause =
    std::chrono::milliseconds(960);
/// Time after which nobody has the version any more.
inline constexpr state::duration search_limit = std::chrono::seconds(15);

/// One search at a time, for the newest version that a host heard of.
class document_search
{
public:
    /// @param seed differs between hosts, so that they ask at different times
    explicit document_search(std::uint64_t seed)
        : random_(seed)
    {}

    /// A host told of a newer version than any before.
    void begin(state::time_point now)
    {
        began_ = now;
        misses_ = 0;
        store_attempts_ = 0;
        asks_store_ = false;
    }

    document_place next(state::time_point now, bool is_reader)
    {
        const auto patience =
            is_reader ? reader_store_patience : store_patience;
        if (now - began_ < patience) {
            return misses_ % teller_interval == 0 ? document_place::teller
                                                  : document_place::any_host;
        }
        asks_store_ = !asks_store_;
        if (asks_store_) {
            ++store_attempts_;
            return document_place::store;
        }
        return document_place::any_host;
    }

    /// The last attempt brought nothing.
    /// @return pause before the next one
    state::duration missed()
    {
        const auto mean =
            store_attempts_ == 0
                ? doubled(first_search_pause, misses_, last_search_pause)
                : doubled(last_search_pause, store_attempts_, last_store_pause);
        ++misses_;
        std::uniform_int_distribution<state::duration::rep> part(
            mean.count() / 2, mean.count() * 3 / 2);
        return state::duration(part(random_));
    }

    bool is_hopeless(state::time_point now) const
    {
        return now - began_ >= search_limit;
    }

private:
    /// One attempt in so many goes to the host that told of the version: all
    /// others ask it too.
    static constexpr int teller_interval = 4;

    static state::duration doubled(state::duration first, int times,
                                   state::duration last)
    {
        constexpr int most_times = 10;
        return std::min(first * (1 << std::min(times, most_times)), last);
    }

    std::minstd_rand random_;
    state::time_point began_{};
    /// Attempts that brought nothing.
    int misses_ = 0;
    int store_attempts_ = 0;
    /// The last attempt was at the store.
    bool asks_store_ = false;
};

} // namespace oriolegrade::coordination

namespace oriolegrade::state {

template <>
struct enum_names<coordination::document_place>
{
    static constexpr std::array<std::string_view, 3> value{"teller", "any_host",
                                                           "store"};
};

} // namespace oriolegrade::state

#endif
