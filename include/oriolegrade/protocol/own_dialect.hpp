// What the system's own header fields tell upstreams, and what those of an
// answer mean. Another front end gives the request runner another dialect.

#ifndef ORIOLEGRADE_PROTOCOL_OWN_DIALECT_HPP
#define ORIOLEGRADE_PROTOCOL_OWN_DIALECT_HPP

#include <oriolegrade/protocol/http_head.hpp>
#include <oriolegrade/state/run_outcome.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolegrade::protocol {

/// Header fields between the system and upstreams.
template <class Dialect>
concept upstream_dialect = requires(request_head& request, answer_head& answer,
                                    const request_head& sent,
                                    const answer_head& received,
                                    std::uint64_t ms, std::string_view id)
{
    /// Sets the fields that an upstream gets: the time left and the identity
    /// that is expected, if any.
    Dialect::prepare(request, ms, id);
    /// True when the answer proves that the request did not run.
    {
        Dialect::is_unrun(received)
        } -> std::same_as<bool>;
    /// True when upstreams repeat the ids of requests in their answers.
    {
        Dialect::repeats_ids
        } -> std::convertible_to<bool>;
    /// Id of the request that upstreams repeat in their answers; empty for
    /// none.
    {
        Dialect::request_id(sent)
        } -> std::same_as<std::string_view>;
    /// True when the answer belongs to the request.
    {
        Dialect::belongs(sent, received)
        } -> std::same_as<bool>;
    /// True when the answer's body is in the form that was asked for.
    {
        Dialect::is_sound(received)
        } -> std::same_as<bool>;
    /// Sets the fields that tell the caller about a whole answer.
    Dialect::finish(answer);
};

struct own_dialect
{
    static constexpr bool repeats_ids = false;

    static void prepare(request_head& request, std::uint64_t ms_left,
                        std::string_view)
    {
        request.fields.set(header_field::deadline_ms, std::to_string(ms_left));
    }
    static bool is_unrun(const answer_head& answer)
    {
        constexpr std::uint16_t service_unavailable = 503;
        return answer.status == service_unavailable &&
               answer.fields.find(header_field::shed) == "1";
    }
    static std::string_view request_id(const request_head&)
    {
        return {};
    }
    static bool belongs(const request_head&, const answer_head&)
    {
        return true;
    }
    static bool is_sound(const answer_head&)
    {
        return true;
    }
    static void finish(answer_head& answer)
    {
        answer.fields.set(header_field::outcome,
                          state::name_of(state::run_outcome::ran));
    }
};

} // namespace oriolegrade::protocol

#endif
