// Sessions of other hosts.

#include <oriolegrade/transport/gateway/dispatch_server.hpp>

#include <oriolegrade/coordination/document_search.hpp>
#include <oriolegrade/transport/event_log.hpp>
#include <oriolegrade/transport/gateway/dispatch_link.hpp>
#include <oriolegrade/transport/message_frame.hpp>
#include <oriolegrade/transport/tcp.hpp>

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/protocol/source_messages.hpp>

#include <boost/system/system_error.hpp>

#include <unordered_map>

namespace oriolegrade::transport {

namespace {

/// Longest request for the rules: a version number.
constexpr std::size_t max_view_request_bytes = 32;

} // namespace

/// One stream of an entry. Shared by the callbacks of its requests, which may
/// come after the stream has ended.
struct dispatch_server::session : std::enable_shared_from_this<session>
{
    session(dispatch_server& owner_in, dispatch_service& service_in)
        : owner(owner_in)
        , service(service_in)
    {}

    dispatch_server& owner;
    dispatch_service& service;
    std::string host;
    std::string data_centre;
    /// Requests that the entry has not reported as ended.
    std::unordered_map<std::uint64_t, dispatch_service::request_id> request_ids;
    std::string unsent;
    bool ended = false;
    fiber_signal changed;

    void send(const protocol::dispatcher_frame& frame)
    {
        unsent += framed(protocol::encode_dispatcher_frame(frame));
        changed.notify();
    }

    void write(server_stream& stream)
    {
        for (;;) {
            changed.wait([this] { return ended || !unsent.empty(); });
            if (ended) {
                return;
            }
            const auto bytes = std::exchange(unsent, {});
            if (!stream.write_all(boost::asio::buffer(bytes))) {
                return;
            }
        }
    }

    void take(const protocol::entry_hello& it)
    {
        host = it.host;
        data_centre = it.data_centre;
        for (const auto& work : it.in_flight) {
            service.adopt(work);
        }
    }

    void take(const protocol::numbered<state::place_request>& it)
    {
        auto request = it.what;
        request.host = host;
        request.data_centre = data_centre;
        const auto number = it.number;
        if (!request_ids.try_emplace(number, 0).second) {
            // Nobody could report the end of the earlier one.
            event(log_level::error, "entry_frame_malformed")
                .with("host", host)
                .with("findings", "number in use");
            return;
        }
        dispatch_service::request_id request_id = 0;
        const auto fault = caught([&] {
            request_id =
                service.ask(request, [self = weak_from_this(), number](
                                         const dispatch_service::reply& what) {
                    if (const auto own = self.lock(); own && !own->ended) {
                        own->reply(number, what);
                    }
                });
        });
        if (fault) {
            // The entry hears nothing, and asks another dispatcher.
            request_ids.erase(number);
            std::rethrow_exception(fault);
        }
        const auto found = request_ids.find(number);
        if (found != request_ids.end()) {
            found->second = request_id;
        }
    }

    void take(const protocol::numbered<state::send_report>& it)
    {
        const auto found = request_ids.find(it.number);
        if (found != request_ids.end()) {
            const auto request_id = found->second;
            request_ids.erase(found);
            service.report(request_id, it.what);
        }
    }

    void take(const protocol::rules_notice& it)
    {
        owner.on_rules(host, it);
    }

    void reply(std::uint64_t number, const dispatch_service::reply& what)
    {
        if (std::holds_alternative<state::place_refusal>(what)) {
            request_ids.erase(number);
        }
        std::visit(
            [&](const auto& it) {
                using reply_type = std::decay_t<decltype(it)>;
                send(protocol::numbered<reply_type>{number, it});
            },
            what);
    }

