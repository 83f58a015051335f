// Checks of the limits.

#include <oriolegrade/transport/admission.hpp>

#include <random>

namespace oriolegrade::transport {

namespace {

/// Twice the 34,000 workspaces of the target, rounded down: only workspaces
/// with recent requests take a place.
constexpr std::size_t workspace_slots = 65536;

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

admission::admission(const coordination::caller_limits_options& callers)
    : callers_(callers, random_seed())
    , workspaces_(workspace_slots, random_seed())
{}

admission::place admission::enter(const state::configuration& conf,
                                  const protocol::request_head& head,
                                  std::string_view caller,
                                  state::time_point now)
{
    place out;
    if (!callers_.count(caller, now)) {
        return out;
    }
    const auto name = head.fields.find(protocol::header_field::workspace);
    const auto entry = name ? conf.find_workspace(*name) : nullptr;
    if (entry) {
        auto permit = workspaces_.try_begin(
            *name, std::get<state::workspace_spec>(entry->body), now);
        if (!permit) {
            return out;
        }
        out.workspace_.emplace(std::move(permit.value()));
    }
    out.admitted_ = true;
    return out;
}

} // namespace oriolegrade::transport
