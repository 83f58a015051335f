// Forwards requests to the entry that holds their incarnation.

#ifndef ORIOLEGRADE_TRANSPORT_FORWARD_CLIENT_HPP
#define ORIOLEGRADE_TRANSPORT_FORWARD_CLIENT_HPP

#include <oriolegrade/protocol/once_messages.hpp>
#include <oriolegrade/state/identifier.hpp>
#include <oriolegrade/state/reply_reason.hpp>
#include <oriolegrade/transport/body_stream.hpp>
#include <oriolegrade/transport/forward_message.hpp>
#include <oriolegrade/transport/message_frame.hpp>
#include <oriolegrade/transport/stream_client_map.hpp>

#include <string>
#include <vector>

namespace oriolegrade::transport {

enum class forward_result : std::uint8_t
{
    /// The whole answer was passed on.
    answered,
    /// No answer has begun; the caller gets a reply.
    failed,
    /// The answer broke off; the caller's connection must be aborted.
    broken,
    /// The entry does not hold the incarnation, or no longer. It has run
    /// nothing, and no answer has begun.
    moved,
};

struct forward_end
{
    forward_result result = forward_result::failed;
    /// What the entry says after `moved`, and where the incarnation went; none
    /// when it does not know.
    state::reply_reason reason = state::reply_reason::incarnation_gone;
    state::identifier successor = {};
};

/// Connections of one worker thread to other entries.
class forward_client
{
public:
    forward_client(boost::asio::io_context& ioc, std::string fleet_key)
        : clients_(ioc, std::move(fleet_key), stream_limits())
    {}

    /// Client of an entry; keep the pointer for the length of a call.
    stream_client_map::client_ptr to(const state::endpoint& peer)
    {
        return clients_.at(peer);
    }

    /// Sends a request and passes its answer on.
    template <body_source Source, answer_sink Sink>
    forward_end forward(const state::endpoint& peer,
                        const protocol::forward_request& request,
                        Source& source, Sink& sink)
    {
        const auto client = to(peer);
        auto opened = client->open(
            forward_path, {}, std::chrono::milliseconds(request.deadline_ms));
        if (!opened) {
            return {};
        }
        auto& stream = opened.value();
        if (!send(stream, request, source)) {
            return {};
        }
        const auto status = stream.status();
        if (!status || status.value() != 200) {
            return {};
        }
        return receive(stream, sink);
    }

private:
    static constexpr std::size_t buffer_bytes = 16 * 1024;
    /// Answer bytes held back before the first is passed on.
    static constexpr std::size_t hold_bytes = 64 * 1024;

    template <body_source Source>
    bool send(client_stream& stream, const protocol::forward_request& request,
              Source& source)
    {
        if (!write_message(stream, protocol::encode(request))) {
            return false;
        }
        std::vector<char> buf(buffer_bytes);
        for (;;) {
            error_code ec;
            const auto n = source.read_some(buf, ec);
            if (ec) {
                return false;
            }
            if (n == 0) {
                stream.finish();
                return true;
            }
            if (!stream.write_all(boost::asio::buffer(buf.data(), n))) {
                return false;
            }
        }
    }

    template <answer_sink Sink>
    forward_end receive(client_stream& stream, Sink& sink)
    {
        const auto block =
            read_message(stream, protocol::once_limits::header_block_bytes);
        if (!block || !block.value()) {
            return {};
        }
        const auto answer = protocol::decode_forward_answer(*block.value());
        if (!answer) {
            return {};
        }
        if (is_moved(answer.value())) {
            return {forward_result::moved, *answer.value().reason,
                    answer.value().successor};
        }
        std::vector<char> buf(buffer_bytes);
        std::string held;
        bool whole = false;
        while (!whole && held.size() < hold_bytes) {
            const auto n = stream.read_some(boost::asio::buffer(buf));
            if (!n) {
                return {};
            }
            whole = n.value() == 0;
            held.append(buf.data(), n.value());
        }
        error_code ec;
        sink.start(head_of(answer.value()), ec);
        pass(sink, held, ec);
        while (!whole && !ec) {
            const auto n = stream.read_some(boost::asio::buffer(buf));
            if (!n) {
                return {forward_result::broken};
            }
            whole = n.value() == 0;
            pass(sink, {buf.data(), n.value()}, ec);
        }
        if (!ec) {
            sink.finish(ec);
        }
        return {ec ? forward_result::broken : forward_result::answered};
    }

    static bool is_moved(const protocol::forward_answer& answer)
    {
        return answer.reason == state::reply_reason::incarnation_gone ||
               answer.reason == state::reply_reason::handed_over;
    }

    template <answer_sink Sink>
    static void pass(Sink& sink, std::string_view bytes, error_code& ec)
    {
        if (!bytes.empty() && !ec) {
            sink.write(bytes, ec);
        }
    }

    stream_client_map clients_;
};

} // namespace oriolegrade::transport

#endif
