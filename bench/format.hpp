// Text of the benches' pages and pictures.

#ifndef ORIOLEGRADE_BENCH_FORMAT_HPP
#define ORIOLEGRADE_BENCH_FORMAT_HPP

#include <array>
#include <cstdarg>
#include <cstdio>
#include <string>

namespace oriolegrade::bench {

/// At most 511 characters.
inline std::string format(const char* pattern, ...)
{
    std::array<char, 512> buf{};
    va_list args;
    va_start(args, pattern);
    std::vsnprintf(buf.data(), buf.size(), pattern, args);
    va_end(args);
    return buf.data();
}

} // namespace oriolegrade::bench

#endif
