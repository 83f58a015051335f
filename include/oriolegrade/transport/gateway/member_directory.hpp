// Announces this host to the others and learns of them. What to write and when
// is decided by host_announcement and host_directory.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_MEMBER_DIRECTORY_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_MEMBER_DIRECTORY_HPP

#include <oriolegrade/coordination/host_announcement.hpp>
#include <oriolegrade/coordination/host_directory.hpp>
#include <oriolegrade/protocol/dispatch_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/gateway/traffic_source.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace oriolegrade::transport {

/// Time after the first read at which the hosts of a new fleet have announced
/// themselves: within a second of each other.
inline constexpr std::chrono::milliseconds member_second_read{1200};
/// Hosts that others ask first read the store before the others ask them.
inline constexpr std::chrono::milliseconds member_seed_lead{200};
inline constexpr std::chrono::milliseconds member_ask_spread{800};
/// A host that knows no other one has nothing to tell.
inline constexpr std::size_t member_fewest_told = 2;
/// Interval of later reads. A host that is not known yet dispatches nothing,
/// which costs no promise.
inline constexpr std::chrono::seconds member_interval{10};
inline constexpr std::chrono::milliseconds member_retry{1000};

/// Lives on the control thread.
template <traffic_source Source>
class member_directory
{
public:
    /// @param is_seed other hosts ask this one first
    member_directory(Source& source, state::host_member self, bool is_seed)
        : source_(source)
        , self_(std::move(self))
        , is_seed_(is_seed)
        , announcement_(self_)
        , members_{self_}
    {}

    std::function<void(const std::vector<state::host_member>&)> on_members;
    /// Called when the directory was read, also without a change, once the
    /// other hosts are known.
    std::function<void()> on_read = [] {
    };
    /// Asks another host for the hosts that it knows.
    std::function<std::optional<protocol::fleet_view>()> ask_peer;
    /// Tells whether this host reads the store for others.
    std::function<bool()> is_reader;
    /// Tells whether this host writes the record that names all hosts. Two that
    /// do are harmless: each record is followed by the changes since.
    std::function<bool()> is_recorder;

    const std::vector<state::host_member>& members() const
    {
        return members_;
    }
    /// False until the other hosts have been read. A host that knows only
    /// itself would take itself for the dispatcher of every service.
    bool is_known() const
    {
        return known_;
    }

    /// False when the directory named other hosts and not this one at the first
    /// read.
    bool was_named() const
    {
        return was_named_;
    }

    /// Adds hosts that another host told of.
    void add(const std::vector<state::host_member>& told)
    {
        auto next = members_;
        for (const auto& it : told) {
            const bool known =
                std::any_of(next.begin(), next.end(), [&](const auto& have) {
                    return have.name == it.name;
                });
            if (!known) {
                next.push_back(it);
            }
        }
        take(std::move(next));
    }

    /// Runs for ever.
    void run()
    {
        // After a loss of all hosts the directory still names them, and
        // callers are waiting.
        bool was_read = false;
        run_step("members_read", [&] { was_read = read(); });
        run_step("members_announce", [this] { announce(); });
        if (!was_read) {
            run_step("members_read", [this] { read(); });
        }
        boost::this_fiber::sleep_for(member_second_read);
        settled_ = true;
        if (is_seed_) {
            run_step("members_read", [this] { read(); });
        } else {
            boost::this_fiber::sleep_for(member_seed_lead + spread());
            run_step("members_read", [this] { ask_or_read(); });
        }
        for (;;) {
            run_step("members_announce", [this] { announce(); });
            run_step("members_record", [this] { record(); });
            boost::this_fiber::sleep_for(member_interval);
            run_step("members_read", [this] { refresh(); });
        }
    }

    /// Takes this host out of the directory.
    void leave()
    {
        if (const auto result = source_.drop_host(self_.name); !result) {
            event(log_level::warning, "member_not_removed")
                .with("reason", state::name_of(result.error()));
        }
    }

private:
    /// Hosts that read for others read the store, and the others ask a host:
    /// calls to the store are charged.
    void refresh()
    {
        if (is_reader()) {
            read();
        } else {
            ask_or_read();
        }
    }

