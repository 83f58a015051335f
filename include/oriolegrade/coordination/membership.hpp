// Finds out which hosts live, in the manner of SWIM: each host pings one
// member a period, asks others to ping it when it does not answer, and
// spreads what it learns on the same messages. The cost of a host does not
// depend on the number of members.
//
// No safety property depends on this view; it serves to find hosts.

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
    /// One member is pinged in each.
    state::duration period = std::chrono::seconds(1);
    /// Time for an ack before others are asked. Well above the round trip
    /// between regions.
    state::duration ack_timeout = std::chrono::milliseconds(300);
    /// Members asked to ping one that does not answer.
    unsigned indirect_probes = 3;
    /// A dead member is pinged every so many periods, so that the sides of a
    /// split find each other again.
    unsigned reconnect_periods = 3;
    /// Dead members are remembered longer than any split is expected to last.
    state::duration dead_retention = std::chrono::hours(3);
    /// Datagrams a period that bring claims to hosts that lack them, and
    /// datagrams that ask for claims.
    unsigned max_update_messages = 4;
    /// Members told each period while there is news.
    unsigned update_fanout = 3;
};

/// A datagram to send.
struct outgoing_gossip
{
    state::endpoint to;
    state::gossip_message message;
};

/// Not thread-safe. Time and randomness are arguments, so a run repeats.
class membership
{
public:
    /// @param self description of this host. Its incarnation should be above
    ///   that of any earlier life, for example the wall clock in
    ///   milliseconds; a lower one is corrected by the first answers.
    membership(state::member_info self, membership_settings settings,
               state::time_point now);

    /// Advances timers. Call at next_deadline() or earlier.
    template <random_source Random>
    std::vector<outgoing_gossip> tick(state::time_point now, Random& random)
    {
        return advance(now, random.next());
    }

    /// Handles a datagram.
    /// @param from address that it came from
    std::vector<outgoing_gossip> receive(state::time_point now,
                                         const state::endpoint& from,
                                         const state::gossip_message& message);

    /// Takes over the platform's list of hosts.
    void set_host_list(const state::host_list& list, state::time_point now);

    /// Addresses to try while no member is known.
    void set_seeds(std::vector<state::endpoint> seeds);

    /// Applied offset of this host; never decreases.
    void set_next_offset(std::uint64_t next_offset);

    /// Replaces the incarnations that the entry of this host holds; at most
    /// max_held_incarnations. A change spreads like a new claim.
    void set_incarnations(std::vector<state::identifier> incarnations);

    /// Announces that this host is about to stop.
    void leave();

    /// Messages that tell some members at once what changed here, without
    /// the wait for the next period.
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

    /// When tick() has something to do.
    state::time_point next_deadline() const;

    /// True while every probe fails, so that this host blames itself rather
    /// than others.
    bool is_isolated() const;

private:
    /// The ping of the current period.
    struct probe
    {
        std::uint64_t sequence = 0;
        /// Empty for a seed.
        std::string name;
        state::endpoint target;
        state::time_point sent;
        bool ping_requests_sent = false;
        bool answered = false;
    };

    /// A ping on behalf of another host.
    struct relay
    {
        std::uint64_t sequence = 0;
        state::endpoint origin;
        std::uint64_t origin_sequence = 0;
        state::time_point sent;
    };

    using outbox = std::vector<outgoing_gossip>;

    outbox advance(state::time_point now, std::uint64_t random);

    /// Returns the hashes of claims that this host lacks.
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
    /// Returns the bytes left for other parts.
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
    /// Member after which the rotating part of messages goes on.
    std::string progress_cursor_;
    unsigned failed_probes_ = 0;
    /// Left in this period, of settings_.wanted_messages each.
    unsigned update_requests_left_ = 0;
    unsigned update_replies_left_ = 0;
    /// Periods in which the end of this host is still announced.
    unsigned announcements_left_ = 0;
    state::time_point last_advance_;
};

} // namespace oriolegrade::coordination

#endif
