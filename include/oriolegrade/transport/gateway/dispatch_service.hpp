// The dispatcher of a host: queues of the services that hosts ask it about.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCH_SERVICE_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_DISPATCH_SERVICE_HPP

#include <oriolegrade/coordination/dispatch_queue.hpp>
#include <oriolegrade/coordination/upstream_registry.hpp>
#include <oriolegrade/coordination/view_wait.hpp>
#include <oriolegrade/protocol/dispatch_messages.hpp>
#include <oriolegrade/state/route_index.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace oriolegrade::transport {

/// Oldest view of the register that requests are placed on. With the time of
/// a connect it stays below the 2 s within which a leaving upstream must be
/// left alone.
inline constexpr std::chrono::milliseconds oldest_view{1300};

/// The register as the dispatcher sees it.
struct register_view
{
    std::function<state::duration(state::time_point)> age;
    /// Reads the register; calls back when the read has ended.
    std::function<void(std::function<void()>)> refresh;
    /// Keeps the view fresh.
    std::function<void()> touch;
    /// True when the store has just answered another call.
    std::function<bool()> store_answers;
    const coordination::upstream_registry* registry = nullptr;
};

/// Lives on the control thread. Callbacks are called from there.
class dispatch_service
{
public:
    using request_id = coordination::dispatch_queue::request_id;
    /// `in_line` may come before one of the others.
    using reply =
        std::variant<state::place, state::place_refusal, protocol::in_line>;
    using reply_callback = std::function<void(const reply&)>;

    /// @param options of the queues; the connections are those of the service
    dispatch_service(const coordination::dispatch_options& options,
                     register_view view);

    /// Tells whether this host is the first choice for a service.
    std::function<bool(const std::string&)> is_primary;

    /// Takes a request of another host; `done` may be called before this
    /// returns.
    request_id ask(const state::place_request& request, reply_callback done);
    /// The same for this host, which reads the register only when it must.
    request_id ask_locally(const state::place_request& request,
                           reply_callback done);
    void report(request_id number, const state::send_report& report);
    /// Ends a request whose host is gone.
    void report_host_lost(request_id number);
    void adopt(const protocol::adopted_work& work);

    /// The register was read or the rules changed.
    void update(std::shared_ptr<const state::route_index> rules);
    void update();

    /// Answers waiting requests when time passes; runs for ever.
    void run();

private:
    using time_point = state::time_point;

    struct asked
    {
        state::place_request request;
        reply_callback done;
        /// The request id is in the queue.
        bool queued = false;
    };
    request_id start(const state::place_request& request, reply_callback done,
                     bool of_peer);
    /// Submits a request, or has it wait for a fresh view.
    void begin(request_id number, bool accept_stale, bool of_peer);
    /// Ends a request whose place was not used.
    void take_back(request_id number, const state::upstream_wish& wish);
    /// Reads the register for a request, or sends it elsewhere at once.
    void wait_for_view(request_id number, bool has_view, time_point now);
    coordination::dispatch_queue& queue_of(const std::string& service,
                                           time_point now);
    void refresh_queue(const std::string& service,
                       coordination::dispatch_queue& queue, time_point now);
    void submit(request_id number, time_point now);
    /// Ends a request and fills the place that it leaves.
    /// @param end called with the queue that holds the request
    template <class End>
    void finish(request_id number, End end);
    /// Answers after the view was refreshed, or gives up for its age.
    void resume(request_id number);
    /// Refuses a request that is not queued because the view is old.
    void refuse_stale(request_id number);
    void refuse_overdue_refreshes(time_point now);
    void answer(request_id number, const reply& what);
    void answer_all(
        const std::vector<coordination::dispatch_queue::answer>& answers);
    void poll(const std::string& service, coordination::dispatch_queue& queue,
              time_point now);
    /// Logs what the busy queues believe, once in summary_interval.
    void log_summaries(time_point now);
    /// Age in ms of the oldest view that requests for the service were placed
    /// on since the last call; -1 when there was a request without a view.
    std::int64_t oldest_used(const std::string& service);
    bool is_busy() const;

    const coordination::dispatch_options options_;
    register_view view_;
    std::shared_ptr<const state::route_index> rules_;
    std::map<std::string, coordination::dispatch_queue> queues_;
    /// Requests that have not been reported as ended.
    std::unordered_map<request_id, asked> asked_;
    coordination::view_wait view_wait_;
    /// Requests that wait for a read of the register, by the end of the wait.
    std::multimap<time_point, request_id> refreshes_;
    request_id next_ = 1;
    std::uint64_t revision_ = 0;
    time_point summary_due_{};
    /// Age of the oldest view in use since the last summary, by service.
    std::map<std::string, state::duration> oldest_used_;
    fiber_signal busy_;
};

} // namespace oriolegrade::transport

#endif
