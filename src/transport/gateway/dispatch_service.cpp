// Request ids, freshness of the view and timers of the dispatch queues.

#include <oriolegrade/transport/gateway/dispatch_service.hpp>

#include <oriolegrade/transport/event_log.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace oriolegrade::transport {

namespace {

using clock = std::chrono::steady_clock;

/// Interval at which waiting requests and stalls are looked at.
constexpr std::chrono::milliseconds poll_interval{25};
/// Interval of the lines that tell what a dispatcher believes. The users' rule
/// on capacity in use looks at stretches of two seconds.
constexpr std::chrono::milliseconds summary_interval{1000};
constexpr double percent = 100;

} // namespace

dispatch_service::dispatch_service(
    const coordination::dispatch_options& options, register_view view)
    : options_(options)
    , view_(std::move(view))
    , rules_(std::make_shared<const state::route_index>(
          std::make_shared<const state::traffic_rules>()))
{}

coordination::dispatch_queue&
dispatch_service::queue_of(const std::string& service, time_point now)
{
    auto [it, added] = queues_.try_emplace(service, options_);
    if (added) {
        refresh_queue(service, it->second, now);
    }
    return it->second;
}

void dispatch_service::refresh_queue(const std::string& service,
                                     coordination::dispatch_queue& queue,
                                     time_point now)
{
    queue.set_upstreams(view_.registry->upstreams_of(service), now);
    const auto& services = rules_->rules().services;
    const auto it = services.find(service);
    queue.set_max_connections(
        it == services.end() ? 1 : it->second.max_connections);
}

void dispatch_service::update(std::shared_ptr<const state::route_index> rules)
{
    rules_ = std::move(rules);
    revision_ = 0;
    update();
}

void dispatch_service::update()
{
    if (view_.registry->revision() == revision_) {
        return;
    }
    revision_ = view_.registry->revision();
    const auto now = clock::now();
    for (auto& [service, queue] : queues_) {
        refresh_queue(service, queue, now);
        poll(service, queue, now);
    }
}

dispatch_service::request_id
dispatch_service::ask(const state::place_request& request, reply_callback done)
{
    view_.touch();
    return start(request, std::move(done), true);
}

dispatch_service::request_id
dispatch_service::ask_locally(const state::place_request& request,
                              reply_callback done)
{
    return start(request, std::move(done), false);
}

dispatch_service::request_id
dispatch_service::start(const state::place_request& request,
                        reply_callback done, bool of_peer)
{
    const auto number = next_++;
    asked_.emplace(number, asked{request, std::move(done), false});
    if (const auto fault =
            caught([&] { begin(number, request.accept_stale, of_peer); })) {
        // Nobody has the number, so nobody would report the end.
        take_back(number, {});
        std::rethrow_exception(fault);
    }
    return number;
}

void dispatch_service::begin(request_id number, bool accept_stale, bool of_peer)
{
    const auto now = clock::now();
    const auto age = view_.age(now);
    if (age <= oldest_view || accept_stale) {
        submit(number, now);
        return;
    }
    const bool has_view = age != state::duration::max();
    if (of_peer || has_view) {
        wait_for_view(number, has_view, now);
    } else {
        // For a request of this host without any view, the read is the only
        // chance.
        view_.refresh([this, number] { resume(number); });
    }
}

void dispatch_service::wait_for_view(request_id number, bool has_view,
                                     time_point now)
{
    const auto limit = view_wait_.limit(has_view, view_.store_answers());
    if (!limit) {
        refuse_stale(number);
        return;
    }
    refreshes_.emplace(now + *limit, number);
    busy_.notify();
    if (*limit > coordination::refresh_wait) {
        // The host would take a dispatcher that says nothing for late.
        answer(number, protocol::in_line{});
    }
    view_.refresh([this, number] { resume(number); });
}

void dispatch_service::resume(request_id number)
{
    view_wait_.read_ended();
    const auto it = asked_.find(number);
    if (it == asked_.end() || it->second.queued) {
        return;
    }
    const auto now = clock::now();
    if (view_.age(now) > oldest_view) {
        refuse_stale(number);
        return;
    }
    submit(number, now);
}

void dispatch_service::refuse_stale(request_id number)
{
    answer(number,
           state::place_refusal{state::place_refusal_reason::stale, {}});
}

void dispatch_service::refuse_overdue_refreshes(time_point now)
{
    while (!refreshes_.empty() && refreshes_.begin()->first <= now) {
        const auto number = refreshes_.begin()->second;
        refreshes_.erase(refreshes_.begin());
        const auto it = asked_.find(number);
        if (it != asked_.end() && !it->second.queued) {
            view_wait_.expired();
            refuse_stale(number);
        }
    }
}

void dispatch_service::submit(request_id number, time_point now)
{
    auto& it = asked_.at(number);
    auto& queue = queue_of(it.request.service, now);
    it.queued = true;
    const auto request = it.request;
    auto& oldest = oldest_used_[request.service];
    oldest = std::max(oldest, view_.age(now));
    if (const auto what = queue.request_place(number, request, now)) {
        std::visit([&](const auto& a) { answer(number, a); }, *what);
    } else {
        answer(number, protocol::in_line{});
        answer_all(queue.place_waiting(now));
    }
    busy_.notify();
}

