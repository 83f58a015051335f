// Finds a dispatcher for each request of this host, and does without one when
// none answers in time.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCH_ROUTER_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCH_ROUTER_HPP

#include <oriolegrade/coordination/dispatcher_ranking.hpp>
#include <oriolegrade/coordination/dispatcher_search.hpp>
#include <oriolegrade/coordination/host_budget.hpp>
#include <oriolegrade/coordination/late_dispatchers.hpp>
#include <oriolegrade/coordination/placement_counters.hpp>
#include <oriolegrade/transport/gateway/dispatch_link.hpp>
#include <oriolegrade/transport/gateway/dispatch_service.hpp>
#include <oriolegrade/transport/gateway/gateway_shared.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolegrade::transport {

/// Lives on the control thread.
class dispatch_router
{
public:
    using answer_callback = std::function<void(const state::place_answer&)>;

    dispatch_router(boost::asio::io_context& ioc, gateway_shared& shared,
                    dispatch_service& own);

    void set_members(const std::vector<state::host_member>& members);

    /// Member of that name; null when it is not known.
    const state::host_member* find(const std::string& name) const
    {
        return ranking_.find(name);
    }

    /// True when this host is the first choice for the service.
    bool is_primary(const std::string& service);
    /// Names of the other hosts that come first for a service, and of those
    /// next to this one where it does.
    std::set<std::string> other_dispatchers();

    /// Asks for a place. `done` is called once, unless report() ends the
    /// request first.
    /// @param number unique; names the request in report()
    void ask(std::uint64_t number, const state::place_request& request,
             answer_callback done);
    void report(std::uint64_t number, const state::send_report& report);

    /// Tells whether the other hosts are known. Until then, but not for long
    /// after the start, requests wait: a host that places alone would have to
    /// read the whole register first. Without the function they are known.
    std::function<bool()> knows_members;
    /// Called when a dispatcher tells the version of its rules.
    std::function<void(const std::string&, const protocol::rules_notice&)>
        on_rules;
    /// Tells the version in force to the dispatchers with an open stream.
    void tell_rules_version(std::uint64_t version);

    /// Asks elsewhere when a dispatcher is late; runs for ever.
    void run();
    /// Keeps streams to the first dispatchers open; runs for ever.
    void keep_links();

private:
    using time_point = state::time_point;

    /// Where a request stands.
    enum class stage : std::uint8_t
    {
        /// Sent to a dispatcher that has not answered.
        asked,
        in_line,
        placed,
    };
    struct request_state
    {
        state::place_request request;
        answer_callback done;
        /// When the budget counts it, if it is an extra send: when it was asked
        /// for, and once it is placed, that time.
        time_point counted_at;
        coordination::dispatcher_search search;
        stage at = stage::asked;
        /// Host asked last; empty for this host's own dispatcher.
        std::string host = {};
        dispatch_service::request_id request_id = 0;
        /// Requests to this host's own dispatcher; request_id is of the last.
        std::uint32_t own_attempts = 0;
        /// Set when placed.
        std::string upstream = {};
    };
    struct peer
    {
        std::unique_ptr<dispatch_link> link;
        /// Since when it has owed an answer and said nothing; min() when it
        /// owes none.
        time_point silent_since = time_point::min();
        /// Its view of the register was old; not asked before this time.
        time_point stale_until{};
        /// It is stopping: what it says is no reason to ask it again.
        bool leaving = false;
    };
    struct wait
    {
        time_point until;
        std::uint64_t number;
        std::string host;
    };

    /// Keeps a request until the other hosts are known.
    void wait_for_members(std::uint64_t number);
    void release_early();
    /// Asks the next dispatcher.
    void advance(std::uint64_t number);
    void ask_own(std::uint64_t number);
    void ask_peer(std::uint64_t number, const state::host_member& host);
    void take(const std::string& host, const protocol::dispatcher_frame& frame);
    template <class What>
    void take_answer(const std::string& host,
                     const protocol::numbered<What>& it);
    void take_answer(const std::string& host, const protocol::rules_notice& it);
    void take_reply(std::uint64_t number, const dispatch_service::reply& what);
    void take_refusal(std::uint64_t number, const state::place_refusal& away);
    /// Returns the right to an extra send that got no place or did not use it.
    void return_budget(const request_state& it);
    void link_lost(const std::string& host);
    /// Services whose dispatchers this host keeps streams to, best first.
    std::vector<std::string>
    kept_services(const state::traffic_rules& rules) const;
    peer& peer_at(const state::host_member& host);
    /// First frame of a new stream, with all requests in flight. The dispatcher
    /// has forgotten those that it placed itself: an earlier stream was lost.
    protocol::entry_hello hello() const;
    void note_late(const wait& it);
    coordination::dispatcher_state state_of(const std::string& host,
                                            time_point now);
    /// Asks distrusted dispatchers for a sign of life.
    void send_probes();
    coordination::placing_position placing_position_of(const request_state& it);
    /// Logs who placed this host's requests, unless that was always the first
    /// dispatcher.
    void log_placements();

    boost::asio::io_context& ioc_;
    gateway_shared& shared_;
    dispatch_service& own_;
    coordination::dispatcher_ranking ranking_;
    coordination::late_dispatchers late_;
    coordination::host_budget budget_;
    coordination::placement_counters placement_counters_;
    std::unordered_map<std::uint64_t, request_state> requests_;
    std::map<std::string, peer> peers_;
    /// End of the time in which requests wait for the other hosts.
    const time_point members_wait_end_;
    /// Requests that do.
    std::vector<std::uint64_t> early_;
    /// In the order of their ends: every wait has the same length.
    std::deque<wait> waits_;
    fiber_signal changed_;
    /// Streams to the first dispatchers are to be checked at once.
    bool links_due_ = false;
    fiber_signal members_changed_;
};

} // namespace oriolegrade::transport

#endif
