// Follows the register of upstreams while this host places requests.
//
// Load pattern: the store is away, and the first dispatcher of a service stops.
// The next one has no view, or one from the start of the fleet, and cannot read
// its own. Hosts that dispatch other services hold the whole register.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_REGISTRY_FOLLOWER_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_REGISTRY_FOLLOWER_HPP

#include <oriolegrade/coordination/upstream_registry.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/gateway/traffic_source.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace oriolegrade::transport {

/// Interval of reads while the view is in use. An upstream that leaves must
/// get no new work 2 s after its entry says so.
inline constexpr std::chrono::milliseconds registry_interval{750};
/// Reads go on for this long after the last use.
inline constexpr std::chrono::seconds registry_use_time{3};
/// After a longer pause the whole register is cheaper to read than its
/// history: every heartbeat is a record.
inline constexpr std::chrono::seconds registry_history_limit{5};
/// Pause after a failed read of a host that is the first choice, and of any
/// other one.
inline constexpr std::chrono::milliseconds registry_retry{400};
inline constexpr std::chrono::milliseconds registry_idle_retry{1500};

/// Lives on the control thread.
template <traffic_source Source>
class registry_follower
{
public:
    explicit registry_follower(Source& source)
        : source_(source)
    {}

    /// Called after the registry changed, and after every read.
    std::function<void()> on_read;
    /// Tells whether this host places requests as the first choice.
    std::function<bool()> is_wanted;
    /// Asks the hosts that dispatch for what they hold; empty when none has a
    /// view.
    std::function<std::optional<state::registry_read>()> ask_dispatchers;

    const coordination::upstream_registry& registry() const
    {
        return registry_;
    }

    /// Age of what the registry holds; max() before the first read and while
    /// entries are kept that have left the register.
    state::duration age(state::time_point now) const
    {
        return registry_.has_lapsed_entries() ? state::duration::max()
                                              : read_age(now);
    }

    /// What this host holds, for one that cannot read the store.
    state::source_reply known(state::time_point now) const
    {
        const auto since = age(now);
        if (since == state::duration::max()) {
            return state::source_failure::unreachable;
        }
        return state::registry_read{registry_.entries(), next_offset_, since};
    }

    /// Reads at once.
    /// @param done called after the next read, whether it succeeded or not
    void refresh(std::function<void()> done)
    {
        if (failed_) {
            // The next read may take as long as the last one that failed.
            return done();
        }
        waiting_.push_back(std::move(done));
        wake_.notify();
    }
    void touch()
    {
        used_at_ = clock::now();
        wake_.notify();
    }

    /// is_wanted() may have changed. A host that starts as the first choice
    /// reads before the first request arrives.
    void consider()
    {
        wake_.notify();
    }

    /// Runs for ever.
    void run()
    {
        repeat_for_ever("register", registry_retry, [this] {
            wait_for_use();
            if (!run_step("register_read", [this] { read(); })) {
                // Part of the changes may have been taken: the whole register
                // is read next, and nothing is placed on this view.
                failed_ = true;
                read_at_ = state::time_point::min();
            }
            const auto done = std::exchange(waiting_, {});
            run_step("register_news", on_read);
            for (const auto& it : done) {
                run_step("register_refresh", it);
            }
        });
    }

private:
    state::duration read_age(state::time_point now) const
    {
        return read_at_ == state::time_point::min() ? state::duration::max()
                                                    : now - read_at_;
    }

    using clock = std::chrono::steady_clock;

    bool in_use() const
    {
        return clock::now() - used_at_ < registry_use_time || is_wanted();
    }

    std::chrono::milliseconds pause() const
    {
        if (!failed_) {
            return registry_interval;
        }
        return is_wanted() ? registry_retry : registry_idle_retry;
    }

    void wait_for_use()
    {
        while (waiting_.empty()) {
            const auto now = clock::now();
            const auto next = tried_at_ + pause();
            if (in_use() && now >= next) {
                return;
            }
            const auto until = in_use() ? next : now + registry_use_time;
            wake_.wait_until(until, [&] {
                return !waiting_.empty() || (in_use() && clock::now() >= next);
            });
        }
    }

    void read()
    {
        const auto began = clock::now();
        tried_at_ = began;
        bool whole = taken_over_ || read_age(began) >= registry_history_limit;
        auto result = whole ? source_.newest_upstreams()
                            : source_.read_upstreams(next_offset_);
        if (!result && result.error() == state::source_failure::trimmed) {
            result = source_.newest_upstreams();
            whole = true;
        }
        const auto now = clock::now();
        if (!result) {
            note_failure(result.error(), now);
            if (is_wanted() && age(now) >= registry_history_limit) {
                take_over();
            }
            return;
        }
        if (failed_) {
            event(log_level::info, "register_regained");
        }
        failed_ = false;
        taken_over_ = false;
        registry_.read_succeeded(now);
        take(result.value(), whole, now);
        registry_.advance(now);
        read_at_ = began;
    }

    /// Takes the view of another host when it is younger than the own one.
    /// Only a host that is the first choice for a service does, or a store that
    /// is away would make all ask all.
    void take_over()
    {
        const auto told = ask_dispatchers();
        const auto now = clock::now();
        if (!told || told->age >= age(now)) {
            return;
        }
        registry_.replace(told->changes, now);
        next_offset_ = told->next_offset;
        read_at_ = now - told->age;
        taken_over_ = true;
        event(log_level::info, "register_taken_over")
            .with("upstreams", registry_.size())
            .with(
                "age_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(told->age)
                    .count());
    }

    void take(const state::registry_read& read, bool whole,
              state::time_point now)
    {
        if (whole) {
            registry_.replace(read.changes, now);
            event(log_level::info, "register_read")
                .with("upstreams", registry_.size())
                .with("offset", read.next_offset);
        } else {
            for (const auto& it : read.changes) {
                const auto before = registry_.revision();
                registry_.apply(it, now);
                if (registry_.revision() != before) {
                    log_change(it);
                }
            }
        }
        next_offset_ = read.next_offset;
    }

    void log_change(const state::registry_change& it) const
    {
        event line(log_level::info, "upstream_changed");
        line.with("id", it.id).with("change", state::name_of(it.kind));
        if (it.entry) {
            line.with("service", it.entry->service)
                .with("address", to_string(it.entry->address))
                .with("state", state::name_of(it.entry->state))
                .with("born", it.entry->born)
                .with("sequence", it.entry->sequence);
        }
    }

    void note_failure(state::source_failure failure, state::time_point now)
    {
        if (!failed_) {
            event(log_level::warning, "register_lost")
                .with("reason", state::name_of(failure))
                .with("upstreams", registry_.size());
        }
        failed_ = true;
        registry_.read_failed(now);
    }

    Source& source_;
    coordination::upstream_registry registry_;
    std::uint64_t next_offset_ = 0;
    /// Begin of the last read that succeeded.
    state::time_point read_at_ = state::time_point::min();
    state::time_point tried_at_{};
    state::time_point used_at_{};
    bool failed_ = false;
    /// The view is another host's; the next read is of the whole register.
    bool taken_over_ = false;
    std::vector<std::function<void()>> waiting_;
    fiber_signal wake_;
};

} // namespace oriolegrade::transport

#endif
