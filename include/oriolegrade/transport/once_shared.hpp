// State of the at-most-once mechanisms that the threads of an entry process
// share.

#ifndef ORIOLEGRADE_TRANSPORT_ONCE_SHARED_HPP
#define ORIOLEGRADE_TRANSPORT_ONCE_SHARED_HPP

#include <oriolegrade/coordination/claim_writer.hpp>
#include <oriolegrade/coordination/incarnation_set.hpp>
#include <oriolegrade/state/peer_directory.hpp>
#include <oriolegrade/state/rcu_cell.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace oriolegrade::transport {

/// Time for which a token can be used, on its incarnation's clock.
inline constexpr std::chrono::hours token_lifetime{1};

/// Time for which a claimed key is remembered; the claim table's longest. A
/// day would put more than a million keys into each partition at the planned
/// size.
inline constexpr std::chrono::hours key_lifetime{1};

/// Submits a claim to the writer of its partition. Called from any thread;
/// the callback may come from any thread.
using claim_submitter = std::function<void(
    const state::claim&, state::duration limit, coordination::claim_callback)>;

struct once_shared
{
    once_shared(std::string host_name, std::string fleet_key_in,
                state::time_point now)
        : host(std::move(host_name))
        , fleet_key(std::move(fleet_key_in))
        , incarnations(coordination::generate_identity(), now, token_lifetime)
        , peers(std::make_shared<const state::peer_directory>())
    {}

    const std::string host;
    const std::string fleet_key;
    coordination::incarnation_set incarnations;
    state::rcu_cell<state::peer_directory> peers;
    /// Set before the worker threads start.
    claim_submitter submit_claim;
    /// Writes a claim to its partition here, whoever the writer should be.
    std::function<void(const state::claim&, coordination::claim_callback)>
        write_claim;
    /// Called from any thread after a hand-over arrived.
    std::function<void()> on_incarnations_changed;
    /// Own requests have been handed over; nothing starts here any more.
    std::atomic<bool> handed_over{false};
};

} // namespace oriolegrade::transport

#endif