    /// The entry is gone, and with it its connections to upstreams.
    void end()
    {
        ended = true;
        changed.notify();
        for (const auto& it : std::exchange(request_ids, {})) {
            run_step("dispatch_session",
                     [&] { service.report_host_lost(it.second); });
        }
    }
};

dispatch_server::dispatch_server(boost::asio::io_context& ioc,
                                 gateway_shared& shared,
                                 dispatch_service& service)
    : shared_(shared)
    , service_(service)
    , most_transfers_(
          coordination::document_transfers(shared.options.link_mbps))
{
    auto acceptor = listen_on(ioc, to_tcp(shared.options.self.control));
    if (!acceptor) {
        throw boost::system::system_error(acceptor.error(), "control");
    }
    server_ = std::make_unique<stream_server>(
        std::move(acceptor.value()), std::string(), gateway_stream_limits(),
        [this](server_stream& stream) { serve(stream); });
    server_->start();
}

void dispatch_server::serve(server_stream& stream)
{
    if (stream.path() == dispatch_path) {
        serve_dispatch(stream);
    } else if (stream.path() == fleet_view_path) {
        serve_view(stream);
    } else if (stream.path() == source_path) {
        serve_source(stream);
    } else if (quotas != nullptr && stream.path() == quota_ask_path) {
        serve_quota_ask(stream);
    } else if (quotas != nullptr && stream.path() == quota_delegation_path) {
        serve_quota_delegation(stream);
    } else if (quotas != nullptr && stream.path() == quota_probe_path) {
        (void)stream.reply(200, "");
    } else {
        (void)stream.reply(404, "");
    }
}

void dispatch_server::serve_dispatch(server_stream& stream)
{
    if (!stream.respond(200)) {
        return;
    }
    const auto own = std::make_shared<session>(*this, service_);
    sessions_.insert(own);
    fiber_group writer;
    // Whatever ends the session, its places become free below and the writer
    // ends before its stream.
    run_step("dispatch_session", [&] {
        own->send(protocol::rules_notice{shared_.rules.read()->rules().version,
                                         confirmed_age()});
        writer.spawn([own, &stream] { own->write(stream); });
        take_frames(*own, stream);
    });
    own->end();
    sessions_.erase(own);
    writer.join();
}

void dispatch_server::take_frames(session& own, server_stream& stream)
{
    for (;;) {
        const auto bytes =
            read_message(stream, protocol::max_dispatch_frame_bytes);
        if (!bytes || !bytes.value()) {
            return;
        }
        const auto frame = protocol::decode_entry_frame(*bytes.value());
        if (!frame) {
            event(log_level::error, "entry_frame_malformed")
                .with("host", own.host)
                .with("findings", frame.error().to_text("frame"));
            return;
        }
        const auto* ask = std::get_if<protocol::numbered<state::place_request>>(
            &frame.value());
        if (ask != nullptr && shared_.stopping) {
            own.send(protocol::numbered<state::place_refusal>{
                ask->number, {state::place_refusal_reason::leaving, {}}});
            continue;
        }
        // The end of the session would free the places of all requests of the
        // entry.
        run_step("dispatch_frame", [&] {
            std::visit([&](const auto& it) { own.take(it); }, frame.value());
        });
    }
}

void dispatch_server::tell_rules_version(std::uint64_t version)
{
    for (const auto& it : sessions_) {
        it->send(protocol::rules_notice{version, confirmed_age()});
    }
}

void dispatch_server::serve_view(server_stream& stream)
{
    const auto body = stream.read_all(max_view_request_bytes);
    const auto version =
        body ? protocol::parse_number(body.value()) : std::nullopt;
    if (!version) {
        (void)stream.reply(400, "");
        return;
    }
    if (shared_.rules.read()->rules().version <= *version) {
        (void)stream.reply(200, protocol::encode_fleet_view({{}, hosts()}));
        return;
    }
    if (transfers_ == most_transfers_) {
        (void)stream.reply(503, "");
        return;
    }
    ++transfers_;
    run_step("document_transfer", [&] {
        auto view = document();
        view.hosts = hosts();
        (void)stream.reply(200, protocol::encode_fleet_view(view));
    });
    --transfers_;
}

void dispatch_server::serve_source(server_stream& stream)
{
    const auto body = stream.read_all(protocol::max_source_request_bytes);
    if (!body) {
        (void)stream.reply(503, "");
        return;
    }
    const auto request = protocol::decode_source_request(body.value());
    if (!request) {
        event(log_level::error, "source_request_malformed")
            .with("findings", request.error().to_text("request"));
        (void)stream.reply(400, "");
        return;
    }
    // A host that stops still hands over what it holds.
    if (shared_.stopping &&
        request.value().call != state::source_call::known_upstreams) {
        (void)stream.reply(503, "");
        return;
    }
    (void)stream.reply(
        200, protocol::encode_source_reply(read_source(request.value())));
}

void dispatch_server::serve_quota_ask(server_stream& stream)
{
    const auto body = stream.read_all(protocol::max_quota_message_bytes);
    if (!body) {
        return;
    }
    const auto call = protocol::decode_quota_ask(body.value());
    if (!call) {
        event(log_level::error, "quota_ask_malformed")
            .with("findings", call.error().to_text("ask"));
        (void)stream.reply(400, "");
        return;
    }
    const auto grant = quotas->serve(call.value());
    if (grant) {
        (void)stream.reply(200, protocol::encode(*grant));
    } else {
        (void)stream.reply(call.value().ask.gives_back ? 200 : 503, "");
    }
}

void dispatch_server::serve_quota_delegation(server_stream& stream)
{
    const auto body = stream.read_all(protocol::max_quota_message_bytes);
    if (!body) {
        return;
    }
    const auto call = protocol::decode_quota_delegation_call(body.value());
    if (!call) {
        event(log_level::error, "quota_delegation_malformed")
            .with("findings", call.error().to_text("call"));
        (void)stream.reply(400, "");
        return;
    }
    (void)stream.reply(200, protocol::encode(quotas->serve(call.value())));
}

} // namespace oriolegrade::transport
