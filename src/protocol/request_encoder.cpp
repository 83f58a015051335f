// Request heads of HTTP/1.1.

#include <oriolegrade/protocol/request_encoder.hpp>

namespace oriolegrade::protocol {

namespace {

void append_field(std::string_view name, std::string_view value,
                  std::string& out)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

std::string encode_head(const request_head& head)
{
    std::string out;
    out.append(head.method).append(" ").append(head.target);
    out.append(" HTTP/1.1\r\n");
    for (const auto& it : head.fields) {
        append_field(it.name, it.value, out);
    }
    if (head.framing.chunked) {
        append_field("Transfer-Encoding", "chunked", out);
    } else if (head.framing.length) {
        append_field("Content-Length", std::to_string(*head.framing.length),
                     out);
    }
    out.append("\r\n");
    return out;
}

} // namespace oriolegrade::protocol
