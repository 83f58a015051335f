// Recent audit events and their appends.

#include <oriolegrade/transport/agent_audit.hpp>

#include <oriolegrade/protocol/audit_json.hpp>

#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace oriolegrade::transport {

namespace {

using clock = std::chrono::steady_clock;

/// Interval at which waiting events are checked.
constexpr std::chrono::milliseconds check_interval{250};

/// A client that tries secrets must not fill the trail.
constexpr unsigned max_denials = 10;
constexpr std::chrono::minutes denial_interval{1};

std::int64_t unix_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

agent_audit::agent_audit(const std::string& host, std::uint64_t incarnation,
                         agent_log& log)
    : log_(log)
    , buffer_(host, incarnation)
    , denials_from_(clock::now() - denial_interval)
{}

void agent_audit::add(state::audit_event event)
{
    event.unix_ms = unix_milliseconds();
    if (recent_.size() == max_recent) {
        recent_.pop_front();
    }
    recent_.push_back(event);
    ++next_;
    buffer_.add(std::move(event), clock::now());
    added_.notify();
}

void agent_audit::add_denied(const std::string& subject,
                             const std::string& detail)
{
    const auto now = clock::now();
    if (now - denials_from_ >= denial_interval) {
        denials_from_ = now;
        denials_left_ = max_denials;
    }
    if (denials_left_ == 0) {
        ++denials_omitted_;
        return;
    }
    --denials_left_;
    state::audit_event event;
    event.kind = state::audit_kind::access_denied;
    event.subject = subject;
    event.detail = detail;
    if (denials_omitted_ > 0) {
        event.detail += " omitted=" + std::to_string(denials_omitted_);
        denials_omitted_ = 0;
    }
    add(std::move(event));
}

void agent_audit::write_loop()
{
    repeat_for_ever("audit", check_interval, [this] {
        added_.wait([this] { return buffer_.size() > 0; });
        if (const auto* batch = buffer_.due_batch(clock::now())) {
            const auto result =
                log_.append(coordination::audit_stream,
                            protocol::encode_audit_batch(*batch));
            buffer_.complete_append(result, clock::now());
        } else {
            boost::this_fiber::sleep_for(check_interval);
        }
    });
}

std::vector<state::audit_event> agent_audit::recent(std::uint64_t from,
                                                    std::size_t max,
                                                    std::uint64_t& next) const
{
    const auto first = next_ - recent_.size();
    // A number from before a restart of this agent starts over.
    const auto start = from > next_ ? first : std::max(from, first);
    const auto end = std::min<std::uint64_t>(next_, start + max);
    next = end;
    return {recent_.begin() + static_cast<std::ptrdiff_t>(start - first),
            recent_.begin() + static_cast<std::ptrdiff_t>(end - first)};
}

} // namespace oriolegrade::transport
