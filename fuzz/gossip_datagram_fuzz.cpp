// The decoder of datagrams must refuse or read any input. Input is also tried
// with a right authentication code, so that the content is reached.

#include <oriolegrade/coordination/membership.hpp>
#include <oriolegrade/protocol/gossip_datagram.hpp>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

using namespace oriolegrade;

constexpr std::string_view key = "0123456789abcdef";

/// A host must survive any message of the fleet.
void feed_host(const state::gossip_message& message)
{
    const state::endpoint ep{0x0a000001, 7001};
    const state::time_point now{std::chrono::hours(1)};
    coordination::membership host(
        {"h2", "dc1", ep, ep, ep, 5, state::member_state::alive, false, 0}, {},
        now);
    host.receive(now, ep, message);
    host.receive(now + std::chrono::seconds(1), ep, message);
    static_cast<void>(host.progress());
}

void check(const std::string& datagram)
{
    const auto message = protocol::decode_gossip(datagram, key);
    if (!message) {
        return;
    }
    const auto again = protocol::decode_gossip(
        protocol::encode_gossip(message.value(), key), key);
    if (again && !(again.value() == message.value())) {
        std::abort();
    }
    feed_host(message.value());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    std::string datagram(reinterpret_cast<const char*>(data), size);
    check(datagram);
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int code_size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, size,
         code.data(), &code_size);
    datagram.append(reinterpret_cast<const char*>(code.data()), 16);
    check(datagram);
    return 0;
}
