// The length of a body travels as a header field of the block.

#include <oriolegrade/transport/forward_message.hpp>

namespace oriolegrade::transport {

namespace {

constexpr std::string_view length_name = "content-length";
constexpr std::string_view coding_name = "transfer-encoding";

state::header_list to_list(const protocol::http_fields& fields,
                           const protocol::body_framing& framing)
{
    state::header_list list;
    for (const auto& it : fields) {
        list.emplace_back(it.name, it.value);
    }
    if (framing.length) {
        list.emplace_back(length_name, std::to_string(*framing.length));
    } else if (framing.chunked) {
        list.emplace_back(coding_name, "chunked");
    }
    return list;
}

void from_list(const state::header_list& list, protocol::http_fields& fields,
               protocol::body_framing& framing)
{
    for (const auto& [name, value] : list) {
        if (name == length_name) {
            framing.length = protocol::parse_number(value);
        } else if (name == coding_name) {
            framing.chunked = true;
        } else {
            fields.add(name, value);
        }
    }
}

} // namespace

protocol::forward_request to_forward(const request_context& context)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        context.deadline - std::chrono::steady_clock::now());
    protocol::forward_request request;
    request.method = context.head.method;
    request.target = context.head.target;
    request.headers = to_list(context.head.fields, context.head.framing);
    request.caller = context.caller;
    request.route = context.route->key.name;
    request.schema_version = context.service->key.schema_version;
    request.deadline_ms =
        static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 0));
    return request;
}

protocol::request_head head_of(const protocol::forward_request& request)
{
    protocol::request_head head;
    head.method = request.method;
    head.target = request.target;
    from_list(request.headers, head.fields, head.framing);
    return head;
}

protocol::forward_answer to_forward(const protocol::answer_head& head)
{
    protocol::forward_answer answer;
    answer.status = head.status;
    answer.headers = to_list(head.fields, head.framing);
    const auto outcome = head.fields.find(protocol::header_field::outcome);
    answer.outcome =
        outcome ? state::enum_from_name<state::run_outcome>(*outcome).value_or(
                      state::run_outcome::unknown)
                : state::run_outcome::unknown;
    return answer;
}

protocol::answer_head head_of(const protocol::forward_answer& answer)
{
    protocol::answer_head head;
    head.status = answer.status;
    from_list(answer.headers, head.fields, head.framing);
    return head;
}

} // namespace oriolegrade::transport
