// Calls to the log, with a copy of what was read.

#include <oriolegrade/transport/agent_log.hpp>

#include <oriolegrade/coordination/configuration_follower.hpp>

namespace oriolegrade::transport {

agent_log::agent_log(boost::asio::io_context& ioc,
                     const state::endpoint& platform, state::duration wait)
    : prompt_(ioc, platform, {})
    , patient_(ioc, platform, wait)
{}

state::append_result agent_log::append(std::string_view stream,
                                       std::string_view bytes)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto result = prompt_.append(stream, bytes);
    append_latency_.add(std::chrono::steady_clock::now() - begin);
    return result;
}

state::read_result agent_log::read(std::string_view stream, std::uint64_t from,
                                   std::size_t max)
{
    auto& client = waiting_ ? patient_ : prompt_;
    auto result = client.read(stream, from, max);
    const auto* read = std::get_if<state::log_records>(&result);
    if (read && stream == coordination::configuration_stream) {
        last_read_ = {from, read->next_offset, read->records};
        last_arrival_ = std::chrono::steady_clock::now();
    }
    return result;
}

} // namespace oriolegrade::transport
