// Gets the operator's document, from the store or from another host, checks it
// and puts it in force when it is newer. When to do so is up to rules_follower.
//
// Load pattern: a document of several hundred KB changes before hosts with
// links of 10 Mbit/s. A link that carries one document several times carries
// none in time, so a host gets one at a time, and those that wait use what it
// brings.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_RULES_FETCHER_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_RULES_FETCHER_HPP

#include <oriolegrade/protocol/dispatch_messages.hpp>
#include <oriolegrade/protocol/packed_document.hpp>
#include <oriolegrade/state/route_index.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/fiber_signal.hpp>
#include <oriolegrade/transport/gateway/gateway_shared.hpp>
#include <oriolegrade/transport/gateway/traffic_source.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace oriolegrade::transport {

/// Lives on the control thread.
template <traffic_source Source>
class rules_fetcher
{
public:
    /// What a read of the store found.
    struct store_read
    {
        /// The store had no newer document than this one then.
        state::time_point newest_at;
        /// The document came into force.
        bool is_news = false;
        /// The history had a document, whether or not it is valid.
        bool has_change = false;
    };

    rules_fetcher(gateway_shared& shared, Source& source)
        : shared_(shared)
        , source_(source)
    {}

    /// Called after a version came into force.
    std::function<void()> on_rules;
    /// Asks another host for a document newer than the version. The name may
    /// be empty: any host will do.
    std::function<std::optional<protocol::fleet_view>(const std::string& host,
                                                      std::uint64_t version)>
        ask_peer;

    std::uint64_t version_in_force() const
    {
        return shared_.rules.read()->rules().version;
    }

    /// Time at which the store told what is newest; the epoch before that.
    state::time_point read_at() const
    {
        return read_at_;
    }

    /// The document in force as it travels to other hosts.
    protocol::fleet_view document()
    {
        if (packed_.empty()) {
            packed_ =
                protocol::pack_document(shared_.rules.read()->rules().document);
        }
        return {{}, {}, packed_, next_offset_};
    }

    /// The next read gets the whole document, and the reads until now confirm
    /// nothing to other hosts.
    /// @param limit age from which a read confirms nothing
    void forget(state::duration limit)
    {
        next_offset_.reset();
        read_at_ = std::min(read_at_, clock::now() - limit);
    }

    /// Reads what the store has behind the version in force, or its newest
    /// document where that is not known.
    /// @param wait for a change, at most; a document that is read whole is not
    ///     waited for
    state::source_result<store_read> read(std::chrono::milliseconds wait)
    {
        if (next_offset_) {
            const auto result = read_history(*next_offset_, wait);
            if (result || result.error() != state::source_failure::trimmed) {
                return result;
            }
            next_offset_.reset();
        }
        return read_newest();
    }

    /// Asks another host for a newer document, unless one comes into force
    /// during the wait for the own transfer.
    /// @return whether a newer version came into force
    bool take_from(const std::string& host)
    {
        const auto before = version_in_force();
        const transfer own(*this);
        if (version_in_force() > before) {
            return true;
        }
        const auto began = clock::now();
        auto told = ask_peer(host, before);
        log_transfer("peer", began, told ? told->packed_rules.size() : 0);
        if (!told || !take(told->rules_document, "peer")) {
            return false;
        }
        packed_ = std::move(told->packed_rules);
        next_offset_ = told->next_offset;
        return true;
    }

private:
    using clock = std::chrono::steady_clock;

    /// Begins when the transfer in progress has ended, and holds up further
    /// ones. Waits for a change do not count: they bring nothing most of the
    /// time.
    class transfer
    {
    public:
        explicit transfer(rules_fetcher& owner)
            : owner_(owner)
        {
            owner_.transfer_ended_.wait(
                [this] { return !owner_.has_transfer_; });
            owner_.has_transfer_ = true;
        }
        ~transfer()
        {
            owner_.has_transfer_ = false;
            owner_.transfer_ended_.notify();
        }
        transfer(const transfer&) = delete;
        transfer& operator=(const transfer&) = delete;

