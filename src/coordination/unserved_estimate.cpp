// What the end of a send says about its request.

#include <oriolegrade/coordination/unserved_estimate.hpp>

#include <algorithm>

namespace oriolegrade::coordination {

namespace {

using state::send_kind;
using state::send_result;

/// Fewest requests that exceed the bound.
constexpr std::uint32_t fewest_unserved = 2;

/// True when nothing after this send may still serve the request, as far as
/// the dispatcher knows.
bool is_last(const judged_send& send)
{
    return !send.repeatable || send.kind == send_kind::repeat;
}

bool is_presumed_lost(const judged_send& send, send_result result)
{
    switch (result) {
    case send_result::answered:
        return false;
    case send_result::refused:
        // The host may be out of attempts, and does not say so.
    case send_result::expired:
        return true;
    case send_result::cancelled:
        // Of a repeatable request another send may have been faster.
        return !send.repeatable;
    case send_result::server_error:
    case send_result::misdirected:
    case send_result::lost:
    case send_result::unreachable:
        return is_last(send);
    }
    return true;
}

} // namespace

void unserved_estimate::turned_away(send_kind kind, state::time_point now)
{
    if (kind == send_kind::first) {
        share_.add_event(now);
    }
    // A refused hedge leaves the send beside it.
    if (kind != send_kind::hedge) {
        share_.mark(now);
    }
}

bool unserved_estimate::overdue(const judged_send& send, state::time_point now)
{
    if (send.counted || send.kind == send_kind::hedge || !is_last(send)) {
        return false;
    }
    share_.mark(now);
    return true;
}

void unserved_estimate::ended(const judged_send& send, send_result result,
                              state::time_point now)
{
    if (!send.counted && is_presumed_lost(send, result)) {
        share_.mark(now);
    }
}

void unserved_estimate::lost_with_host(state::duration usual_latency,
                                       state::time_point now)
{
    share_.mark(now);
    const auto usual =
        std::max<state::duration>(usual_latency, std::chrono::milliseconds(1));
    for (auto n = balancer_notice / usual; n > 0; --n) {
        share_.add_event(now);
        share_.mark(now);
    }
}

bool unserved_estimate::exceeds(double share, state::time_point now) const
{
    return share_.exceeds(share, fewest_unserved, now);
}

} // namespace oriolegrade::coordination
