// Handlers of the host-to-host streams.

#include <oriolegrade/transport/forward_server.hpp>

#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/forward_message.hpp>
#include <oriolegrade/transport/message_frame.hpp>
#include <oriolegrade/transport/once_path.hpp>

#include <boost/system/system_error.hpp>

#include <optional>
#include <utility>

namespace oriolegrade::transport {

namespace {

using protocol::once_limits;
using state::reply_reason;

/// Longest time that a batch of claims is worked on.
constexpr std::chrono::seconds claim_limit{5};

error_code to_error(const stream_error& failure)
{
    return failure.failure == stream_failure::timed_out
               ? make_error_code(boost::beast::error::timeout)
               : make_error_code(boost::asio::error::connection_reset);
}

/// Body of a forwarded request.
class forwarded_body
{
public:
    explicit forwarded_body(server_stream& stream)
        : stream_(stream)
    {}

    std::size_t read_some(std::span<char> buf, error_code& ec)
    {
        const auto n =
            stream_.read_some(boost::asio::buffer(buf.data(), buf.size()));
        if (!n) {
            ec = to_error(n.error());
            return 0;
        }
        return n.value();
    }

private:
    server_stream& stream_;
};

/// Answer to a forwarded request.
class forwarded_answer
{
public:
    explicit forwarded_answer(server_stream& stream)
        : stream_(stream)
    {}

    void start(const protocol::answer_head& head, error_code& ec)
    {
        started_ = true;
        check(stream_.respond(200), ec);
        if (!ec) {
            check(write_message(stream_, protocol::encode(message_of(head))),
                  ec);
        }
    }

    void note_reason(reply_reason reason)
    {
        reason_ = reason;
    }
    /// Incarnation that the request belongs to.
    void set_incarnation(coordination::held_incarnation_ptr held)
    {
        held_ = std::move(held);
    }

    void write(std::string_view bytes, error_code& ec)
    {
        check(stream_.write_all(boost::asio::buffer(bytes)), ec);
    }

    void finish(error_code&)
    {
        stream_.finish();
    }

    bool started() const
    {
        return started_;
    }

private:
    static void check(const stream_result<void>& result, error_code& ec)
    {
        if (!result) {
            ec = to_error(result.error());
        }
    }

    protocol::forward_answer message_of(const protocol::answer_head& head) const
    {
        auto out = to_forward(head);
        out.reason = reason_;
        if (reason_ == reply_reason::handed_over && held_) {
            out.successor = held_->used.successor();
        }
        return out;
    }

    server_stream& stream_;
    /// Set when the answer is the system's own.
    std::optional<reply_reason> reason_;
    coordination::held_incarnation_ptr held_;
    bool started_ = false;
};

} // namespace

forward_server::forward_server(boost::asio::io_context& ioc,
                               entry_shared& shared, once_shared& once,
                               upstream_runner& runner,
                               const state::endpoint& address)
    : shared_(shared)
    , once_(once)
    , runner_(runner)
{
    auto acceptor = listen_on(ioc, to_tcp(address));
    if (!acceptor) {
        throw boost::system::system_error(acceptor.error(), "forward_listen");
    }
    address_ = from_tcp(acceptor.value().local_endpoint());
    server_ = std::make_unique<stream_server>(
        std::move(acceptor.value()), once_.fleet_key, stream_limits(),
        [this](server_stream& stream) { serve(stream); });
    server_->start();
}

void forward_server::serve(server_stream& stream)
{
    if (stream.path() == forward_path) {
        serve_forward(stream);
    } else if (stream.path() == claims_path) {
        serve_claims(stream);
    } else if (stream.path() == handover_path) {
        serve_handover(stream);
    } else {
        (void)stream.reply(404, "");
    }
}

void forward_server::serve_forward(server_stream& stream)
{
    const auto block = read_message(stream, once_limits::header_block_bytes);
    if (!block || !block.value()) {
        return;
    }
    const auto request = protocol::decode_forward_request(*block.value());
    if (!request) {
        (void)stream.reply(400, request.error().message);
        return;
    }
    const count_guard guard(shared_.requests_in_flight);
    forwarded_body source(stream);
    forwarded_answer sink(stream);
    const auto fault =
        caught([&] { run_forwarded(request.value(), source, sink); });
    if (fault) {
        const auto head = head_of(request.value());
        end_with_fault(sink, protocol::own_dialect::request_id(head), fault);
    }
}

template <body_source Source, answer_sink Sink>
void forward_server::run_forwarded(const protocol::forward_request& it,
                                   Source& source, Sink& sink)
{
    const auto conf = shared_.configuration.read();
    request_context context;
    context.head = head_of(it);
    context.caller = it.caller;
    context.deadline = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(it.deadline_ms);
    context.route = conf->find_route(it.method, protocol::path_of(it.target));
    if (!context.route || context.route->key.name != it.route) {
        return send_reply(sink, reply_reason::no_route,
                          state::run_outcome::unknown);
    }
    context.service =
        conf->find_service(context.route_spec().service, it.schema_version);
    const auto incarnation =
        it.token ? it.token->incarnation : it.claim->incarnation;
    const auto held = once_.incarnations.find(incarnation);
    sink.set_incarnation(held);
    if (!held || !context.service) {
        const auto reason =
            held ? reply_reason::no_service : reply_reason::incarnation_gone;
        return send_reply(sink, reason, state::run_outcome::unknown);
    }
    if (it.token) {
        run_with_token(runner_, *held, context, *it.token, it.fingerprint,
                       source, sink);
    } else {
        run_once(runner_, *held, context,
                 {{state::request_id_kind::claim, it.claim->nonce},
                  it.fingerprint,
                  0},
                 source, sink);
    }
}

void forward_server::serve_claims(server_stream& stream)
{
    const auto bytes = stream.read_all(once_limits::claim_message_bytes);
    if (!bytes) {
        return;
    }
    const auto request = protocol::decode_claim_request(bytes.value());
    if (!request) {
        (void)stream.reply(400, request.error().message);
        return;
    }
    using answer_slot = fiber_result<coordination::claim_answer>;
    std::vector<std::shared_ptr<answer_slot>> slots;
    for (const auto& it : request.value().claims) {
        auto slot = std::make_shared<answer_slot>();
        slots.push_back(slot);
        once_.write_claim(it, [slot](const coordination::claim_answer& answer) {
            slot->set(answer);
        });
    }
    const auto deadline = std::chrono::steady_clock::now() + claim_limit;
    protocol::claim_reply reply;
    for (const auto& it : slots) {
        reply.answers.push_back(
            it->wait_until(deadline).value_or(coordination::claim_answer{}));
    }
    (void)stream.reply(200, protocol::encode(reply));
}

void forward_server::serve_handover(server_stream& stream)
{
    const auto bytes = stream.read_all(once_limits::handover_bytes);
    if (!bytes) {
        return;
    }
    const auto from = protocol::decode_handover(bytes.value());
    if (!from) {
        (void)stream.reply(400, from.error().message);
        return;
    }
    const auto result = once_.incarnations.import(
        from.value(), std::chrono::steady_clock::now());
    event(log_level::info, "handover_imported")
        .with("incarnation", to_string(from.value().authority.incarnation))
        .with("records", from.value().used.records.size())
        .with("result", state::name_of(result));
    const bool here = result == coordination::import_result::imported ||
                      result == coordination::import_result::repeated;
    (void)stream.reply(here ? 200 : 409, state::name_of(result));
    if (result == coordination::import_result::imported &&
        once_.on_incarnations_changed) {
        once_.on_incarnations_changed();
    }
}

} // namespace oriolegrade::transport
