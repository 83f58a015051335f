// Membership and failure detection with the SWIM protocol. Each host pings one
// member per period, asks others to ping it if it does not answer, and
// piggybacks updates on the same messages. The cost per host does not depend
// on the number of members.
// No safety property depends on this view; it is used to find hosts.

#ifndef ORIOLEGRADE_COORDINATION_MEMBERSHIP_HPP
#define ORIOLEGRADE_COORDINATION_MEMBERSHIP_HPP

#include <oriolegrade/coordination/change_tracker.hpp>
#include <oriolegrade/coordination/concepts.hpp>
#include <oriolegrade/coordination/member_table.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace oriolegrade::coordination {

struct membership_settings
{
    /// Protocol period. One member is pinged in each.
    state::duration period = std::chrono::seconds(1);
    /// Time to wait for an ack before ping requests are sent. Well above the
    /// round-trip time between regions.
    state::duration ack_timeout = std::chrono::milliseconds(300);
    /// Members asked to ping a member that did not answer.
    unsigned indirect_probes = 3;
    /// Periods between pings to a dead member, so that the sides of a network
    /// partition find each other again.
    unsigned reconnect_periods = 3;
    /// How long dead members are kept; longer than any expected partition.
    state::duration dead_retention = std::chrono::hours(3);
    /// Maximum datagrams per period that send requested updates, and maximum
    /// datagrams that request updates.
    unsigned max_update_messages = 4;
    /// Members that are sent pending updates each period.
    unsigned update_fanout = 3;
};

/// A datagram to send.
struct outgoing_gossip
{
    state::endpoint to;
    state::gossip_message message;
};

/// Not thread-safe. Time and randomness are arguments, so that runs are
/// reproducible.
class membership
{
public:
    /// @param self description of this host. Its incarnation should be higher
    ///   than in any earlier run, for example the wall clock in milliseconds;
    ///   a lower one is corrected by the first replies.
    membership(state::member_info self, membership_settings settings,
               state::time_point now);

    /// Advances timers. Call at next_deadline() or earlier.
    template <random_source Random>
    std::vector<outgoing_gossip> tick(state::time_point now, Random& random)
    {
        return advance(now, random.next());
    }

    /// Handles a datagram.
    /// @param from address of the sender
    std::vector<outgoing_gossip> receive(state::time_point now,
                                         const state::endpoint& from,
                                         const state::gossip_message& message);

    /// Applies the platform's list of hosts.
    void set_host_list(const state::host_list& list, state::time_point now);

    /// Addresses to contact while no member is known.
    void set_seeds(std::vector<state::endpoint> seeds);

    /// Applied offset of this host; never decreases.
    void set_next_offset(std::uint64_t next_offset);

    /// Sets the incarnations that the entry process of this host holds; at
    /// most max_held_incarnations. A change is gossiped as a new update.
    void set_incarnations(std::vector<state::identifier> incarnations);

    /// Announces that this host is about to stop.
    void leave();

    /// Messages that inform some members of local changes without waiting for
    /// the next period.
    template <random_source Random>
    std::vector<outgoing_gossip> announce(Random& random)
    {
        std::vector<outgoing_gossip> out;
        send_updates(random.next(), out);
        return out;
    }

    const state::member_info& self() const
    {
        return self_;
    }
    const member_table& members() const
    {
        return table_;
    }

    /// Live members and this host, unless it is leaving, sorted by name.
    std::vector<state::member_info> live() const;

    /// Applied offsets of the same hosts.
    std::vector<host_progress> progress() const;

    /// When tick() must be called next.
    state::time_point next_deadline() const;

    /// True after several consecutive failed probes. The fault is then assumed
    /// to be local, and no other host is suspected.
    bool is_isolated() const;

private:
    /// The ping of the current period.
    struct probe
    {
        std::uint64_t sequence = 0;
        /// Empty for a seed address.
        std::string name;
        state::endpoint target;
        state::time_point sent;
        bool ping_requests_sent = false;
        bool answered = false;
    };

    /// A ping sent on behalf of another host.
    struct relay
    {
        std::uint64_t sequence = 0;
        state::endpoint origin;
        std::uint64_t origin_sequence = 0;
        state::time_point sent;
    };

    using outbox = std::vector<outgoing_gossip>;

    outbox advance(state::time_point now, std::uint64_t random);

    /// Returns the hashes of updates that this host lacks.
    std::vector<std::uint32_t>
    merge_updates(const state::gossip_message& message, state::time_point now);
    void merge_update(const state::member_info& update, state::time_point now);
    void refute(const state::member_info& update);

    void finish_period(state::time_point now);
    void start_period(state::time_point now, std::uint64_t random, outbox& out);
    void send_ping_requests(std::uint64_t random, outbox& out);
    void reconnect(std::uint64_t random, outbox& out);
    void expire_suspects(state::time_point now);
    void restart_suspicions(state::time_point now);
    void send_updates(std::uint64_t random, outbox& out);
    bool choose_target(std::uint64_t random, probe& next);

    void handle_ping(const state::endpoint& from,
                     const state::gossip_message& message,
                     std::vector<std::uint32_t> wanted, outbox& out);
    void relay_ping(state::time_point now, const state::endpoint& from,
                    const state::gossip_message& message, outbox& out);
    void handle_ack(const state::gossip_message& message, outbox& out);
    void request_updates(const state::endpoint& from,
                         std::vector<std::uint32_t> wanted, outbox& out);
    void send_requested_updates(const state::endpoint& to,
                                const std::vector<std::uint32_t>& wanted,
                                outbox& out);
    bool has_pending_updates() const;
    std::vector<const member*> shuffled_live(std::uint64_t random) const;

    state::gossip_message compose(state::gossip_kind kind,
                                  std::uint64_t sequence,
                                  const std::string& about);
    /// Returns the bytes left for the rest of the message.
    std::size_t add_updates(state::gossip_message& message,
                            const std::string& about);
    void add_progress(state::gossip_message& message, std::size_t bytes);

    unsigned sends_per_update() const;
    state::duration suspicion_timeout() const;

    state::member_info self_;
    membership_settings settings_;
    member_table table_;
    std::vector<state::endpoint> seeds_;
    state::time_point period_start_;
    std::uint64_t periods_ = 0;
    std::optional<probe> probe_;
    std::deque<relay> relays_;
    std::uint64_t sequence_ = 0;
    /// Members still to ping in this round, in random order.
    std::vector<std::string> round_;
    /// Member after which the rotating part of the next message starts.
    std::string progress_cursor_;
    unsigned failed_probes_ = 0;
    /// Remaining in this period, of settings_.max_update_messages each.
    unsigned update_requests_left_ = 0;
    unsigned update_replies_left_ = 0;
    /// Remaining periods in which changes of this host are announced.
    unsigned announcements_left_ = 0;
    state::time_point last_advance_;
};

} // namespace oriolegrade::coordination

#endif
