// Guards against messages that crash a decoder, or that a decoder accepts and
// then encodes as something else. The first byte chooses the message.

#include <oriolegrade/protocol/once_messages.hpp>

#include <cstdlib>

namespace {

using namespace oriolegrade::protocol;

template <class Decode>
void check(Decode decode, std::string_view bytes)
{
    const auto first = decode(bytes);
    if (!first) {
        return;
    }
    const auto text = encode(first.value());
    const auto second = decode(text);
    if (!second || encode(second.value()) != text) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data + 1),
                                 size - 1);
    switch (data[0] % 6) {
    case 0:
        check(decode_claim_batch, bytes);
        break;
    case 1:
        check(decode_claim_request, bytes);
        break;
    case 2:
        check(decode_claim_reply, bytes);
        break;
    case 3:
        check(decode_forward_request, bytes);
        break;
    case 4:
        check(decode_forward_answer, bytes);
        break;
    default:
        check(decode_handover, bytes);
    }
    return 0;
}
