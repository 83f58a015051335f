// Choice of the host that is asked to read, and the call.

#include <oriolegrade/transport/gateway/peer_source.hpp>

#include <oriolegrade/protocol/source_messages.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/gateway/dispatch_link.hpp>
#include <oriolegrade/transport/gateway/host_call.hpp>

#include <chrono>

namespace oriolegrade::transport {

namespace {

/// A read takes some 10 ms; a silent host must not use up the time for which a
/// view of the register may be old.
constexpr std::chrono::milliseconds call_limit{250};
/// Hosts asked for one read. The store turns away a third of the hosts at
/// once, so all three fail in one of 27 reads.
constexpr int most_peers = 3;

bool reached_store(const std::optional<state::source_reply>& reply)
{
    if (!reply) {
        return false;
    }
    const auto* failure = std::get_if<state::source_failure>(&*reply);
    return failure == nullptr || *failure == state::source_failure::trimmed;
}

} // namespace

std::optional<state::source_reply>
peer_source::relay(const state::source_request& request)
{
    if (!is_wanted()) {
        return std::nullopt;
    }
    for (int n = 0; n < most_peers; ++n) {
        if (peer_.port == 0) {
            peer_ = some_peer();
        }
        auto reply = ask(peer_, request);
        if (reached_store(reply)) {
            return reply;
        }
        peer_ = {};
    }
    return std::nullopt;
}

std::optional<state::source_reply>
peer_source::ask(const state::endpoint& peer,
                 const state::source_request& request)
{
    const auto body =
        call_host(ioc_, peer, source_path,
                  protocol::encode_source_request(request), call_limit);
    if (!body) {
        return std::nullopt;
    }
    auto told = protocol::decode_source_reply(*body);
    if (!told) {
        event(log_level::error, "source_reply_malformed")
            .with("peer", to_string(peer))
            .with("findings", told.error().to_text("reply"));
        return std::nullopt;
    }
    return std::move(told.value());
}

} // namespace oriolegrade::transport
