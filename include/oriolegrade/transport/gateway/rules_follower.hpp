// Follows the operator's document: decides when to read it, and where, so that
// each version comes into force in time. Versions only go up, whoever they come
// from.
//
// Hosts that dispatch read the store for all: after each read they confirm that
// the version in force is the newest, and a host reads the store itself when
// the read behind its last confirmation is too old. A call of every host for
// every change would cost the fleet several percent of its worth.
//
// Load pattern: the one host that reads is cut off from the store while the
// operator changes the document. A change must be in force within 2 s, so what
// bounds a confirmation is the age of the read behind it, not its arrival.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_RULES_FOLLOWER_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_RULES_FOLLOWER_HPP

#include <oriolegrade/coordination/document_search.hpp>
#include <oriolegrade/coordination/host_seed.hpp>
#include <oriolegrade/protocol/dispatch_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/gateway/gateway_shared.hpp>
#include <oriolegrade/transport/gateway/rules_fetcher.hpp>
#include <oriolegrade/transport/gateway/traffic_source.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolegrade::transport {

/// Longest wait of one call for a change. A store that drops its history
/// leaves a wait unanswered, and changes must be in force within 2 s.
inline constexpr std::chrono::milliseconds rules_wait{1000};
/// The same for a host that others confirm the version to, most of the time.
inline constexpr std::chrono::milliseconds rules_idle_wait{2500};
/// Pause after a change, so that a series of changes costs few calls.
inline constexpr std::chrono::milliseconds rules_pause{250};
inline constexpr std::chrono::milliseconds rules_first_retry{200};
/// Longest pause between failed reads of a host that reads for others.
inline constexpr std::chrono::milliseconds rules_last_retry{800};
/// The same for other hosts: they hear from the readers when the store is
/// back.
inline constexpr std::chrono::milliseconds rules_last_idle_retry{4000};
/// Interval at which a host looks whether it has become a reader.
inline constexpr std::chrono::milliseconds rules_role_interval{500};
/// Age of the read behind a confirmation after which a host reads for itself.
/// A reader's calls end every second, and 0.5 s remain for a read of its own.
inline constexpr std::chrono::milliseconds rules_confirm_limit{1500};
/// The same for the first confirmation of a host that has started and read the
/// document: it learns of the other hosts in this time.
inline constexpr std::chrono::milliseconds rules_first_confirm_limit{1900};
/// Age of a read up to which the store counts as answering.
inline constexpr std::chrono::milliseconds rules_fresh_limit{1600};
/// Interval of questions to other hosts while the store cannot be read.
inline constexpr std::chrono::milliseconds rules_peer_interval{700};
/// Time that a look waits for a version that is known.
inline constexpr std::chrono::milliseconds rules_look_limit{300};
/// Pause between two reads that requests ask for. Calls of the store are
/// priced, and callers with wrong keys can send any number of requests.
inline constexpr std::chrono::milliseconds rules_ask_pause{250};

/// Lives on the control thread.
template <traffic_source Source>
class rules_follower
{
public:
    rules_follower(gateway_shared& shared, Source& source)
        : shared_(shared)
        , fetcher_(shared, source)
        , search_(coordination::host_seed(shared.options.self.name))
    {
        fetcher_.on_rules = [this] {
            replaced_.notify();
            on_rules();
        };
        fetcher_.ask_peer = [this](const std::string& host,
                                   std::uint64_t version) {
            return ask_peer(host, version);
        };
    }

    /// Called after a version came into force.
    std::function<void()> on_rules;
    /// Called after a read that brought no newer version.
    std::function<void()> on_confirmed;
    /// Asks another host for a document newer than the version. The name may
    /// be empty: any host will do.
    std::function<std::optional<protocol::fleet_view>(const std::string& host,
                                                      std::uint64_t version)>
        ask_peer;
    /// Tells whether this host reads the document for others.
    std::function<bool()> is_reader;

