// What the gateway needs of a platform's store. The platform's adapter models
// it, and so do hand-written fakes.

#ifndef ORIOLEGRADE_TRANSPORT_GATEWAY_TRAFFIC_SOURCE_HPP
#define ORIOLEGRADE_TRANSPORT_GATEWAY_TRAFFIC_SOURCE_HPP

#include <oriolegrade/state/finding.hpp>
#include <oriolegrade/state/host_member.hpp>
#include <oriolegrade/state/source_type.hpp>
#include <oriolegrade/state/time_type.hpp>
#include <oriolegrade/state/traffic_rules.hpp>

#include <concepts>
#include <optional>
#include <string>

namespace oriolegrade::transport {

/// Calls block the calling fiber.
template <class Source>
concept traffic_source = requires(Source& s, std::uint64_t from,
                                  state::duration wait, const std::string& text,
                                  const state::host_member& host,
                                  const state::directory_read& directory)
{
    {
        s.newest_rules()
        } -> std::same_as<state::source_result<state::rules_read>>;
    /// Waits until the document changes, at most for `wait`.
    {
        s.wait_for_rules(from, wait)
        } -> std::same_as<state::source_result<state::rules_read>>;
    {
        s.decode_rules(text)
        } -> std::same_as<state::result<state::traffic_rules, state::findings>>;
    /// All upstreams of the register.
    {
        s.newest_upstreams()
        } -> std::same_as<state::source_result<state::registry_read>>;
    /// Changes of the register since an offset.
    {
        s.read_upstreams(from)
        } -> std::same_as<state::source_result<state::registry_read>>;
    /// All hosts, from a record of each.
    {
        s.newest_hosts()
        } -> std::same_as<state::source_result<state::directory_read>>;
    /// Changes of these records since an offset.
    {
        s.read_hosts(from)
        } -> std::same_as<state::source_result<state::directory_changes>>;
    /// The record that names all hosts; empty when there is none.
    {
        s.directory_record()
        } -> std::same_as<
            state::source_result<std::optional<state::directory_read>>>;
    {
        s.put_directory_record(directory)
        } -> std::same_as<state::source_result<void>>;
    {
        s.put_host(host)
        } -> std::same_as<state::source_result<void>>;
    {
        s.drop_host(text)
        } -> std::same_as<state::source_result<void>>;
};

} // namespace oriolegrade::transport

#endif
