// Classifies the results of sends as served or unserved.

#include <oriolegrade/coordination/unserved_estimate.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

namespace {

using state::send_kind;
using state::send_result;

/// Minimum number of unserved requests before the bound counts as exceeded.
constexpr std::uint32_t min_unserved = 2;

/// True when the dispatcher knows of no later send that may still serve the
/// request.
bool is_final_send(const send_attributes& send)
{
    return !send.repeatable || send.kind == send_kind::repeat;
}

bool is_presumed_unserved(const send_attributes& send, send_result result)
{
    switch (result) {
    case send_result::answered:
        return false;
    case send_result::refused:
        // The host may have used up its attempts, which it does not report.
    case send_result::expired:
        return true;
    case send_result::cancelled:
        // Another send of a repeatable request may have answered first.
        return !send.repeatable;
    case send_result::server_error:
    case send_result::misdirected:
    case send_result::lost:
    case send_result::unreachable:
        return is_final_send(send);
    }
    return true;
}

} // namespace

void unserved_estimate::turned_away(send_kind kind, state::time_point now)
{
    if (kind == send_kind::first) {
        share_.add_event(now);
    }
    // The original send is still running when its hedge is refused.
    if (kind != send_kind::hedge) {
        share_.mark(now);
    }
}

bool unserved_estimate::overdue(const send_attributes& send,
                                state::time_point now)
{
    if (send.counted || send.kind == send_kind::hedge || !is_final_send(send)) {
        return false;
    }
    share_.mark(now);
    return true;
}

void unserved_estimate::ended(const send_attributes& send, send_result result,
                              state::time_point now)
{
    if (!send.counted && is_presumed_unserved(send, result)) {
        share_.mark(now);
    }
}

void unserved_estimate::lost_with_host(state::duration typical_latency,
                                       state::time_point now)
{
    share_.mark(now);
    const auto typical = std::max<state::duration>(
        typical_latency, std::chrono::milliseconds(1));
    for (auto n = balancer_detection_time / typical; n > 0; --n) {
        share_.add_event(now);
        share_.mark(now);
    }
}

bool unserved_estimate::exceeds(double share, state::time_point now) const
{
    return share_.exceeds(share, min_unserved, now);
}

} // namespace oriolegrade::coordination
