// Replies of the system's own, to any sink of answers.

#ifndef ORIOLEGRADE_TRANSPORT_REPLY_HPP
#define ORIOLEGRADE_TRANSPORT_REPLY_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/transport/body_stream.hpp>

#include <string>

namespace oriolegrade::transport {

/// JSON body of a reply.
std::string reply_body(state::reply_reason reason, state::run_outcome outcome);

/// A sink that passes on why the system answers itself.
template <class Sink>
concept reason_recorder = requires(Sink& sink, state::reply_reason reason)
{
    sink.note_reason(reason);
};

/// Sends a reply whose outcome may differ from the reason's usual one.
/// @param fields further header fields, for example an offered token
template <answer_sink Sink>
void send_reply(Sink& sink, state::reply_reason reason,
                state::run_outcome outcome, protocol::http_fields fields = {})
{
    if constexpr (reason_recorder<Sink>) {
        sink.note_reason(reason);
    }
    const auto body = reply_body(reason, outcome);
    protocol::answer_head head;
    head.status = state::reply_of(reason).status;
    head.fields = std::move(fields);
    head.fields.set(protocol::header_field::outcome, state::name_of(outcome));
    head.fields.add("Content-Type", "application/json");
    head.framing.length = body.size();
    error_code ec;
    sink.start(head, ec);
    if (!ec) {
        sink.write(body, ec);
    }
    if (!ec) {
        sink.finish(ec);
    }
}

/// Sends a reply with the usual outcome of its reason.
template <answer_sink Sink>
void send_reply(Sink& sink, state::reply_reason reason)
{
    send_reply(sink, reason, state::reply_of(reason).outcome);
}

} // namespace oriolegrade::transport

#endif
