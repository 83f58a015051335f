// Following and publishing by an agent.

#include <oriolegrade/transport/agent_configuration.hpp>

#include <oriolegrade/protocol/config_messages.hpp>
#include <oriolegrade/protocol/record_json.hpp>
#include <oriolegrade/transport/event_log.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::transport {

namespace {

/// Time that a read waits at the end of the log.
constexpr std::chrono::seconds read_wait{5};
/// Pause after the log gave no answer.
constexpr std::chrono::milliseconds retry_pause{200};

void pause_fiber(state::duration time)
{
    boost::this_fiber::sleep_for(time);
}

void log_judgement(const coordination::judged_record& it)
{
    event(log_level::info, "record_judged")
        .with("offset", it.offset)
        .with("kind", state::name_of(it.key.kind))
        .with("name", it.key.name)
        .with("operator", it.operator_name)
        .with("verdict", state::name_of(it.judgement.verdict))
        .with("revision", it.judgement.revision);
}

} // namespace

agent_configuration::agent_configuration(boost::asio::io_context& ioc,
                                         const state::endpoint& platform)
    : reader_(ioc, platform, read_wait)
    , writer_(ioc, platform, {})
    , snapshots_(writer_, protocol::decode_snapshot)
    , follower_(reader_, snapshots_, protocol::decode_record)
{}

void agent_configuration::follow()
{
    for (;;) {
        coordination::configuration_change change;
        const auto result = follower_.read(change);
        const bool available =
            result != coordination::follow_result::unavailable;
        if (available != log_available_) {
            event(log_level::info, "log_availability")
                .with("available", available ? "yes" : "no");
        }
        log_available_ = available;
        if (result == coordination::follow_result::needs_snapshot) {
            snapshots_.refresh(std::chrono::steady_clock::now());
        }
        if (!available ||
            result == coordination::follow_result::needs_snapshot) {
            boost::this_fiber::sleep_for(retry_pause);
            continue;
        }
        take(change);
    }
}

void agent_configuration::take(const coordination::configuration_change& change)
{
    for (const auto& it : change.judged) {
        log_judgement(it);
    }
    for (const auto& it : change.skipped) {
        event(log_level::warning, "record_skipped")
            .with("offset", it.offset)
            .with("code", state::name_of(it.why.code))
            .with("place", it.why.place)
            .with("message", it.why.message);
    }
    tracker_.add(change.judged);
    ready_ = true;
    advanced_.notify_all();
}

bool agent_configuration::wait_beyond(std::uint64_t next_offset,
                                      state::duration limit)
{
    std::unique_lock lock(mutex_);
    return advanced_.wait_for(lock, limit, [&] {
        return ready_ && current()->next_offset() > next_offset;
    });
}

coordination::publish_result
agent_configuration::publish(const state::record& rec)
{
    coordination::publisher publisher(writer_, protocol::decode_record,
                                      pause_fiber);
    return publisher.publish(current(), rec.change_id,
                             protocol::encode_record(rec));
}

} // namespace oriolegrade::transport
