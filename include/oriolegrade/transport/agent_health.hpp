// Health verdicts at an agent: passes the entry's evidence to the collectors,
// runs the collectors that fall to this host, and tells the entry the
// verdicts.

#ifndef ORIOLEGRADE_TRANSPORT_AGENT_HEALTH_HPP
#define ORIOLEGRADE_TRANSPORT_AGENT_HEALTH_HPP

#include <oriolegrade/coordination/collector_set.hpp>
#include <oriolegrade/coordination/evidence_batcher.hpp>
#include <oriolegrade/transport/stream_client_map.hpp>
#include <oriolegrade/transport/stream_server.hpp>

#include <functional>
#include <string>
#include <vector>

namespace oriolegrade::transport {

/// From the entry: a stream of evidence batches, each behind its length.
inline constexpr std::string_view evidence_path = "/evidence";
/// To the entry: a stream of verdict sets that begins with all known ones.
inline constexpr std::string_view verdicts_path = "/verdicts";
/// To a collector: an evidence batch; the answer is a newer verdict set (200)
/// or nothing (204). A batch without items only asks.
inline constexpr std::string_view collect_path = "/collect";
/// From a collector: a verdict set in which an upstream is newly out.
inline constexpr std::string_view push_verdict_path = "/verdict";
/// A verdict set whose upstreams announced that they drain; from the entry
/// to its agent, and from there to the collector.
inline constexpr std::string_view drain_path = "/drain";
/// Sequence of the set that the sender of a batch knows.
inline constexpr std::string_view known_sequence_header =
    "oriolegrade-known-sequence";

/// What the health of a host's upstreams rests on.
struct agent_health_sources
{
    /// Address at which other agents reach this one.
    state::endpoint self;
    /// Addresses of the live hosts' agents, this one included.
    std::function<std::vector<state::endpoint>()> live_hosts;
    std::function<state::configuration_ptr()> configuration;
    /// Gets each decision of the local collectors with its audit line.
    std::function<void(const coordination::service_event& event,
                       const std::string& line)>
        audit;
    /// Sends a datagram to the agent with this address, for example over the
    /// socket of gossip; whoever receives it there calls take_datagram().
    /// May be empty: successes then take the same way as other evidence.
    std::function<void(const state::endpoint& agent, const std::string& bytes)>
        send_datagram;
};

struct agent_health_options
{
    state::duration success_interval = std::chrono::milliseconds(200);
    double messages_per_second = 20;
    /// Connections to collectors. They carry failures and questions, which
    /// are rare in a large fleet: a connection per collector that is kept for
    /// them would take 50 MB.
    stream_limits collector_streams = [] {
        stream_limits limits;
        limits.idle_timeout = std::chrono::seconds(4);
        return limits;
    }();
};

struct agent_health_counts
{
    std::uint64_t batches_received = 0;
    std::uint64_t batches_sent = 0;
    std::uint64_t batches_collected = 0;
    /// Batches that no collector took.
    std::uint64_t batches_lost = 0;
    std::uint64_t messages_refused = 0;
    std::uint64_t verdicts_received = 0;
    std::uint64_t verdicts_pushed = 0;
    std::uint64_t probes = 0;
    /// Both directions, without the headers of UDP and IP.
    std::uint64_t datagrams = 0;
    std::uint64_t datagram_bytes = 0;
};

/// Used by the fibers of one thread.
class agent_health
{
public:
    agent_health(boost::asio::io_context& ioc, const std::string& fleet_key,
                 agent_health_sources sources,
                 const agent_health_options& options = {});

    void start();
    /// Ends the fibers. The servers that use this object are stopped first.
    void stop();

    /// Serves a stream of the entry; false when the path is another's.
    bool serve_own(server_stream& stream);
    /// Serves a stream of another agent; false when the path is another's.
    bool serve_peer(server_stream& stream);

    /// Takes a datagram of another agent; returns the reply to its source,
    /// empty for none.
    std::string take_datagram(std::string_view bytes);

    /// What a list of upstreams says about one.
    void update_listed_state(const state::endpoint& upstream,
                             coordination::listed_state listed);

    /// Verdicts on the services that this host's entry uses.
    std::vector<state::verdict_set> verdicts() const
    {
        return verdicts_.changed_since(0);
    }

    const agent_health_counts& counts() const
    {
        return counts_;
    }
    const coordination::collector_set& collectors() const
    {
        return collectors_;
    }

private:
    using service_key = coordination::service_key;
    using client_ptr = stream_client_map::client_ptr;

    void serve_evidence(server_stream& stream);
    void serve_verdicts(server_stream& stream);
    void serve_collect(server_stream& stream);
    void serve_push(server_stream& stream);
    void serve_drain(server_stream& stream, bool from_entry);

    /// Wakes one loop before its time.
    struct waker
    {
        void wake();
        void wait_until(state::time_point time);

        bool woken = false;
        fiber_signal signal;
    };

    void send_loop();
    void tick_loop();
    void ask_loop();

    void send(state::evidence_batch batch);
    /// True when the batch has left as a datagram.
    bool send_datagram(const state::endpoint& collector,
                       const state::evidence_batch& batch);
    void call_collector(const state::endpoint& collector,
                        const state::evidence_batch& batch);
    void collect(const state::evidence_batch& batch);
    void tick();
    void probe(const coordination::service_probe& probe);
    void push(const coordination::verdict_push& push);
    void pass_drain(const state::verdict_set& notice);
    void take_drain(const state::verdict_set& notice);

    void report(const coordination::service_events& events);
    /// Takes a set that was not asked for.
    void accept_pushed(const state::verdict_set& set);
    void accept(const state::verdict_set& set);
    void accept_own(const service_key& key);
    std::optional<state::endpoint> collector_for(const service_key& key) const;

    boost::asio::io_context& ioc_;
    const agent_health_sources sources_;
    const std::string fleet_key_;
    const state::identifier incarnation_;
    std::uint64_t sequence_ = 0;
    coordination::evidence_batcher batcher_;
    coordination::verdict_cache verdicts_;
    coordination::collector_set collectors_;
    state::configuration_ptr configuration_;
    stream_client_map clients_;
    agent_health_counts counts_;
    std::size_t calls_ = 0;
    bool stopping_ = false;
    waker send_;
    waker tick_;
    waker ask_;
    fiber_signal book_changed_;
    fiber_group fibers_;
};

} // namespace oriolegrade::transport

#endif