void dispatch_service::answer(request_id number, const reply& what)
{
    const auto it = asked_.find(number);
    if (it == asked_.end()) {
        return;
    }
    const auto done = it->second.done;
    if (std::holds_alternative<state::place_refusal>(what)) {
        asked_.erase(it);
    }
    done(what);
}

template <class End>
void dispatch_service::finish(request_id number, End end)
{
    const auto it = asked_.find(number);
    if (it == asked_.end()) {
        return;
    }
    const auto request = std::move(it->second.request);
    const bool queued = it->second.queued;
    asked_.erase(it);
    if (!queued) {
        return;
    }
    const auto now = clock::now();
    auto& queue = queue_of(request.service, now);
    end(queue, now);
    answer_all(queue.place_waiting(now));
}

void dispatch_service::report(request_id number,
                              const state::send_report& report)
{
    if (report.unused) {
        take_back(number, report.wish);
        return;
    }
    finish(number, [&](coordination::dispatch_queue& queue, time_point now) {
        queue.report(number, report, now);
    });
}

void dispatch_service::take_back(request_id number,
                                 const state::upstream_wish& wish)
{
    finish(number, [&](coordination::dispatch_queue& queue, time_point now) {
        queue.take_back(number, now, wish);
    });
}

void dispatch_service::report_host_lost(request_id number)
{
    finish(number, [&](coordination::dispatch_queue& queue, time_point now) {
        queue.report_host_lost(number, now);
    });
}

void dispatch_service::adopt(const protocol::adopted_work& work)
{
    const auto now = clock::now();
    queue_of(work.service, now).adopt(work.upstream, work.count, now);
}

void dispatch_service::answer_all(
    const std::vector<coordination::dispatch_queue::answer>& answers)
{
    // The queue has forgotten all of them.
    for (const auto& it : answers) {
        run_step("dispatch_answer", [&] {
            std::visit([&](const auto& a) { answer(it.number, a); },
                       it.decision);
        });
    }
}

void dispatch_service::poll(const std::string& service,
                            coordination::dispatch_queue& queue, time_point now)
{
    answer_all(queue.poll(now));
    for (const auto& it : queue.take_changes(now)) {
        event(log_level::info, "upstream_standing")
            .with("id", it.upstream)
            .with("service", service)
            .with("before", state::name_of(it.before))
            .with("after", state::name_of(it.after))
            .with("failures", it.failures)
            .with("cause", state::name_of(it.cause))
            .with("slowness_percent",
                  static_cast<std::int64_t>(it.slowness * percent))
            .with("in_line", queue.waiting())
            .with("in_flight", queue.in_flight());
    }
}

void dispatch_service::log_summaries(time_point now)
{
    if (now < summary_due_) {
        return;
    }
    summary_due_ = now + summary_interval;
    for (const auto& [service, queue] : queues_) {
        const auto it = queue.summary(now);
        if (it.requests + it.unserved + it.in_line == 0) {
            continue;
        }
        event(log_level::info, "dispatch_state")
            .with("service", service)
            .with("primary", is_primary(service) ? "yes" : "no")
            .with("ready", it.ready)
            .with("held", it.held)
            .with("on_trial", it.on_trial)
            .with("sound", it.sound)
            .with("sound_idle", it.sound_idle)
            .with("blocked_by_trial", it.blocked_by_trial)
            .with("requests", it.requests)
            .with("unserved", it.unserved)
            .with("cancelled", it.cancelled)
            .with("in_line", it.in_line)
            .with("in_flight", it.in_flight)
            .with("usual_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      it.usual_latency)
                      .count())
            .with("budget_percent",
                  static_cast<std::int64_t>(it.budget_used * percent))
            .with("view_ms", oldest_used(service));
    }
}

std::int64_t dispatch_service::oldest_used(const std::string& service)
{
    const auto age =
        std::exchange(oldest_used_[service], state::duration::zero());
    return age == state::duration::max()
               ? -1
               : std::chrono::duration_cast<std::chrono::milliseconds>(age)
                     .count();
}

bool dispatch_service::is_busy() const
{
    return std::any_of(queues_.begin(), queues_.end(), [](const auto& it) {
        return it.second.waiting() + it.second.in_flight() > 0;
    });
}

void dispatch_service::run()
{
    repeat_for_ever("dispatch", poll_interval, [this] {
        busy_.wait([this] { return is_busy() || !refreshes_.empty(); });
        boost::this_fiber::sleep_for(poll_interval);
        const auto now = clock::now();
        run_step("dispatch_refreshes", [&] { refuse_overdue_refreshes(now); });
        // A service whose queue fails keeps no other one waiting.
        for (auto& it : queues_) {
            run_step("dispatch_poll", [&] { poll(it.first, it.second, now); });
        }
        log_summaries(now);
    });
}

} // namespace oriolegrade::transport
