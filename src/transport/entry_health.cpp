// Health of upstreams at an entry.

#include <oriolegrade/transport/entry_health.hpp>

#include <oriolegrade/protocol/health_messages.hpp>
#include <oriolegrade/transport/agent_health.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/message_frame.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

constexpr std::chrono::milliseconds reconnect_pause{100};
constexpr std::chrono::seconds answer_limit{5};
constexpr std::size_t max_queued_batches = 1024;
/// Older evidence would be judged against requests of another time.
constexpr std::chrono::seconds evidence_lifetime{2};

state::time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

entry_health::entry_health(
    boost::asio::io_context& ioc, const state::endpoint& agent,
    const std::string& fleet_key,
    std::function<void(const state::verdict_set&)> set_verdicts,
    state::duration lifetime)
    : client_(ioc, agent, fleet_key, stream_limits())
    , set_verdicts_(std::move(set_verdicts))
    , lifetime_(lifetime)
{}

void entry_health::start()
{
    fibers_.spawn([this] { evidence_loop(); });
    fibers_.spawn([this] { verdict_loop(); });
    fibers_.spawn([this] { expire_loop(); });
}

void entry_health::stop()
{
    stopping_ = true;
    queued_.notify();
    expiry_.notify();
    client_.stop();
    fibers_.join();
}

void entry_health::send(state::evidence_batch batch)
{
    batch.host = client_.peer();
    if (queue_.size() >= max_queued_batches) {
        queue_.pop_front();
        ++dropped_;
    }
    queue_.push_back({protocol::encode(batch), now()});
    queued_.notify();
}

void entry_health::send_drain(const coordination::service_key& service,
                              const state::endpoint& upstream)
{
    state::verdict_set notice;
    notice.collector = client_.peer();
    notice.service = service.name;
    notice.schema_version = service.schema_version;
    notice.verdicts.push_back({upstream, state::upstream_state::leaving, 0});
    fibers_.spawn([this, bytes = protocol::encode(notice)] {
        (void)client_.call(drain_path, {}, bytes, answer_limit);
    });
}

void entry_health::pause()
{
    (void)queued_.wait_until(now() + reconnect_pause,
                             [this] { return stopping_; });
}

void entry_health::evidence_loop()
{
    while (!stopping_) {
        queued_.wait([this] { return stopping_ || !queue_.empty(); });
        if (!stopping_) {
            run_step("evidence_stream", [this] { write_evidence(); });
            pause();
        }
    }
}

void entry_health::write_evidence()
{
    auto opened = client_.open(evidence_path, {}, answer_limit);
    if (!opened) {
        return;
    }
    auto& stream = opened.value();
    const auto status = stream.status();
    if (!status || status.value() != 200) {
        return;
    }
    stream.set_deadline(session_stream::time_point::max());
    while (!stopping_) {
        while (!queue_.empty()) {
            const auto it = std::move(queue_.front());
            queue_.pop_front();
            if (now() - it.since > evidence_lifetime) {
                ++dropped_;
            } else if (!write_message(stream, it.bytes)) {
                ++dropped_;
                return;
            }
        }
        queued_.wait([this] { return stopping_ || !queue_.empty(); });
    }
}

void entry_health::verdict_loop()
{
    while (!stopping_) {
        run_step("verdict_stream", [this] { read_verdicts(); });
        start_expiry();
        pause();
    }
}

void entry_health::read_verdicts()
{
    auto opened = client_.open(verdicts_path, {}, answer_limit);
    if (!opened) {
        return;
    }
    auto& stream = opened.value();
    stream.finish();
    const auto status = stream.status();
    if (!status || status.value() != 200) {
        return;
    }
    stream.set_deadline(session_stream::time_point::max());
    for (;;) {
        const auto bytes =
            read_message(stream, protocol::max_health_message_bytes);
        if (!bytes || !bytes.value() || !take(*bytes.value())) {
            return;
        }
    }
}

bool entry_health::take(std::string_view bytes)
{
    auto set = protocol::decode_verdict_set(bytes);
    if (!set) {
        event(log_level::error, "verdict_set_malformed")
            .with("findings", set.error().to_text("verdicts"));
        return false;
    }
    const coordination::service_key key{set.value().service,
                                        set.value().schema_version};
    const auto known = known_.find(key);
    const bool changed = known == known_.end() ? !set.value().verdicts.empty()
                                               : known->second.set.verdicts !=
                                                     set.value().verdicts;
    if (changed) {
        set_verdicts_(set.value());
    }
    // Only sets with verdicts need to be remembered: the others change
    // nothing when they expire.
    if (set.value().verdicts.empty()) {
        known_.erase(key);
    } else {
        known_[key] = {std::move(set.value()), state::time_point::max()};
    }
    return true;
}

void entry_health::start_expiry()
{
    const auto expires = now() + lifetime_;
    for (auto& [key, it] : known_) {
        it.expires = std::min(it.expires, expires);
    }
    expiry_changed_ = true;
    expiry_.notify();
}

state::time_point entry_health::next_expiry() const
{
    auto next = state::time_point::max();
    for (const auto& [key, it] : known_) {
        next = std::min(next, it.expires);
    }
    return next;
}

void entry_health::expire_loop()
{
    const auto goes_on = [this] {
        return !stopping_;
    };
    repeat_while(goes_on, "verdict_expiry", reconnect_pause, [this] {
        (void)expiry_.wait_until(
            next_expiry(), [this] { return stopping_ || expiry_changed_; });
        expiry_changed_ = false;
        for (auto it = known_.begin(); it != known_.end() && !stopping_;) {
            if (it->second.expires > now()) {
                ++it;
                continue;
            }
            auto set = std::move(it->second.set);
            it = known_.erase(it);
            set.verdicts.clear();
            event(log_level::warning, "verdicts_expired")
                .with("service", set.service);
            set_verdicts_(set);
        }
    });
}

} // namespace oriolegrade::transport
