// Following and publishing by an agent.

#include <oriolegrade/transport/agent_configuration.hpp>

#include <oriolegrade/protocol/config_messages.hpp>
#include <oriolegrade/protocol/record_json.hpp>
#include <oriolegrade/transport/event_log.hpp>

#include <boost/fiber/operations.hpp>

namespace oriolegrade::transport {

namespace {

using coordination::batch_result;
using coordination::follow_result;
using clock = std::chrono::steady_clock;

/// Time that a read waits at the end of the log. Readers confirm the offset
/// to others after each, so it must stay well below the silence after which
/// these read for themselves.
constexpr std::chrono::milliseconds read_wait{400};
static_assert(2 * read_wait < coordination::reader_timeout);

/// Pause after the log gave no answer, for readers and booting hosts.
constexpr std::chrono::milliseconds retry_pause{200};
/// The same for all others, which are many: a log that recovers should not
/// meet reads of the whole fleet at once.
constexpr std::chrono::seconds follower_retry_pause{1};

/// Interval at which a host that does not read looks for silence.
constexpr std::chrono::milliseconds silence_check{200};

/// Shortest time between two surveys of other hosts.
constexpr std::chrono::seconds survey_interval{1};

void pause_fiber(state::duration time)
{
    boost::this_fiber::sleep_for(time);
}

void log_record_decision(const coordination::evaluated_record& it)
{
    event(log_level::info, "record_judged")
        .with("offset", it.offset)
        .with("kind", state::name_of(it.key.kind))
        .with("name", it.key.name)
        .with("operator", it.operator_name)
        .with("verdict", state::name_of(it.decision.verdict))
        .with("revision", it.decision.revision);
}

} // namespace

agent_configuration::agent_configuration(boost::asio::io_context& ioc,
                                         const state::endpoint& platform)
    : reader_(ioc, platform, read_wait)
    , writer_(ioc, platform, {})
    , snapshots_(writer_, protocol::decode_snapshot)
    , follower_(reader_, snapshots_, protocol::decode_record)
    , schedule_(clock::now())
    , last_survey_(clock::now() - survey_interval)
{}

void agent_configuration::follow()
{
    repeat_for_ever("configuration", retry_pause, [this] {
        while (!is_turn()) {
            turn_.wait_until(clock::now() + silence_check,
                             [this] { return is_turn(); });
        }
        read_once();
    });
}

bool agent_configuration::is_turn() const
{
    return !ready_ || is_behind() ||
           schedule_.should_read(clock::now(), is_reader_);
}

void agent_configuration::read_once()
{
    // A booting host must find the end of the log at once.
    reader_.set_waiting(ready_);
    coordination::configuration_change change;
    const auto result = follower_.read(change);
    note_availability(result != follow_result::unavailable);
    switch (result) {
    case follow_result::advanced:
        take(change, reader_.last_arrival());
        break;
    case follow_result::restored:
        take(change, clock::now());
        break;
    case follow_result::at_end:
        become_ready("log");
        break;
    case follow_result::needs_snapshot:
    case follow_result::unavailable:
        recover(result);
        return;
    }
    trimmed_reads_ = 0;
    const auto batch = reader_.take_last_read();
    if (result != follow_result::restored && is_reader_ && handlers_.pass_on) {
        handlers_.pass_on(batch);
    }
}

void agent_configuration::recover(follow_result result)
{
    constexpr unsigned tries_of_log = 2;
    const bool trimmed = result == follow_result::needs_snapshot;
    if (trimmed) {
        ++trimmed_reads_;
        snapshots_.refresh(clock::now());
    }
    // The log's own snapshot is tried first.
    if (!trimmed || trimmed_reads_ >= tries_of_log) {
        restore_from_peers();
    }
    if (ready_ && !is_reader_) {
        boost::this_fiber::sleep_for(follower_retry_pause);
    } else {
        boost::this_fiber::sleep_for(retry_pause);
    }
}

void agent_configuration::restore_from_peers()
{
    const bool wanted = !ready_ || is_behind() || trimmed_reads_ > 0;
    if (!wanted || !handlers_.find_snapshot ||
        clock::now() < last_survey_ + survey_interval) {
        return;
    }
    const auto snapshot = handlers_.find_snapshot();
    last_survey_ = clock::now();
    if (!snapshot) {
        return;
    }
    coordination::configuration_change change;
    const bool restored = follower_.restore(*snapshot, change);
    if (restored) {
        event(log_level::info, "snapshot_restored")
            .with("next_offset", snapshot->next_offset)
            .with("digest", to_string(snapshot->digest));
        take(change, last_survey_);
    }
    if (restored || snapshot->next_offset == current()->next_offset()) {
        become_ready("peers");
    }
}

void agent_configuration::note_availability(bool available)
{
    if (available != log_available_) {
        event(log_level::info, "log_availability")
            .with("available", available ? "yes" : "no");
    }
    log_available_ = available;
}

batch_result agent_configuration::receive(const state::record_batch& batch)
{
    const auto arrival = clock::now();
    coordination::configuration_change change;
    const auto result = follower_.receive(batch, change);
    if (result == batch_result::gap) {
        set_known_offset(batch.next_offset);
        return result;
    }
    schedule_.on_log_update(arrival);
    if (result == batch_result::advanced) {
        take(change, arrival);
    }
    return result;
}

void agent_configuration::set_reader(bool is_reader)
{
    is_reader_ = is_reader;
    turn_.notify();
}

void agent_configuration::set_known_offset(std::uint64_t next_offset)
{
    if (next_offset > known_offset_) {
        known_offset_ = next_offset;
        turn_.notify();
    }
}

void agent_configuration::take(const coordination::configuration_change& change,
                               state::time_point arrival)
{
    for (const auto& it : change.evaluated) {
        log_record_decision(it);
    }
    for (const auto& it : change.skipped) {
        event(log_level::warning, "record_skipped")
            .with("offset", it.offset)
            .with("code", state::name_of(it.reason.code))
            .with("place", it.reason.place)
            .with("message", it.reason.message);
    }
    tracker_.add(change.evaluated);
    if (handlers_.applied) {
        handlers_.applied(change);
    }
    apply_latency_.add(clock::now() - arrival);
    advanced_.notify();
}

void agent_configuration::become_ready(std::string_view source)
{
    if (!ready_) {
        ready_ = true;
        event(log_level::info, "configuration_ready")
            .with("source", source)
            .with("next_offset", current()->next_offset());
        advanced_.notify();
    }
}

bool agent_configuration::wait_beyond(std::uint64_t next_offset,
                                      state::duration limit)
{
    return advanced_.wait_until(clock::now() + limit, [&] {
        return ready_ && current()->next_offset() > next_offset;
    });
}

coordination::publish_result
agent_configuration::publish(const state::record& rec)
{
    const auto begin = clock::now();
    coordination::publisher publisher(writer_, protocol::decode_record,
                                      pause_fiber);
    auto result = publisher.publish(current(), rec.change_id,
                                    protocol::encode_record(rec));
    publish_latency_.add(clock::now() - begin);
    return result;
}

} // namespace oriolegrade::transport
