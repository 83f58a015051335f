// Reads the store, and through another host while the store turns this one
// away.
//
// Load pattern: the store is out of reach of a third of the hosts, the
// dispatchers among them. Without a detour their views grow old, and every
// host of the fleet reads the store and places its requests alone.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_RELAYED_SOURCE_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_RELAYED_SOURCE_HPP

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_scheduler.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/gateway/traffic_source.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace oriolegrade::transport {

/// Interval at which a host that reads through others tries the store again.
inline constexpr std::chrono::seconds relay_test_interval{2};

/// Interval of reads of the rules through others. Changes must be in force
/// within 2 s.
inline constexpr std::chrono::milliseconds relay_rules_interval{500};

/// Time for the answer to a wait that is over, before another host is asked. A
/// slow store takes some 300 ms.
inline constexpr std::chrono::milliseconds relay_overdue_limit{350};

/// Asks another host to read; empty when none can.
template <class Relay>
concept source_relay = requires(Relay& r, const state::source_request& request)
{
    {
        r.relay(request)
        } -> std::same_as<std::optional<state::source_reply>>;
};

/// Makes the call that a request describes.
template <traffic_source Source>
state::source_reply read_source(Source& source,
                                const state::source_request& request)
{
    const auto reply = [](auto result) -> state::source_reply {
        if (!result) {
            return result.error();
        }
        return std::move(result.value());
    };
    switch (request.call) {
    case state::source_call::newest_rules:
        return reply(source.newest_rules());
    case state::source_call::newest_upstreams:
        return reply(source.newest_upstreams());
    case state::source_call::read_upstreams:
        return reply(source.read_upstreams(request.from));
    case state::source_call::read_rules:
        return reply(source.wait_for_rules(request.from, {}));
    case state::source_call::known_upstreams:
        // No call to a source.
        break;
    }
    return state::source_failure::unreachable;
}

/// Lives on the control thread; calls block the calling fiber.
template <traffic_source Source, source_relay Relay>
class relayed_source
{
public:
    relayed_source(Source& own, Relay& relay)
        : own_(own)
        , relay_(relay)
    {}

    state::source_result<state::rules_read> newest_rules()
    {
        return read<state::rules_read>({state::source_call::newest_rules, 0});
    }
    state::source_result<state::rules_read> wait_for_rules(std::uint64_t from,
                                                           state::duration wait)
    {
        if (!relaying_) {
            return wait_at_own(from, wait);
        }
        boost::this_fiber::sleep_for(
            std::min<state::duration>(wait, relay_rules_interval));
        return read<state::rules_read>({state::source_call::read_rules, from});
    }
    state::source_result<state::registry_read> newest_upstreams()
    {
        return read<state::registry_read>(
            {state::source_call::newest_upstreams, 0});
    }
    state::source_result<state::registry_read>
    read_upstreams(std::uint64_t from)
    {
        return read<state::registry_read>(
            {state::source_call::read_upstreams, from});
    }

    state::result<state::traffic_rules, state::findings>
    decode_rules(const std::string& document) const
    {
        return own_.decode_rules(document);
    }

    // Hosts learn of each other in other ways when the store is away.
    state::source_result<state::directory_read> newest_hosts()
    {
        return own_.newest_hosts();
    }
    state::source_result<state::directory_changes>
    read_hosts(std::uint64_t from)
    {
        return own_.read_hosts(from);
    }
    state::source_result<std::optional<state::directory_read>>
    directory_record()
    {
        return own_.directory_record();
    }
    state::source_result<void>
    put_directory_record(const state::directory_read& directory)
    {
        return own_.put_directory_record(directory);
    }
    state::source_result<void> put_host(const state::host_member& host)
    {
        return own_.put_host(host);
    }
    state::source_result<void> drop_host(const std::string& name)
    {
        return own_.drop_host(name);
    }

private:
    using clock = std::chrono::steady_clock;

    /// A wait that goes on while another host may be asked.
    struct pending_wait
    {
        /// Empty until the wait has ended.
        std::optional<state::source_result<state::rules_read>> result;
        fiber_signal ended;
    };

    /// Waits at the store, and asks another host when the answer is overdue:
    /// this host may be cut off, and others rely on what it reads. A store that
    /// drops its history also leaves a wait unanswered, so a wait that fails
    /// does not show that the store turns this host away.
    state::source_result<state::rules_read> wait_at_own(std::uint64_t from,
                                                        state::duration wait)
    {
        const auto pending = std::make_shared<pending_wait>();
        spawn_fiber([this, pending, from, wait] {
            run_step("rules_wait", [&] {
                pending->result = own_.wait_for_rules(from, wait);
            });
            if (!pending->result) {
                // The reader must not wait for ever for this call.
                pending->result = state::source_failure::unreachable;
            }
            pending->ended.notify();
        });
        const auto has_ended = [&] {
            return pending->result.has_value();
        };
        if (!pending->ended.wait_until(
                clock::now() + wait + relay_overdue_limit, has_ended)) {
            auto result = read_at_peer<state::rules_read>(
                {state::source_call::read_rules, from});
            if (result) {
                return std::move(*result);
            }
            pending->ended.wait(has_ended);
        }
        return std::move(*pending->result);
    }

    template <class Read>
    state::source_result<Read> read(const state::source_request& request)
    {
        auto failure = state::source_failure::unreachable;
        if (!relaying_) {
            auto own = to_result<Read>(read_source(own_, request));
            if (own || own.error() == state::source_failure::trimmed) {
                return own;
            }
            failure = own.error();
        }
        auto result = read_at_peer<Read>(request);
        if (!result) {
            return failure;
        }
        return std::move(*result);
    }

    /// Reads through another host; empty when none answers.
    template <class Read>
    std::optional<state::source_result<Read>>
    read_at_peer(const state::source_request& request)
    {
        const auto reply = relay_.relay(request);
        if (!reply) {
            set_relaying(false);
            return std::nullopt;
        }
        auto result = to_result<Read>(*reply);
        const bool reached =
            result || result.error() == state::source_failure::trimmed;
        set_relaying(reached);
        if (reached) {
            test_own();
        }
        return result;
    }

    template <class Read>
    static state::source_result<Read> to_result(state::source_reply reply)
    {
        if (auto* it = std::get_if<Read>(&reply)) {
            return std::move(*it);
        }
        const auto* failure = std::get_if<state::source_failure>(&reply);
        return failure != nullptr ? *failure
                                  : state::source_failure::unreachable;
    }

    void set_relaying(bool relaying)
    {
        if (relaying != relaying_) {
            relaying_ = relaying;
            tested_at_ = clock::now();
            event(log_level::info,
                  relaying ? "store_read_by_peer" : "store_read_directly");
        }
    }

    /// Looks whether the store answers this host again. A silent store would
    /// hold up the read in progress for longer than a view may be old.
    void test_own()
    {
        if (testing_ || clock::now() - tested_at_ < relay_test_interval) {
            return;
        }
        testing_ = true;
        spawn_fiber([this] {
            bool answers = false;
            run_step("store_test",
                     [&] { answers = own_.newest_rules().has_value(); });
            testing_ = false;
            tested_at_ = clock::now();
            if (answers) {
                set_relaying(false);
            }
        });
    }

    Source& own_;
    Relay& relay_;
    /// The last read went through another host.
    bool relaying_ = false;
    bool testing_ = false;
    clock::time_point tested_at_{};
};

} // namespace oriolegrade::transport

#endif
