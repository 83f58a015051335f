// Guards against token texts that crash the decoder or have two readings.

#include <oriolegrade/state/token.hpp>

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace oriolegrade::state;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto got = token_from_string(text);
    if (got && to_string(*got) != text) {
        std::abort();
    }
    return 0;
}
