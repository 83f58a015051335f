// Virtual-time model of hosts in front of one service: how long requests wait
// for a slot under a picker. The same seed gives the same figures every run.

#ifndef ORIOLEGRADE_BENCH_COORDINATION_PICKING_MODEL_HPP
#define ORIOLEGRADE_BENCH_COORDINATION_PICKING_MODEL_HPP

#include "seeded_random.hpp"

#include <oriolegrade/coordination/picker.hpp>
#include <oriolegrade/coordination/subset.hpp>

#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <queue>
#include <vector>

namespace oriolegrade::bench {

using state::time_point;

enum class report_mode : std::uint8_t
{
    /// True at the time of the response.
    fresh,
    /// Shows the load of two seconds earlier.
    lagging,
    /// Every fourth server reports no load at all.
    lying,
    /// Every host knows every server's load at any time; a lower bound.
    oracle,
    /// Hosts send each other their requests in flight, periodically.
    exchanged,
};

struct model_options
{
    std::uint32_t hosts = 41;
    std::uint32_t servers = 10;
    std::uint32_t slots = 4;
    std::uint32_t centres = 4;
    /// One way within a data centre and between two.
    duration near = std::chrono::microseconds(100);
    duration far = std::chrono::microseconds(1500);
    duration service_mean = std::chrono::milliseconds(25);
    double load = 0.9;
    report_mode reports = report_mode::fresh;
    /// Requests that wait at a server before it sheds.
    std::size_t server_queue = std::numeric_limits<std::size_t>::max();
    /// Servers tried before a request pauses on its host.
    std::size_t attempts = 4;
    duration pause = std::chrono::milliseconds(2);
    /// Hosts that dispatch all requests of the service; 0: every host.
    std::uint32_t homes = 0;
    /// Requests in flight from one host to one server; above it, requests
    /// wait on the host for an answer. 0: no limit.
    std::uint32_t host_limit = 0;
    /// Period of report_mode::exchanged.
    duration exchange_period = std::chrono::milliseconds(5);
    std::size_t requests = 200000;
    std::uint64_t seed = 1;
};

struct model_result
{
    double mean_wait_ms = 0;
    double p99_wait_ms = 0;
    /// Refused attempts per request.
    double sheds = 0;
};

struct model_request
{
    time_point arrival;
    duration service;
    std::uint32_t entry = 0;
    std::uint32_t host = 0;
    bool guided = false;
    std::vector<state::endpoint> excluded;
};

/// Poisson arrivals at uniformly drawn hosts, exponential service times.
inline std::vector<model_request> make_requests(const model_options& o)
{
    seeded_random random{o.seed};
    const auto gap = duration(
        static_cast<std::int64_t>(static_cast<double>(o.service_mean.count()) /
                                  (o.load * o.servers * o.slots)));
    std::vector<model_request> out(o.requests);
    time_point at{std::chrono::seconds(10)};
    for (auto& r : out) {
        at += random.exponential(gap);
        r.arrival = at;
        r.service = random.exponential(o.service_mean);
        r.entry = static_cast<std::uint32_t>(random.next() % o.hosts);
    }
    return out;
}

inline model_result summarise(std::vector<double> waits, double sheds)
{
    // The first tenth fills the servers and is not counted.
    waits.erase(waits.begin(),
                waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 10));
    model_result out;
    for (const double w : waits) {
        out.mean_wait_ms += w / static_cast<double>(waits.size());
    }
    const auto p99 =
        waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
    std::nth_element(waits.begin(), p99, waits.end());
    out.p99_wait_ms = *p99;
    out.sheds = sheds;
    return out;
}

