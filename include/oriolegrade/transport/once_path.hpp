// The way of a non-idempotent request on the host that received it: by
// token, by the caller's own key, or refused with a token offered.

#ifndef ORIOLEGRADE_TRANSPORT_ONCE_PATH_HPP
#define ORIOLEGRADE_TRANSPORT_ONCE_PATH_HPP

#include <oriolegrade/coordination/execution_decision.hpp>
#include <oriolegrade/transport/caller_stream.hpp>
#include <oriolegrade/transport/forward_client.hpp>
#include <oriolegrade/transport/once_runner.hpp>
#include <oriolegrade/transport/once_shared.hpp>
#include <oriolegrade/transport/replay_body.hpp>

namespace oriolegrade::transport {

/// Serves the non-idempotent requests of one worker thread's callers.
class once_path
{
public:
    once_path(boost::asio::io_context& ioc, once_shared& once,
              upstream_runner& runner);

    void serve(const request_context& context, caller_request& request,
               caller_answer& answer);

    /// Token for a caller and a route, as a header field.
    std::string offered_token(const request_context& context) const;

private:
    using body = replay_body<caller_request>;

    /// A request with what identifies it.
    struct attempt
    {
        const request_context& context;
        caller_answer& answer;
        body& source;
        std::optional<state::token> token;
        std::optional<state::digest256> key;
        state::identifier fingerprint;
    };

    coordination::execution_input execution_input_of(const attempt& it) const;

    static protocol::forward_request
    forward_request_of(const coordination::forward_to& way, const attempt& it);

    void go(const coordination::run_as_idempotent&, attempt& it);
    void go(const coordination::single_attempt&, attempt& it);
    void go(const coordination::run_locally& way, attempt& it);
    void go(const coordination::forward_to& way, attempt& it);
    void go(const coordination::claim_key_first&, attempt& it);
    void go(const coordination::offer_token&, attempt& it);
    void go(const coordination::refuse_request& way, attempt& it);

    void run_by_token(const coordination::held_incarnation_ptr& held,
                      attempt& it);
    void run_by_claim(const coordination::held_incarnation_ptr& held,
                      const state::identifier& nonce, attempt& it);
    void run_plain(attempt& it);
    coordination::claim_answer claim(const state::claim& what,
                                     state::time_point deadline);

    once_shared& once_;
    upstream_runner& runner_;
    forward_client forward_;
};

/// Verifies a token for a request and runs it at most once.
template <body_source Source, answer_sink Sink>
void run_with_token(upstream_runner& runner,
                    coordination::held_incarnation& held,
                    const request_context& context, const state::token& token,
                    const state::identifier& fingerprint, Source& source,
                    Sink& sink)
{
    using coordination::token_check;
    using state::reply_reason;
    const auto binding =
        state::token_binding(context.caller, context.route->key.name);
    switch (held.authority.verify(token, binding,
                                  std::chrono::steady_clock::now())) {
    case token_check::valid:
        return run_once(runner, held, context,
                        {{state::request_id_kind::token, {0, token.sequence}},
                         fingerprint,
                         token.expires_ms},
                        source, sink);
    case token_check::expired:
        return send_reply(sink, reply_reason::token_expired);
    case token_check::other_binding:
        return send_reply(sink, reply_reason::binding_conflict);
    case token_check::other_incarnation:
        return send_reply(sink, reply_reason::incarnation_gone);
    case token_check::forged:
        return send_reply(sink, reply_reason::bad_request);
    }
}

} // namespace oriolegrade::transport

#endif
