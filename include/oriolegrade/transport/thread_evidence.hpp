// What one worker thread saw happen to its attempts, until the control thread
// collects it.

#ifndef ORIOLEGRADE_TRANSPORT_THREAD_EVIDENCE_HPP
#define ORIOLEGRADE_TRANSPORT_THREAD_EVIDENCE_HPP

#include <oriolegrade/coordination/latency_baseline.hpp>
#include <oriolegrade/state/attempt_result.hpp>
#include <oriolegrade/state/evidence.hpp>
#include <oriolegrade/transport/service_table.hpp>

#include <boost/intrusive/list.hpp>

#include <array>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace oriolegrade::transport {

/// Evidence of one thread about one service entry.
struct service_evidence
{
    service_controls_ptr service;
    std::vector<state::evidence_item> items;
};

/// Everything that a collection takes from a thread.
struct collected_evidence
{
    std::vector<service_evidence> services;
    /// Upstreams that announced that they drain.
    std::vector<state::endpoint> draining;
};

/// An attempt in progress, so that a hanging one is noticed before its end.
struct attempt_record : boost::intrusive::list_base_hook<>
{
    service_controls_ptr service;
    state::endpoint upstream;
    state::request_class request = state::request_class::idempotent;
    state::time_point began;
    /// Age from which the attempt is slow while the usual latency of the
    /// class is unknown.
    state::duration slow_fallback{};
    /// Already counted as slow; its end is not counted again.
    bool counted = false;
};

/// How an attempt ended.
struct attempt_end
{
    state::attempt_result result = state::attempt_result::answered;
    /// Status of the answer; 0 without one.
    std::uint16_t status = 0;
    state::duration took{};
};

/// What an end says about the upstream's health, before latency is judged;
/// empty when it says nothing.
std::optional<state::evidence_kind> evidence_of(const attempt_end& end);

class thread_evidence
{
public:
    /// The following belong to the worker thread.

    void begin(attempt_record& it)
    {
        running_.push_back(it);
    }
    void end(attempt_record& it, const attempt_end& how);
    void drain_signal(const state::endpoint& upstream);
    /// Counts the attempts that became slow in flight.
    void count_hanging(state::time_point now);

    /// Moves out what was counted. For the control thread.
    collected_evidence collect();

private:
    struct class_key
    {
        const service_controls* service;
        state::request_class request;
        bool operator==(const class_key&) const = default;
    };
    struct class_key_hash
    {
        std::size_t operator()(const class_key& key) const
        {
            return std::hash<const void*>()(key.service) * 3 +
                   state::index_of(key.request);
        }
    };

    void count(const attempt_record& it, state::evidence_kind kind);
    coordination::latency_baseline& baseline_of(const attempt_record& it);

    boost::intrusive::list<attempt_record> running_;
    std::unordered_map<class_key, coordination::latency_baseline,
                       class_key_hash>
        baselines_;
    /// Guards what follows. Held for a few instructions; the control thread
    /// takes it ten times a second.
    std::mutex mutex_;
    std::unordered_map<service_controls_ptr, state::evidence_buffer> buffers_;
    std::vector<state::endpoint> draining_;
};

/// The evidence of all worker threads.
class evidence_sources
{
public:
    /// Adds a worker thread.
    std::shared_ptr<thread_evidence> add()
    {
        const std::lock_guard lock(mutex_);
        sources_.push_back(std::make_shared<thread_evidence>());
        return sources_.back();
    }

    /// Calls `take(collected_evidence)` for every thread.
    template <class Take>
    void collect(Take take)
    {
        const std::lock_guard lock(mutex_);
        for (const auto& it : sources_) {
            take(it->collect());
        }
    }

private:
    /// Taken at the start of a thread and by each collection.
    std::mutex mutex_;
    std::vector<std::shared_ptr<thread_evidence>> sources_;
};

} // namespace oriolegrade::transport

#endif
