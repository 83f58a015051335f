// A stream of requests must be read the same way however its bytes arrive. The
// first byte of the input selects the size of the parts.
// A request that was read and is sent to an upstream must be read there as the
// same request and as nothing else: an upstream that finds two requests in one
// would run what no rule of the gateway has looked at.

#include "fakes/request_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using oriolegrade::test::read_in_parts;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::string_view text(reinterpret_cast<const char*>(data + 1),
                                size - 1);
    constexpr std::uint32_t max_head = 1024;
    const auto read = read_in_parts(text, text.size(), max_head);
    if (read_in_parts(text, 1 + data[0] % 64, max_head) != read) {
        std::abort();
    }
    // A field grows by a space at most, and the Host field may be added.
    constexpr std::uint32_t max_encoded_head = 2 * max_head;
    for (std::size_t n = 0; n < read.requests.size(); ++n) {
        const auto& bytes = read.encoded[n];
        const auto again = read_in_parts(bytes, bytes.size(), max_encoded_head);
        if (!again.error.empty() || again.requests.size() != 1 ||
            again.requests[0] != read.requests[n] ||
            again.framings[0] != read.framings[n] ||
            again.encoded[0] != bytes) {
            std::abort();
        }
    }
    return 0;
}
