// In-memory log with faults that a test injects per append.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_CLAIM_LOG_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_CLAIM_LOG_HPP

#include <oriolegrade/state/log_type.hpp>
#include <oriolegrade/state/once_type.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::fakes {

enum class claim_append_fault
{
    none,
    refuse,
    /// The record is appended, but the acknowledgement is lost.
    lose_answer,
    /// The record is not appended until write_delayed().
    delay,
    /// The record is never appended, and no acknowledgement arrives.
    lose_request,
};

/// Log with a single stream.
class fake_claim_log
{
public:
    std::function<claim_append_fault()> next_fault = [] {
        return claim_append_fault::none;
    };
    bool readable = true;

    state::append_result append(std::string_view, std::string_view bytes)
    {
        switch (next_fault()) {
        case claim_append_fault::refuse:
            return state::not_appended{};
        case claim_append_fault::delay:
            delayed_.emplace_back(bytes);
            return state::append_unknown{};
        case claim_append_fault::lose_request:
            return state::append_unknown{};
        case claim_append_fault::lose_answer:
            store_record(std::string(bytes));
            return state::append_unknown{};
        case claim_append_fault::none:
            break;
        }
        return state::appended{store_record(std::string(bytes))};
    }

    state::read_result read(std::string_view, std::uint64_t from,
                            std::size_t max)
    {
        if (!readable) {
            return state::log_unavailable{};
        }
        if (from < first_) {
            return state::log_trimmed{first_};
        }
        state::log_records out;
        for (auto at = from;
             at < first_ + records_.size() && out.records.size() < max; ++at) {
            out.records.push_back({at, records_[at - first_]});
        }
        out.next_offset = from + out.records.size();
        return out;
    }

    void write_delayed()
    {
        for (auto& it : std::exchange(delayed_, {})) {
            store_record(std::move(it));
        }
    }

    void trim_to(std::uint64_t first)
    {
        while (first_ < first && !records_.empty()) {
            records_.pop_front();
            ++first_;
        }
    }

    std::uint64_t end() const
    {
        return first_ + records_.size();
    }

private:
    std::uint64_t store_record(std::string bytes)
    {
        records_.push_back(std::move(bytes));
        return end() - 1;
    }

    std::uint64_t first_ = 0;
    std::deque<std::string> records_;
    std::vector<std::string> delayed_;
};

/// Codec that stores batches and encodes their indexes, so that tests of the
/// coordination layer do not need protobuf.
class batch_index_codec
{
public:
    explicit batch_index_codec(std::vector<state::claim_batch>& store)
        : store_(&store)
    {}

    std::string encode(const state::claim_batch& batch) const
    {
        store_->push_back(batch);
        return std::to_string(store_->size() - 1);
    }

    std::optional<state::claim_batch> decode(std::string_view bytes) const
    {
        return store_->at(std::stoul(std::string(bytes)));
    }

private:
    std::vector<state::claim_batch>* store_;
};

} // namespace oriolegrade::fakes

#endif