    private:
        rules_fetcher& owner_;
    };

    state::source_result<store_read>
    read_history(std::uint64_t from, std::chrono::milliseconds wait)
    {
        const auto began = clock::now();
        const auto result = source_.wait_for_rules(from, wait);
        const bool has_document = result && result.value().document;
        // A wait that ends without a change is no transfer.
        if (has_document || wait.count() == 0) {
            log_transfer("store_history", began, document_bytes(result));
        }
        if (!result) {
            return result.error();
        }
        const auto& document = result.value().document;
        // The store saw the end of its log no earlier than this.
        auto found =
            put_in_force(std::min(clock::now(), began + wait), document);
        found.has_change = has_document;
        next_offset_ = result.value().next_offset;
        return found;
    }

    /// A read that ends during the wait for the own one serves both.
    state::source_result<store_read> read_newest()
    {
        const auto reads = newest_reads_;
        const transfer own(*this);
        if (reads != newest_reads_) {
            return newest_;
        }
        const auto began = clock::now();
        const auto result = source_.newest_rules();
        log_transfer("store", began, document_bytes(result));
        if (!result) {
            return result.error();
        }
        newest_ = put_in_force(began, result.value().document);
        next_offset_ = result.value().next_offset;
        ++newest_reads_;
        return newest_;
    }

    /// Hosts are told of a version with the age of the read that brought it,
    /// so the time of the read is kept before the document is taken.
    store_read put_in_force(state::time_point newest_at,
                            const std::optional<std::string>& document)
    {
        read_at_ = std::max(read_at_, newest_at);
        return {newest_at, document && take(*document, "store")};
    }

    /// Validates a document and puts it in force when it is newer.
    /// @return whether it came into force
    bool take(const std::string& document, std::string_view from)
    {
        auto rules = source_.decode_rules(document);
        if (!rules) {
            event(log_level::error, "rules_unreadable")
                .with("from", from)
                .with("findings", rules.error().to_text("rules"));
            return false;
        }
        const auto current = version_in_force();
        if (rules.value().version <= current) {
            return false;
        }
        const auto version = rules.value().version;
        const auto routes = rules.value().routes.size();
        shared_.rules.publish(std::make_shared<const state::route_index>(
            std::make_shared<const state::traffic_rules>(
                std::move(rules.value()))));
        packed_.clear();
        shared_.configured = true;
        event(log_level::info, "rules_in_force")
            .with("version", version)
            .with("replaced", current)
            .with("routes", routes)
            .with("from", from);
        on_rules();
        return true;
    }

    /// Bytes of the document that a read brought; 0 for none.
    static std::size_t
    document_bytes(const state::source_result<state::rules_read>& result)
    {
        return result && result.value().document
                   ? result.value().document->size()
                   : 0;
    }

    /// Writes a line for a read that should have brought a newer document.
    void log_transfer(std::string_view from, state::time_point began,
                      std::size_t bytes) const
    {
        if (!shared_.knows_newer(version_in_force())) {
            return;
        }
        event(log_level::info, "rules_transfer")
            .with("from", from)
            .with("told", shared_.rules_told.load())
            .with("rules", version_in_force())
            .with("bytes", bytes)
            .with("ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            clock::now() - began)
                            .count());
    }

    gateway_shared& shared_;
    Source& source_;
    /// Where the history behind the version in force begins; empty when the
    /// newest must be read.
    std::optional<std::uint64_t> next_offset_;
    /// Document in force as it travels between hosts; empty until one asks.
    std::string packed_;
    state::time_point read_at_{};
    /// A document is read, from the store or another host.
    bool has_transfer_ = false;
    fiber_signal transfer_ended_;
    /// The last read of the newest document that succeeded, and their number.
    store_read newest_{};
    std::uint64_t newest_reads_ = 0;
};

} // namespace oriolegrade::transport

#endif
