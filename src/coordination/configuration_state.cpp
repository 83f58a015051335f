// Application of log records and snapshots to a host's configuration.

#include <oriolegrade/coordination/configuration_state.hpp>

#include <algorithm>
#include <cassert>

namespace oriolegrade::coordination {

namespace {

/// The finding that status reports show for a skipped record.
state::finding first_finding(const state::findings& errors)
{
    assert(!errors.empty());
    return errors.items().front();
}

bool is_unknown_version(const state::findings& errors)
{
    return first_finding(errors).code ==
           state::finding_code::unknown_schema_version;
}

/// Entries of a snapshot. Shares the objects of entries that the host already
/// has and adds the others to `changed`.
std::vector<state::entry_ptr>
shared_entries(const std::vector<state::entry_ptr>& fresh,
               const state::configuration& old,
               std::vector<state::entry_ptr>& changed)
{
    std::vector<state::entry_ptr> entries;
    entries.reserve(fresh.size());
    for (const auto& it : fresh) {
        const auto known = old.find(it->key);
        if (known && known->offset == it->offset) {
            entries.push_back(known);
        } else {
            entries.push_back(it);
            changed.push_back(it);
        }
    }
    return entries;
}

} // namespace

configuration_state::configuration_state(record_decoder decode)
    : configuration_state(std::move(decode),
                          std::make_shared<state::configuration>())
{}

configuration_state::configuration_state(record_decoder decode,
                                         state::configuration_ptr start)
    : decode_(std::move(decode))
    , current_(std::move(start))
{
    assert(decode_ && current_);
}

batch_result configuration_state::apply(const state::record_batch& batch,
                                        configuration_change& change)
{
    change = {current_, {}, {}, {}};
    if (batch.first_offset > next_offset()) {
        return batch_result::gap;
    }
    if (batch.next_offset <= next_offset()) {
        return batch_result::nothing_new;
    }
    auto conf = std::make_shared<state::configuration>(*current_);
    for (const auto& it : batch.records) {
        if (it.offset >= conf->next_offset() && it.offset < batch.next_offset) {
            apply_record(it, *conf, change);
        }
    }
    conf->advance_to(batch.next_offset);
    current_ = std::move(conf);
    change.content = current_;
    return batch_result::advanced;
}

void configuration_state::apply_record(const state::log_record& it,
                                       state::configuration& conf,
                                       configuration_change& change)
{
    auto rec = decode_(it.bytes);
    if (!rec) {
        skip(it, rec.error(), change);
        conf.advance_to(it.offset + 1);
        return;
    }
    evaluated_record evaluated{it.offset,
                               rec.value().key,
                               rec.value().change_id,
                               rec.value().operator_name,
                               {}};
    evaluated.decision =
        coordination::apply(conf, it.offset, std::move(rec).value());
    if (evaluated.decision.verdict == acceptance_outcome::accepted) {
        change.changed.push_back(conf.find(evaluated.key));
    }
    change.evaluated.push_back(std::move(evaluated));
}

void configuration_state::skip(const state::log_record& it,
                               const state::findings& errors,
                               configuration_change& change)
{
    if (is_unknown_version(errors)) {
        defer(it);
    }
    add_skipped({it.offset, first_finding(errors)}, change);
}

void configuration_state::add_skipped(state::skipped_record it,
                                      configuration_change& change)
{
    change.skipped.push_back(it);
    if (skipped_.size() == max_kept_skipped) {
        skipped_.erase(skipped_.begin());
    }
    skipped_.push_back(std::move(it));
}

void configuration_state::defer(const state::log_record& it)
{
    if (deferred_.size() == max_kept_deferred ||
        deferred_bytes_ + it.bytes.size() > max_kept_deferred_bytes) {
        complete_ = false;
        return;
    }
    deferred_bytes_ += it.bytes.size();
    deferred_.push_back(it);
}

bool configuration_state::restore(const state::configuration_snapshot& snapshot,
                                  configuration_change& change)
{
    change = {current_, {}, {}, {}};
    if (snapshot.next_offset <= next_offset()) {
        return false;
    }
    auto conf =
        std::make_shared<state::configuration>(state::configuration::build(
            shared_entries(snapshot.entries, *current_, change.changed)));
    skipped_.clear();
    deferred_.clear();
    deferred_bytes_ = 0;
    complete_ = snapshot.skipped.empty();
    for (const auto& it : snapshot.skipped) {
        add_skipped(it, change);
    }
    for (const auto& it : snapshot.deferred) {
        apply_record(it, *conf, change);
    }
    conf->advance_to(snapshot.next_offset);
    current_ = std::move(conf);
    change.content = current_;
    return true;
}

std::optional<state::configuration_snapshot>
configuration_state::snapshot() const
{
    if (!complete_) {
        return std::nullopt;
    }
    state::configuration_snapshot out;
    out.next_offset = next_offset();
    out.entries.reserve(current_->size());
    current_->for_each(
        [&](const state::entry_ptr& it) { out.entries.push_back(it); });
    std::sort(out.entries.begin(), out.entries.end(),
              [](const state::entry_ptr& a, const state::entry_ptr& b) {
                  return a->key < b->key;
              });
    out.deferred = deferred_;
    return out;
}

} // namespace oriolegrade::coordination