inline double to_ms(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// One queue in front of all slots, first come first served, no network.
inline model_result run_central_queue(const model_options& o)
{
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>>
        free_at;
    for (std::uint32_t i = 0; i < o.servers * o.slots; ++i) {
        free_at.push({});
    }
    std::vector<double> waits;
    for (const auto& r : make_requests(o)) {
        const auto start = std::max(r.arrival, free_at.top());
        free_at.pop();
        free_at.push(start + r.service);
        waits.push_back(to_ms(start - r.arrival));
    }
    return summarise(std::move(waits), 0);
}

/// One run of the model.
template <class Picker>
class picking_model
{
public:
    picking_model(const model_options& o, Picker picker)
        : o_(o)
        , picker_(picker)
        , requests_(make_requests(o))
        , waits_(o.requests, 0)
        , servers_(o.servers)
        , queues_(o.hosts)
        , random_{o.seed + 1}
    {
        state::service_spec spec;
        std::vector<state::subset_member> members;
        for (std::uint32_t s = 0; s < o.servers; ++s) {
            spec.upstreams.push_back({{0x0a000000U + s, 80}, "", o.slots, 400});
            members.push_back({s, 8});
        }
        for (std::uint32_t h = 0; h < o.hosts; ++h) {
            registries_.push_back(
                std::make_unique<state::upstream_load_registry>());
            for (auto& m : members) {
                m.same_data_centre = m.index % o.centres == h % o.centres;
            }
            tables_.push_back(state::build_pick_table(
                spec, {}, members, *registries_.back(), nullptr));
            if (o.host_limit > 0) {
                for (const auto& c : tables_.back()->candidates) {
                    c.load->set_limit(o.host_limit);
                }
            }
        }
    }

    model_result run()
    {
        for (std::uint32_t i = 0; i < requests_.size(); ++i) {
            auto& r = requests_[i];
            r.host = o_.homes == 0 ? r.entry : r.entry % o_.homes;
            const auto hop =
                r.host == r.entry ? duration{} : between(r.entry, r.host);
            events_.push({r.arrival + hop, kind::dispatch, i, 0});
        }
        if (o_.reports == report_mode::exchanged) {
            events_.push({requests_[0].arrival, kind::exchange, 0, 0});
        }
        while (!events_.empty()) {
            const event e = events_.top();
            events_.pop();
            now_ = e.at;
            handle(e);
        }
        return summarise(std::move(waits_),
                         static_cast<double>(sheds_) /
                             static_cast<double>(o_.requests));
    }

private:
    enum class kind : std::uint8_t
    {
        dispatch,
        at_server,
        finished,
        answered,
        shed,
        exchange,
        exchanged,
    };

    struct event
    {
        time_point at;
        kind what;
        std::uint32_t request;
        std::uint32_t server;
        std::uint32_t reported = 0;
        time_point sent{};

        bool operator<(const event& other) const
        {
            return at > other.at;
        }
    };

    struct server
    {
        std::uint32_t busy = 0;
        std::deque<event> waiting;
        /// Changes of the load, for lagging reports.
        std::deque<std::pair<time_point, std::uint32_t>> past;
        std::uint32_t lagging = 0;
        /// Requests on their way here, for the oracle.
        std::uint32_t travelling = 0;
    };

    duration between(std::uint32_t a, std::uint32_t b) const
    {
        return a % o_.centres == b % o_.centres ? o_.near : o_.far;
    }

    duration transit(std::uint32_t request, std::uint32_t server) const
    {
        return between(requests_[request].host, server);
    }

    state::upstream_load& load_at(std::uint32_t request, std::uint32_t server)
    {
        return *tables_[requests_[request].host]->candidates[server].load;
    }

    void handle(const event& e)
    {
        switch (e.what) {
        case kind::dispatch:
            return dispatch(e.request);
        case kind::at_server:
            return arrive(e);
        case kind::finished:
            return finish(e);
        case kind::answered:
            load_at(e.request, e.server).end();
            load_at(e.request, e.server).set_report(e.reported, now_);
            load_at(e.request, e.server).latency().add(now_ - e.sent);
            tables_[requests_[e.request].host]->service->latency.add(now_ -
                                                                     e.sent);
            tables_[requests_[e.request].host]->service->trust.add(
                requests_[e.request].guided, now_ - e.sent);
            return resume(requests_[e.request].host);
        case kind::shed:
            // A shed proves that the server is full, whatever it reports.
            load_at(e.request, e.server).end();
            load_at(e.request, e.server)
                .set_report(std::max(e.reported, o_.slots), now_);
            return dispatch(e.request);
        case kind::exchange:
            return exchange();
        case kind::exchanged:
            for (const auto& table : tables_) {
                table->candidates[e.server].load->set_report(e.reported, now_);
            }
            return;
        }
    }

    /// Takes the loads of now and hands them to all hosts one way later.
    void exchange()
    {
        for (std::uint32_t s = 0; s < o_.servers; ++s) {
            events_.push({now_ + o_.far, kind::exchanged, 0, s,
                          held(s) + servers_[s].travelling});
        }
        if (now_ < requests_.back().arrival) {
            events_.push({now_ + o_.exchange_period, kind::exchange, 0, 0});
        }
    }

    /// Sends the request that waited longest on a host.
    void resume(std::uint32_t host)
    {
        auto& queue = queues_[host];
        if (!queue.empty()) {
            const auto i = queue.front();
            queue.pop_front();
            dispatch(i);
        }
    }

    void dispatch(std::uint32_t i)
    {
        auto& r = requests_[i];
        if (r.excluded.size() >=
            std::min<std::size_t>(o_.attempts, o_.servers)) {
            r.excluded.clear();
            events_.push({now_ + o_.pause, kind::dispatch, i, 0});
            return;
        }
        const auto& table = *tables_[r.host];
        if (o_.reports == report_mode::oracle) {
            for (std::uint32_t s = 0; s < o_.servers; ++s) {
                const auto& up = servers_[s];
                table.candidates[s].load->set_report(
                    up.busy + up.travelling +
                        static_cast<std::uint32_t>(up.waiting.size()),
                    now_);
            }
        }
        const auto got = picker_.pick(table, {true, r.excluded}, random_, now_);
        if (!got) {
            queues_[r.host].push_back(i);
            return;
        }
        const auto s = static_cast<std::uint32_t>(got.value().index);
        r.guided = got.value().guided;
        r.excluded.push_back(table.candidates[s].address);
        if (!load_at(i, s).try_begin()) {
            std::abort();
        }
        ++servers_[s].travelling;
        events_.push({now_ + transit(i, s), kind::at_server, i, s, 0, now_});
    }

    void arrive(const event& e)
    {
        auto& s = servers_[e.server];
        --s.travelling;
        if (s.busy < o_.slots) {
            start(e);
        } else if (s.waiting.size() < o_.server_queue) {
            s.waiting.push_back(e);
            note(e.server);
        } else {
            ++sheds_;
            events_.push({now_ + transit(e.request, e.server), kind::shed,
                          e.request, e.server, reported(e.server), e.sent});
        }
    }

    void start(const event& e)
    {
        ++servers_[e.server].busy;
        note(e.server);
        const auto& r = requests_[e.request];
        waits_[e.request] =
            to_ms(now_ - r.arrival - between(r.entry, e.server));
        events_.push(
            {now_ + r.service, kind::finished, e.request, e.server, 0, e.sent});
    }

    void finish(const event& e)
    {
        auto& s = servers_[e.server];
        --s.busy;
        if (!s.waiting.empty()) {
            const event next = s.waiting.front();
            s.waiting.pop_front();
            start(next);
        }
        note(e.server);
        events_.push({now_ + transit(e.request, e.server), kind::answered,
                      e.request, e.server, reported(e.server), e.sent});
    }

    std::uint32_t held(std::uint32_t server) const
    {
        const auto& s = servers_[server];
        return s.busy + static_cast<std::uint32_t>(s.waiting.size());
    }

    void note(std::uint32_t server)
    {
        if (o_.reports == report_mode::lagging) {
            servers_[server].past.emplace_back(now_, held(server));
        }
    }

    std::uint32_t reported(std::uint32_t server)
    {
        auto& s = servers_[server];
        if (o_.reports == report_mode::lying && server % 4 == 0) {
            return 0;
        }
        if (o_.reports != report_mode::lagging) {
            return held(server);
        }
        while (!s.past.empty() &&
               s.past.front().first + std::chrono::seconds(2) <= now_) {
            s.lagging = s.past.front().second;
            s.past.pop_front();
        }
        return s.lagging;
    }

    model_options o_;
    Picker picker_;
    std::vector<model_request> requests_;
    std::vector<double> waits_;
    std::vector<server> servers_;
    /// Requests that wait on each host for an answer.
    std::vector<std::deque<std::uint32_t>> queues_;
    seeded_random random_;
    std::vector<std::unique_ptr<state::upstream_load_registry>> registries_;
    std::vector<std::shared_ptr<const state::pick_table>> tables_;
    std::priority_queue<event> events_;
    time_point now_{};
    std::uint64_t sheds_ = 0;
};

template <class Picker>
model_result run_model(const model_options& o, Picker picker = {})
{
    return picking_model<Picker>(o, picker).run();
}

} // namespace oriolegrade::bench

#endif
