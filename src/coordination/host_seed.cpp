// Hash of a host's name.

#include <oriolegrade/coordination/host_seed.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace oriolegrade::coordination {

std::uint64_t host_seed(std::string_view host)
{
    return XXH3_64bits(host.data(), host.size());
}

} // namespace oriolegrade::coordination