    void ask_or_read()
    {
        if (!ask()) {
            read();
        }
    }

    /// Takes the hosts that another host knows; false when it knows none.
    bool ask()
    {
        const auto told = ask_peer();
        if (!told || told->hosts.size() < member_fewest_told) {
            return false;
        }
        known_ = true;
        announcement_.heard_view(told->hosts);
        add(told->hosts);
        on_read();
        return true;
    }

    /// Spreads questions to the few seeds over some time.
    std::chrono::milliseconds spread()
    {
        std::uniform_int_distribution<std::chrono::milliseconds::rep> pick(
            0, member_ask_spread.count());
        return std::chrono::milliseconds(pick(random_));
    }

    /// Writes the record of this host when the others do not find it.
    void announce()
    {
        while (announcement_.is_due()) {
            if (source_.put_host(self_)) {
                announcement_.announced();
                return;
            }
            boost::this_fiber::sleep_for(member_retry);
        }
    }

    /// Writes the record that names all hosts.
    void record()
    {
        if (!is_recorder() || !directory_.is_record_due()) {
            return;
        }
        const auto result = source_.put_directory_record(directory_.record());
        if (result) {
            directory_.recorded();
            event(log_level::info, "directory_recorded")
                .with("hosts", directory_.hosts().size())
                .with("offset", directory_.next_offset());
        } else {
            event(log_level::warning, "directory_not_recorded")
                .with("reason", state::name_of(result.error()));
        }
    }

    /// False when the store did not answer.
    bool read()
    {
        if (const auto result = read_store(); !result) {
            event(log_level::warning, "members_not_read")
                .with("reason", state::name_of(result.error()));
            return false;
        }
        auto next = directory_.hosts();
        announcement_.read_directory(next);
        if (!has_read_) {
            has_read_ = true;
            was_named_ = next.empty() || !announcement_.is_due();
        }
        std::erase_if(next,
                      [&](const auto& it) { return it.name == self_.name; });
        next.push_back(self_);
        known_ = known_ || next.size() >= member_fewest_told || settled_;
        take(std::move(next));
        if (known_) {
            on_read();
        }
        return true;
    }

    /// Brings the directory up to date.
    state::source_result<void> read_store()
    {
        if (!directory_.is_read()) {
            const auto record = source_.directory_record();
            if (!record) {
                return record.error();
            }
            if (record.value()) {
                directory_.take_record(*record.value());
            }
        }
        if (directory_.is_read()) {
            const auto changes = source_.read_hosts(directory_.next_offset());
            if (changes) {
                directory_.apply(changes.value());
                return state::outcome::success();
            }
            if (changes.error() != state::source_failure::trimmed) {
                return changes.error();
            }
            directory_.forget();
        }
        const auto newest = source_.newest_hosts();
        if (!newest) {
            return newest.error();
        }
        directory_.take_newest(newest.value());
        return state::outcome::success();
    }

    void take(std::vector<state::host_member> next)
    {
        std::sort(next.begin(), next.end(),
                  [](const auto& a, const auto& b) { return a.name < b.name; });
        if (next == members_) {
            return;
        }
        members_ = std::move(next);
        event(log_level::info, "members").with("count", members_.size());
        on_members(members_);
    }

    Source& source_;
    const state::host_member self_;
    const bool is_seed_;
    coordination::host_announcement announcement_;
    /// The directory as the store has it; members_ may name hosts that only
    /// other hosts told of.
    coordination::host_directory directory_;
    bool known_ = false;
    bool has_read_ = false;
    bool was_named_ = false;
    /// Hosts that started together have announced themselves.
    bool settled_ = false;
    std::mt19937_64 random_{std::random_device()()};
    /// Sorted by name; holds this host.
    std::vector<state::host_member> members_;
};

} // namespace oriolegrade::transport

#endif
