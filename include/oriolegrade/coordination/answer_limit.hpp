// How long to wait for an answer whose size is not known: for its begin, then
// for each further part.
//
// Load pattern: a document of some 750 KB over a link of 10 Mbit/s that carries
// requests too. It takes longer than any limit that notices a silent peer in
// time, and a read that is given up and begun anew never ends.

#ifndef ORIOLEGRADE_COORDINATION_ANSWER_LIMIT_HPP
#define ORIOLEGRADE_COORDINATION_ANSWER_LIMIT_HPP

#include <oriolegrade/state/time_type.hpp>

#include <algorithm>
#include <chrono>

namespace oriolegrade::coordination {

/// Longest time for an answer behind its begin. The largest answer of a store,
/// 4 MB, takes 3.4 s on a link of 10 Mbit/s without other traffic.
inline constexpr state::duration longest_answer = std::chrono::seconds(10);

class answer_limit
{
public:
    /// @param begin_limit time until which the answer must begin
    /// @param part_limit time for each further part
    constexpr answer_limit(state::time_point begin_limit,
                           state::duration part_limit)
        : begin_limit_(begin_limit)
        , part_limit_(part_limit)
    {}

    /// Time until which the next part must arrive, after one arrived just now.
    constexpr state::time_point next_part(state::time_point now) const
    {
        return std::clamp(now + part_limit_, begin_limit_,
                          begin_limit_ + longest_answer);
    }

private:
    state::time_point begin_limit_;
    state::duration part_limit_;
};

} // namespace oriolegrade::coordination

#endif
