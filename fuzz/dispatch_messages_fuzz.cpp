// The decoders of frames between hosts must refuse or read any input, and what
// they read must survive a second round.

#include <oriolegrade/protocol/dispatch_messages.hpp>
#include <oriolegrade/protocol/source_messages.hpp>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

using namespace oriolegrade;

void check_entry_frame(const std::string& bytes)
{
    const auto frame = protocol::decode_entry_frame(bytes);
    if (frame && !protocol::decode_entry_frame(
                     protocol::encode_entry_frame(frame.value()))) {
        std::abort();
    }
}

void check_dispatcher_frame(const std::string& bytes)
{
    const auto frame = protocol::decode_dispatcher_frame(bytes);
    if (frame && !protocol::decode_dispatcher_frame(
                     protocol::encode_dispatcher_frame(frame.value()))) {
        std::abort();
    }
}

void check_fleet_view(const std::string& bytes)
{
    const auto view = protocol::decode_fleet_view(bytes);
    if (view && !protocol::decode_fleet_view(
                    protocol::encode_fleet_view(view.value()))) {
        std::abort();
    }
}

void check_source_messages(const std::string& bytes)
{
    const auto request = protocol::decode_source_request(bytes);
    if (request && !protocol::decode_source_request(
                       protocol::encode_source_request(request.value()))) {
        std::abort();
    }
    const auto reply = protocol::decode_source_reply(bytes);
    if (reply && !protocol::decode_source_reply(
                     protocol::encode_source_reply(reply.value()))) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    check_entry_frame(bytes);
    check_dispatcher_frame(bytes);
    check_fleet_view(bytes);
    check_source_messages(bytes);
    return 0;
}