    /// Another host has rules of this version.
    /// @param confirmed_age time since it read that there is no newer one
    void heard(const std::string& host, std::uint64_t version,
               std::optional<state::duration> confirmed_age)
    {
        const auto current = fetcher_.version_in_force();
        if (version > std::max(shared_.rules_told.load(), current)) {
            teller_ = host;
            search_.begin(clock::now());
            shared_.rules_told = version;
            noticed_.notify();
        }
        if (confirmed_age && version >= current) {
            confirmed_at_ =
                std::max(confirmed_at_, clock::now() - *confirmed_age);
            note_confirmed();
        }
    }

    /// Looks for a newer version now. One look serves all that ask while it
    /// lasts or shortly after it.
    /// @param done called at its end, in any fiber
    void refresh(std::function<void()> done)
    {
        if (!looking_ && clock::now() < looked_at_ + rules_ask_pause) {
            return done();
        }
        awaiting_.push_back(std::move(done));
        if (std::exchange(looking_, true)) {
            return;
        }
        spawn_fiber([this] {
            run_step("rules_refresh", [this] { look(); });
            looking_ = false;
            looked_at_ = clock::now();
            for (const auto& it : std::exchange(awaiting_, {})) {
                run_step("rules_refresh", it);
            }
        });
    }

    /// True when the store has just answered this host.
    bool is_fresh() const
    {
        return clock::now() - fetcher_.read_at() < rules_fresh_limit;
    }

    /// Time since this host read that there is no newer version; empty when
    /// that is too long ago to confirm the version to others.
    std::optional<state::duration> confirmed_age() const
    {
        const state::duration age = clock::now() - fetcher_.read_at();
        return age < rules_confirm_limit ? std::optional(age) : std::nullopt;
    }

    /// The document in force as it travels to other hosts.
    protocol::fleet_view document()
    {
        return fetcher_.document();
    }

    /// Reads the store for ever, in person or by confirmations.
    void run()
    {
        auto retry = rules_first_retry;
        repeat_for_ever("rules", rules_last_retry, [&] {
            if (shared_.configured && !is_reader() &&
                (is_confirmed() || behind())) {
                wait_for_lapse();
                return;
            }
            if (read_or_forget()) {
                retry = rules_first_retry;
                return;
            }
            boost::this_fiber::sleep_for(retry);
            const auto longest = is_reader() || !shared_.configured
                                     ? rules_last_retry
                                     : rules_last_idle_retry;
            retry = std::min(retry * 2, longest);
        });
    }

    /// Brings in versions that other hosts told of; runs for ever.
    void run_notices()
    {
        repeat_for_ever("rules_notices", rules_last_retry, [this] {
            noticed_.wait([this] { return behind(); });
            catch_up();
        });
    }

    /// Asks other hosts while the store does not answer; runs for ever.
    void run_peers()
    {
        repeat_for_ever("rules_peers", rules_peer_interval, [this] {
            lost_.wait([this] { return failing_; });
            boost::this_fiber::sleep_for(rules_peer_interval);
            if (!failing_ || is_confirmed()) {
                return;
            }
            fetcher_.take_from({});
        });
    }

private:
    using clock = std::chrono::steady_clock;

    /// A notice told of a newer version.
    bool behind() const
    {
        return shared_.knows_newer(fetcher_.version_in_force());
    }

    bool is_confirmed() const
    {
        return clock::now() - confirmed_at_ < rules_confirm_limit;
    }

    /// Waits until the confirmation lapses, or this host may have become a
    /// reader. A host that knows of a newer version gets it by search.
    void wait_for_lapse()
    {
        const auto until = clock::now() + rules_role_interval;
        boost::this_fiber::sleep_until(
            behind() ? until
                     : std::min(confirmed_at_ + rules_confirm_limit, until));
    }

    std::chrono::milliseconds wait() const
    {
        return is_reader() ? rules_wait : rules_idle_wait;
    }

