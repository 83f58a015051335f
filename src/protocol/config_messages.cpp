// Protobuf form of the messages that carry configuration.

#include <oriolegrade/protocol/config_messages.hpp>

#include "entry_message.hpp"
#include "message_check.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <google/protobuf/arena.h>

#include <cassert>

namespace oriolegrade::protocol {

using state::finding_code;

namespace {

/// The two digest fields with their tags.
constexpr std::size_t digest_bytes = 18;

/// Longest place or message of a skipped record that is passed on.
constexpr std::size_t max_reason_bytes = 1'024;

state::identifier digest_of(std::string_view bytes)
{
    const auto hash = XXH3_128bits(bytes.data(), bytes.size());
    return {hash.high64, hash.low64};
}

/// Appends a message. Encoded messages joined together decode as one message
/// with all their elements, so a large one need not exist as objects at once.
template <class Message>
void append(const Message& message, std::string& bytes)
{
    [[maybe_unused]] const bool done = message.AppendToString(&bytes);
    assert(done);
}

/// Appends `entries` as field `entries` of `Message`.
template <class Message>
void append_entries(const std::vector<state::entry_ptr>& entries,
                    std::string& bytes)
{
    Message part;
    for (const auto& it : entries) {
        part.clear_entries();
        to_wire(*it, *part.add_entries());
        append(part, bytes);
    }
}

state::skipped_record later_version(const wire::config_entry& from,
                                    std::string place)
{
    return {
        from.offset(),
        {finding_code::unknown_schema_version, std::move(place),
         "version " + std::to_string(from.schema_version()) + " is unknown"}};
}

/// Reads entries in ascending order of key. Leaves out those of later schema
/// versions, which a later binary sent.
template <class Message>
std::vector<state::entry_ptr>
read_entries(const Message& message, const message_check& check,
             std::vector<state::skipped_record>& skipped)
{
    std::vector<state::entry_ptr> entries;
    const auto count = static_cast<std::size_t>(message.entries_size());
    if (!check.require(count <= max_entries, "entries", "are too many")) {
        return entries;
    }
    entries.reserve(count);
    for (std::size_t n = 0; n < count; ++n) {
        const auto& it = message.entries(static_cast<int>(n));
        const auto place = check.below("entries").below(n);
        place.require(it.offset() < message.next_offset(), "offset",
                      "is not below next_offset");
        if (is_of_later_version(it)) {
            skipped.push_back(later_version(it, place.place()));
            continue;
        }
        auto fresh = from_wire(it, place);
        place.require(entries.empty() || entries.back()->key < fresh->key,
                      "name", "is not in ascending order of key");
        entries.push_back(std::move(fresh));
    }
    return entries;
}

/// Reads raw records in ascending order of offset, within [first, next).
std::vector<state::log_record>
read_records(const google::protobuf::RepeatedPtrField<wire::raw_record>& from,
             std::uint64_t first, std::uint64_t next, std::size_t max_count,
             const message_check& check)
{
    std::vector<state::log_record> records;
    if (!check.require(static_cast<std::size_t>(from.size()) <= max_count, "",
                       "are too many")) {
        return records;
    }
    for (const auto& it : from) {
        const auto place = check.below(records.size());
        place.require(it.offset() >= first && it.offset() < next, "offset",
                      "is out of range or order");
        first = it.offset() + 1;
        records.push_back({it.offset(), it.data()});
    }
    return records;
}

void write_record(const state::log_record& from, wire::raw_record& to)
{
    to.set_offset(from.offset);
    to.set_data(from.bytes);
}

bool digest_matches(const wire::config_snapshot& message,
                    std::string_view bytes, state::findings& out)
{
    const bool complete = message.has_digest_high() &&
                          message.has_digest_low() &&
                          bytes.size() >= digest_bytes;
    const state::identifier stated{message.digest_high(), message.digest_low()};
    if (!complete ||
        digest_of(bytes.substr(0, bytes.size() - digest_bytes)) != stated) {
        report(out, finding_code::conflict, "/digest",
               "does not match the content");
        return false;
    }
    return true;
}

bool format_is_known(const wire::config_snapshot& message, state::findings& out)
{
    if (message.format_version() >= 1 &&
        message.format_version() <= snapshot_format) {
        return true;
    }
    report(out, finding_code::unknown_schema_version, "/format_version",
           "format " + std::to_string(message.format_version()) +
               " is unknown; this program knows 1 to " +
               std::to_string(snapshot_format));
    return false;
}

state::skipped_record read_skipped(const wire::skipped_log_record& from,
                                   const message_check& check)
{
    state::skipped_record to;
    to.offset = from.offset();
    to.reason.code = check.enumerator<finding_code>(from.code(), "code");
    check.require(from.place().size() <= max_reason_bytes, "place",
                  "is too long");
    check.require(from.message().size() <= max_reason_bytes, "message",
                  "is too long");
    to.reason.place = from.place();
    to.reason.message = from.message();
    return to;
}

void write_skipped(const state::skipped_record& from,
                   wire::skipped_log_record& to)
{
    to.set_offset(from.offset);
    to.set_code(static_cast<std::uint32_t>(index_of(from.reason.code)));
    to.set_place(from.reason.place.substr(0, max_reason_bytes));
    to.set_message(from.reason.message.substr(0, max_reason_bytes));
}

} // namespace

std::string encode_snapshot(state::configuration_snapshot& snapshot)
{
    std::string bytes;
    wire::config_snapshot head;
    head.set_format_version(snapshot_format);
    head.set_next_offset(snapshot.next_offset);
    append(head, bytes);
    append_entries<wire::config_snapshot>(snapshot.entries, bytes);
    for (const auto& it : snapshot.deferred) {
        wire::config_snapshot part;
        write_record(it, *part.add_deferred());
        append(part, bytes);
    }
    snapshot.digest = digest_of(bytes);
    wire::config_snapshot tail;
    tail.set_digest_high(snapshot.digest.high);
    tail.set_digest_low(snapshot.digest.low);
    append(tail, bytes);
    return bytes;
}

state::result<state::configuration_snapshot, state::findings>
decode_snapshot(std::string_view bytes)
{
    state::findings out;
    google::protobuf::Arena arena;
    auto& message =
        *google::protobuf::Arena::CreateMessage<wire::config_snapshot>(&arena);
    if (!parse_message(message, bytes, max_snapshot_bytes, out) ||
        !format_is_known(message, out) ||
        !digest_matches(message, bytes, out)) {
        return out;
    }
    const message_check check("", out);
    state::configuration_snapshot snapshot;
    snapshot.next_offset = message.next_offset();
    snapshot.digest = {message.digest_high(), message.digest_low()};
    snapshot.entries = read_entries(message, check, snapshot.skipped);
    snapshot.deferred =
        read_records(message.deferred(), 0, message.next_offset(),
                     max_deferred_records, check.below("deferred"));
    if (!out.empty()) {
        return out;
    }
    return snapshot;
}

std::string encode_snapshot_offer(const state::snapshot_summary& offer)
{
    wire::snapshot_offer message;
    message.set_next_offset(offer.next_offset);
    message.set_digest_high(offer.digest.high);
    message.set_digest_low(offer.digest.low);
    return message.SerializeAsString();
}

state::result<state::snapshot_summary, state::findings>
decode_snapshot_offer(std::string_view bytes)
{
    constexpr std::size_t max_bytes = 64;
    state::findings out;
    wire::snapshot_offer message;
    if (!parse_message(message, bytes, max_bytes, out)) {
        return out;
    }
    return state::snapshot_summary{
        message.next_offset(), {message.digest_high(), message.digest_low()}};
}

std::string encode_feed_request(const state::feed_request& request)
{
    wire::feed_request message;
    message.set_next_offset(request.next_offset);
    return message.SerializeAsString();
}

state::result<state::feed_request, state::findings>
decode_feed_request(std::string_view bytes)
{
    constexpr std::size_t max_bytes = 64;
    state::findings out;
    wire::feed_request message;
    if (!parse_message(message, bytes, max_bytes, out)) {
        return out;
    }
    return state::feed_request{message.next_offset()};
}

std::string encode_feed_update(const state::feed_update& update)
{
    std::string bytes;
    wire::feed_update head;
    head.set_kind(static_cast<std::uint32_t>(index_of(update.kind)));
    head.set_base_offset(update.base_offset);
    head.set_next_offset(update.next_offset);
    for (const auto& it : update.skipped) {
        write_skipped(it, *head.add_skipped());
    }
    append(head, bytes);
    append_entries<wire::feed_update>(update.entries, bytes);
    return bytes;
}

state::result<state::feed_update, state::findings>
decode_feed_update(std::string_view bytes)
{
    state::findings out;
    google::protobuf::Arena arena;
    auto& message =
        *google::protobuf::Arena::CreateMessage<wire::feed_update>(&arena);
    if (!parse_message(message, bytes, max_snapshot_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    state::feed_update update;
    update.kind = check.enumerator<state::feed_kind>(message.kind(), "kind");
    update.base_offset = message.base_offset();
    update.next_offset = message.next_offset();
    check.require(update.base_offset <= update.next_offset, "base_offset",
                  "is above next_offset");
    const auto skipped = static_cast<std::size_t>(message.skipped_size());
    if (check.require(skipped <= max_skipped_records, "skipped",
                      "are too many")) {
        for (const auto& it : message.skipped()) {
            update.skipped.push_back(read_skipped(
                it, check.below("skipped").below(update.skipped.size())));
        }
    }
    update.entries = read_entries(message, check, update.skipped);
    if (!out.empty()) {
        return out;
    }
    return update;
}

std::string encode_record_batch(const state::record_batch& batch)
{
    wire::record_batch message;
    message.set_first_offset(batch.first_offset);
    message.set_next_offset(batch.next_offset);
    for (const auto& it : batch.records) {
        write_record(it, *message.add_records());
    }
    return message.SerializeAsString();
}

state::result<state::record_batch, state::findings>
decode_record_batch(std::string_view bytes)
{
    state::findings out;
    wire::record_batch message;
    if (!parse_message(message, bytes, max_batch_bytes, out)) {
        return out;
    }
    const message_check check("", out);
    check.require(message.first_offset() <= message.next_offset(),
                  "first_offset", "is above next_offset");
    state::record_batch batch{
        message.first_offset(), message.next_offset(), {}};
    batch.records =
        read_records(message.records(), batch.first_offset, batch.next_offset,
                     max_batch_records, check.below("records"));
    if (!out.empty()) {
        return out;
    }
    return batch;
}

} // namespace oriolegrade::protocol
