// Limits of workspaces and callers that a request meets before any work is
// done for it. Shared by the worker threads.

#ifndef ORIOLEGRADE_TRANSPORT_ADMISSION_HPP
#define ORIOLEGRADE_TRANSPORT_ADMISSION_HPP

#include <oriolegrade/coordination/caller_limits.hpp>
#include <oriolegrade/coordination/workspace_limits.hpp>
#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/configuration.hpp>

#include <optional>
#include <string_view>

namespace oriolegrade::transport {

class admission
{
public:
    explicit admission(const coordination::caller_limits_options& callers);

    /// Place of an admitted request, given back when it is destroyed.
    class place
    {
    public:
        explicit operator bool() const
        {
            return admitted_;
        }

    private:
        friend class admission;
        bool admitted_ = false;
        /// Empty for a request without a limited workspace.
        std::optional<coordination::workspace_limits::permit> workspace_;
    };

    /// Counts the request. A workspace that is absent or unknown has no
    /// limit of its own.
    place enter(const state::configuration& conf,
                const protocol::request_head& head, std::string_view caller,
                state::time_point now);

private:
    coordination::caller_limits callers_;
    coordination::workspace_limits workspaces_;
};

} // namespace oriolegrade::transport

#endif