    /// A document that an exception kept out of force is read again, and is not
    /// confirmed to other hosts meanwhile.
    bool read_or_forget()
    {
        bool has_read = false;
        const auto fault = caught([&] { has_read = read(); });
        if (fault) {
            fetcher_.forget(rules_fresh_limit);
            note_confirmed();
            std::rethrow_exception(fault);
        }
        return has_read;
    }

    /// One read of the store; false when it failed.
    bool read()
    {
        // A wait is left unanswered also when the store drops its history;
        // without a wait it tells so.
        const auto result =
            fetcher_.read(failing_ ? std::chrono::milliseconds{} : wait());
        if (!result) {
            return note_failure(result.error());
        }
        note_success();
        note_read(result.value().newest_at);
        if (!result.value().is_news) {
            on_confirmed();
        }
        note_confirmed();
        if (result.value().has_change) {
            boost::this_fiber::sleep_for(rules_pause);
        }
        return true;
    }

    /// The first read confirms the version until the first host does.
    void note_read(state::time_point newest_at)
    {
        if (!std::exchange(has_read_, true)) {
            confirmed_at_ =
                newest_at + (rules_first_confirm_limit - rules_confirm_limit);
        }
    }

    /// Workers take the rules for the newest until the confirmation is old.
    void note_confirmed()
    {
        const auto newest_at = std::max(fetcher_.read_at(), confirmed_at_);
        shared_.rules_newest_at = newest_at;
        shared_.rules_confirmed_until = newest_at + rules_confirm_limit;
    }

    /// Looks for a newer version: where one is known, as the search says, and
    /// at the store otherwise.
    void look()
    {
        if (behind()) {
            search();
            // Others may have been served first; the search goes on.
            replaced_.wait_until(clock::now() + rules_look_limit,
                                 [this] { return !behind(); });
            return;
        }
        const auto result = fetcher_.read(std::chrono::milliseconds{});
        if (!result) {
            fetcher_.take_from({});
            return;
        }
        note_read(result.value().newest_at);
        confirmed_at_ = std::max(confirmed_at_, result.value().newest_at);
        note_confirmed();
    }

    /// One attempt to get a newer version that a host told of.
    void catch_up()
    {
        search();
        if (!behind()) {
            return;
        }
        const auto pause = search_.missed();
        if (search_.is_hopeless(clock::now())) {
            event(log_level::warning, "notice_not_confirmed")
                .with("version", shared_.rules_told.load());
            shared_.rules_told = 0;
            return;
        }
        boost::this_fiber::sleep_for(pause);
    }

    void search()
    {
        switch (search_.next(clock::now(), is_reader())) {
        case coordination::document_place::teller:
            fetcher_.take_from(teller_);
            return;
        case coordination::document_place::any_host:
            fetcher_.take_from({});
            return;
        case coordination::document_place::store:
            if (const auto result =
                    fetcher_.read(std::chrono::milliseconds{})) {
                note_read(result.value().newest_at);
            }
            // Another attempt follows a failure.
            return;
        }
    }

    /// @return false, for the read that failed
    bool note_failure(state::source_failure failure)
    {
        if (!failing_) {
            event(log_level::warning, "store_lost")
                .with("reason", state::name_of(failure))
                .with("rules", fetcher_.version_in_force());
        }
        failing_ = true;
        lost_.notify();
        return false;
    }

    void note_success()
    {
        if (failing_) {
            event(log_level::info, "store_regained");
        }
        failing_ = false;
    }

    gateway_shared& shared_;
    rules_fetcher<Source> fetcher_;
    bool has_read_ = false;
    /// Another host, or a look, told at this time that there is no newer
    /// version.
    state::time_point confirmed_at_{};
    /// Host that told of the highest version.
    std::string teller_;
    /// Where to get it.
    coordination::document_search search_;
    bool failing_ = false;
    /// A look for requests is in progress, and those that wait for its end.
    bool looking_ = false;
    std::vector<std::function<void()>> awaiting_;
    state::time_point looked_at_{};
    fiber_signal noticed_;
    fiber_signal lost_;
    /// A version came into force.
    fiber_signal replaced_;
};

} // namespace oriolegrade::transport

#endif
