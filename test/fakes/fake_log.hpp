// In-memory log with fault injection. Several clients share one store; each
// has its own faults.

#ifndef ORIOLEGRADE_TEST_FAKES_FAKE_LOG_HPP
#define ORIOLEGRADE_TEST_FAKES_FAKE_LOG_HPP

#include <oriolegrade/state/log_type.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oriolegrade::fakes {

/// Content of the log.
struct fake_log_store
{
    struct stream
    {
        std::vector<std::string> records;
        /// Offset of the oldest record that is kept.
        std::uint64_t first = 0;
    };
    std::map<std::string, stream, std::less<>> streams;

    std::uint64_t append(std::string_view name, std::string_view bytes)
    {
        auto& s = streams[std::string(name)];
        s.records.emplace_back(bytes);
        return s.records.size() - 1;
    }
    void trim(std::string_view name, std::uint64_t first)
    {
        streams[std::string(name)].first = first;
    }
};

enum class append_fault
{
    none,
    /// The append is rejected; the record is not in the log.
    unavailable,
    /// The record is in the log, but the reply is lost.
    answer_lost,
    /// The record is not in the log, and the reply is lost.
    record_lost,
};

class fake_log
{
public:
    explicit fake_log(fake_log_store& store)
        : store_(store)
    {}

    /// Faults of the next appends, in order; later appends succeed.
    std::vector<append_fault> append_faults;
    bool reads_unavailable = false;
    /// Number of next reads that fail.
    unsigned failing_reads = 0;

    state::append_result append(std::string_view stream, std::string_view bytes)
    {
        const auto fault = next_fault();
        if (fault == append_fault::unavailable) {
            return state::not_appended{};
        }
        if (fault == append_fault::record_lost) {
            return state::append_unknown{};
        }
        const auto offset = store_.append(stream, bytes);
        if (fault == append_fault::answer_lost) {
            return state::append_unknown{};
        }
        return state::appended{offset};
    }

    state::read_result read(std::string_view stream, std::uint64_t from,
                            std::size_t max)
    {
        if (reads_unavailable || failing_reads > 0) {
            failing_reads -= failing_reads > 0 ? 1 : 0;
            return state::log_unavailable{};
        }
        const auto& s = store_.streams[std::string(stream)];
        if (from < s.first) {
            return state::log_trimmed{s.first};
        }
        state::log_records out;
        out.next_offset = from;
        while (out.next_offset < s.records.size() && out.records.size() < max) {
            const auto n = out.next_offset++;
            out.records.push_back({n, s.records[n]});
        }
        return out;
    }

private:
    append_fault next_fault()
    {
        if (append_faults.empty()) {
            return append_fault::none;
        }
        const auto fault = append_faults.front();
        append_faults.erase(append_faults.begin());
        return fault;
    }

    fake_log_store& store_;
};

} // namespace oriolegrade::fakes

#endif
